//! The document that a node holds, and the rule by which another takes its
//! place: only forwards by the service's revision, checked by digest, and only
//! if the new one descends from the one held.

use std::{collections::VecDeque, sync::Arc};

use citrongw_protocol::{
    config_delta::{self, ItemChange},
    config_record::ConfigDigest,
    peer::{ConfigContent, ConfigTransfer, ConfigVersion, RevisionHistory},
};
use citrongw_state::{config::Config, id::Revision};

use super::{VersionedConfig, edit::StoredConfig};

/// Versions whose changes are kept for peers that lie behind.
const MAX_STEPS: usize = 32;

/// Document held.
#[derive(Debug, Clone)]
pub struct Document {
    /// Its version.
    pub version: ConfigVersion,
    /// Where it comes from.
    pub past: RevisionHistory,
    /// Itself.
    pub in_force: Arc<VersionedConfig>,
    steps: VecDeque<Step>,
}

/// Changes from one version to the next that this node held.
#[derive(Debug, Clone)]
struct Step {
    from: Revision,
    changes: Vec<ItemChange>,
}

/// What became of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force.
    Applied,
    /// It is not newer.
    NotNewer,
    /// Its content does not lead to its digest: ask for the whole.
    DigestMismatch,
    /// It is newer and does not descend from the one held: the service lost a
    /// change. The one held stays, and an operator must decide.
    Forked,
}

/// Offers a transferred document in place of the one held.
pub fn offer(held: &mut Option<Document>, transfer: &ConfigTransfer) -> OfferOutcome {
    if let Some(refusal) = refuse(held.as_ref(), transfer.version, &transfer.past) {
        return refusal;
    }
    let past = match (&transfer.content, held.as_ref()) {
        (ConfigContent::Changes(_), Some(held)) => held.past.extended_with(&transfer.past),
        _ => transfer.past.clone(),
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

/// Offers a document read from the service.
pub fn offer_read(held: &mut Option<Document>, current: StoredConfig) -> OfferOutcome {
    let version =
        ConfigVersion { revision: current.revision, digest: ConfigDigest::of(&current.config) };
    let past = past_of(&current);
    if let Some(refusal) = refuse(held.as_ref(), version, &past) {
        return refusal;
    }
    replace(held, version, past, current.config);
    OfferOutcome::Applied
}

fn refuse(
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

/// Whether a document with this past contains the version held.
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
    /// What a peer that holds `theirs` needs. None if it needs nothing.
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
        Some(ConfigTransfer { version: self.version, past, content })
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
