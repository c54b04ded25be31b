//! Decides which connections are closed when memory is short.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use super::Account;

/// Connection that waits for its peer.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) account: Arc<Account>,
    /// Whether it has served a request and waits for the next one.
    is_idle: bool,
    held_bytes: usize,
    waited_ms: u64,
}

impl Candidate {
    /// The connection, if it waits for its peer for at least `min_wait`.
    pub(super) fn of(account: &Arc<Account>, now_ms: u64, min_wait: Duration) -> Option<Self> {
        let waited_ms = now_ms.saturating_sub(account.waits_since_ms()?);
        let is_candidate = min_wait.as_millis() <= u128::from(waited_ms) && !account.is_closed();
        is_candidate.then(|| Self {
            account: Arc::clone(account),
            is_idle: account.is_idle(),
            held_bytes: account.held_bytes(),
            waited_ms,
        })
    }

    /// Order in which connections are closed: last those that have served a request and
    /// wait for the next one, first those that have held most for the longest time.
    fn order(&self) -> impl Ord + use<> {
        (self.is_idle, Reverse(self.held_bytes as u128 * u128::from(self.waited_ms)))
    }
}

/// The connection that is closed to make room for another one. Each frees one place, so
/// the bytes that it holds do not matter.
pub(super) fn first(candidates: Vec<Candidate>) -> Option<Candidate> {
    candidates.into_iter().min_by_key(|it| (it.is_idle, Reverse(it.waited_ms)))
}

/// The connections to close for `excess` bytes.
pub(super) fn choose(mut candidates: Vec<Candidate>, excess: usize) -> Vec<Candidate> {
    candidates.sort_by_cached_key(Candidate::order);
    let mut freed = 0;
    let is_needed = |it: &Candidate| {
        let is_needed = freed < excess;
        freed += it.held_bytes;
        is_needed
    };
    candidates.into_iter().take_while(is_needed).collect()
}
