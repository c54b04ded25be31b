//! Signatures in log lines.

use std::{cmp::Reverse, collections::HashMap};

use citrongw_state::id::Fingerprint;

use super::evidence::Signatures;

/// Number of signatures that a log line names.
const MAX_LOGGED: usize = 8;

/// Most frequent signatures with the number of requests that have them.
pub(super) fn most_frequent(requests: &[Signatures]) -> String {
    let mut counts: HashMap<Fingerprint, usize> = HashMap::new();
    for signature in requests.iter().flatten() {
        *counts.entry(*signature).or_default() += 1;
    }
    let mut counts: Vec<(Fingerprint, usize)> = counts.into_iter().collect();
    counts.sort_unstable_by_key(|(signature, count)| (Reverse(*count), *signature));
    let logged =
        counts.iter().take(MAX_LOGGED).map(|(signature, count)| format!("{signature}: {count}"));
    logged.collect::<Vec<_>>().join(", ")
}

/// First signatures of a list.
pub(super) fn list(signatures: &[Fingerprint]) -> String {
    let shown = signatures.iter().take(MAX_LOGGED).map(ToString::to_string);
    shown.collect::<Vec<_>>().join(", ")
}
