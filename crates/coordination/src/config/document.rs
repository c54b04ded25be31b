//! The configuration document that a node holds, and the rules for replacing it:
//! the new document must have a higher revision of the key-value service, match
//! its digest, and descend from the held one.

use std::{collections::VecDeque, sync::Arc};

use citrongw_protocol::{
    config_delta::{self, ItemChange},
    config_record::ConfigDigest,
    peer::{ConfigContent, ConfigTransfer, ConfigVersion, RevisionHistory},
};
use citrongw_state::{config::Config, id::Revision};

use super::{VersionedConfig, edit::StoredConfig};

/// Versions whose changes are kept for peers that are behind.
const MAX_STEPS: usize = 32;

/// The held document.
#[derive(Debug, Clone)]
pub struct Document {
    /// Revision and digest.
    pub version: ConfigVersion,
    /// Revisions that it descends from.
    pub past: RevisionHistory,
    /// Content, shared with the rest of the node.
    pub in_force: Arc<VersionedConfig>,
    steps: VecDeque<Step>,
}

/// Changes from one held version to the next held version.
#[derive(Debug, Clone)]
struct Step {
    from: Revision,
    changes: Vec<ItemChange>,
}

/// Result of offering a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document replaced the held one.
    Applied,
    /// The document is not newer than the held one.
    NotNewer,
    /// The content does not match the digest; the whole document must be
    /// requested.
    DigestMismatch,
    /// The document is newer but does not descend from the held one: the service
    /// lost a change. The held document stays, and an operator must decide.
    Forked,
}

/// Replaces the held document by one transferred from a peer, if the rules
/// allow it.
pub fn offer(held: &mut Option<Document>, transfer: &ConfigTransfer) -> OfferOutcome {
    if let Some(rejection) = reject(held.as_ref(), transfer.version, &transfer.history) {
        return rejection;
    }
    let past = match (&transfer.content, held.as_ref()) {
        (ConfigContent::Changes(_), Some(held)) => held.past.extended_with(&transfer.history),
        _ => transfer.history.clone(),
    };
    let config = match (&transfer.content, held.as_ref()) {
        (ConfigContent::Whole(text), _) => serde_json::from_str(text).ok(),
        (ConfigContent::Changes(changes), Some(held)) => {
            config_delta::apply(&held.in_force.config, changes)
        }
        (ConfigContent::Changes(_), None) => None,
    };
    match config {
        Some(config) if ConfigDigest::of(&config) == transfer.version.digest => {
            replace(held, transfer.version, past, config);
            OfferOutcome::Applied
        }
        _ => OfferOutcome::DigestMismatch,
    }
}

/// Replaces the held document by one read from the service, if the rules allow
/// it.
pub fn offer_read(held: &mut Option<Document>, current: StoredConfig) -> OfferOutcome {
    let version =
        ConfigVersion { revision: current.revision, digest: ConfigDigest::of(&current.config) };
    let past = past_of(&current);
    if let Some(rejection) = reject(held.as_ref(), version, &past) {
        return rejection;
    }
    replace(held, version, past, current.config);
    OfferOutcome::Applied
}

fn reject(
    held: Option<&Document>,
    version: ConfigVersion,
    past: &RevisionHistory,
) -> Option<OfferOutcome> {
    let held = held?.version.revision;
    if version.revision <= held {
        return Some(OfferOutcome::NotNewer);
    }
    (!descends(held, past)).then_some(OfferOutcome::Forked)
}

/// Whether a document with this past descends from the held version.
fn descends(held: Revision, past: &RevisionHistory) -> bool {
    let Some(oldest) = past.revisions.first() else { return true };
    past.revisions.contains(&held)
        || (past.truncated && held < *oldest)
        || past.replaces_lost.is_some_and(|lost| held <= lost)
}

fn past_of(current: &StoredConfig) -> RevisionHistory {
    let records = current.history.iter().chain(&current.made);
    let mut revisions: Vec<Revision> = records.clone().filter_map(|it| it.from).collect();
    revisions.dedup();
    RevisionHistory {
        revisions,
        truncated: current.history.first().is_some_and(|it| it.from.is_some()),
        replaces_lost: records.filter_map(|it| it.replaces_lost).max(),
    }
}

fn replace(
    held: &mut Option<Document>,
    version: ConfigVersion,
    past: RevisionHistory,
    config: Config,
) {
    let mut steps = VecDeque::new();
    if let Some(old) = held.take() {
        steps = old.steps;
        let changes = config_delta::diff(&old.in_force.config, &config);
        steps.push_back(Step { from: old.version.revision, changes });
        if MAX_STEPS < steps.len() {
            steps.pop_front();
        }
    }
    let in_force = Arc::new(VersionedConfig { revision: version.revision, config });
    *held = Some(Document { version, past, in_force, steps });
}

impl Document {
    /// Transfer for a peer that holds `theirs`. `None` if that is not older.
    pub fn transfer_to(&self, theirs: Option<ConfigVersion>) -> Option<ConfigTransfer> {
        let theirs = theirs.map(|it| it.revision);
        if theirs.is_some_and(|it| self.version.revision <= it) {
            return None;
        }
        let changes = theirs.and_then(|it| Some((self.changes_since(it)?, it)));
        let (content, past) = match changes {
            Some((content, theirs)) => (content, self.past.from_revision(theirs)),
            None => (ConfigContent::Whole(self.text()), self.past.clone()),
        };
        Some(ConfigTransfer { version: self.version, history: past, content })
    }

    fn text(&self) -> String {
        serde_json::to_string(&self.in_force.config).unwrap_or_default()
    }

    fn changes_since(&self, theirs: Revision) -> Option<ConfigContent> {
        let first = self.steps.iter().position(|it| it.from == theirs)?;
        let steps = self.steps.iter().skip(first);
        Some(ConfigContent::Changes(steps.flat_map(|it| it.changes.iter().cloned()).collect()))
    }
}

#[cfg(test)]
mod tests;
