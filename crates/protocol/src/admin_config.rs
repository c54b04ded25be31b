//! What operators send and get when they change the configuration.
//!
//! An edit names the version it was made from and carries an id drawn by its
//! client, so that a change whose reply was lost can be looked up. Committed
//! means that the service holds the change; accepted means that, beyond this, a
//! majority of the recorded nodes hold it.

use citrongw_state::{
    config::Config,
    id::{ChangeId, NodeId, OperatorId, Revision},
};
use serde::{Deserialize, Serialize};

use crate::config_delta::ItemChange;

/// Edit of the whole document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditRequest {
    /// Id of the change; a resend carries the same.
    pub change: ChangeId,
    /// Version that the edit was made from. None for the first document.
    pub from: Option<Revision>,
    /// Who makes it.
    pub operator: OperatorId,
    /// When it was made, on the operator's clock.
    pub at_unix_ms: u64,
    /// The new document.
    pub config: Config,
    /// Latest version that the service lost and that this edit replaces. Given
    /// only after the service was restored to an older state.
    #[serde(default)]
    pub replaces_lost: Option<Revision>,
}

/// Answer to an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditResult {
    /// The service holds the change as this version.
    Committed {
        /// The version.
        revision: Revision,
    },
    /// The document has moved on; nothing was changed.
    Conflict(Box<EditConflict>),
    /// The document has faults; nothing was changed.
    Invalid {
        /// Each fault as one sentence.
        faults: Vec<String>,
    },
    /// The service was not reached or refused; nothing was changed.
    NotMade {
        /// Why.
        reason: String,
    },
    /// The change may have been committed, or may still be. Look it up by its id.
    Unknown {
        /// The change.
        change: ChangeId,
    },
}

/// Two edits from one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditConflict {
    /// Version that the refused edit was made from.
    pub from: Option<Revision>,
    /// Version now in the service. None if there is no document.
    pub current: Option<Revision>,
    /// Who made it, if it was made by an edit.
    pub made_by: Option<ChangeRecord>,
    /// What the refused edit wanted to change; against the current version if
    /// the version that it was made from is no longer known.
    pub yours: Vec<ItemChange>,
    /// What the service's version changed since; empty if that is not known.
    pub theirs: Vec<ItemChange>,
}

/// One change in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The change.
    pub change: ChangeId,
    /// Who made it.
    pub operator: OperatorId,
    /// When, on the operator's clock.
    pub at_unix_ms: u64,
    /// Version that it was made from.
    pub from: Option<Revision>,
    /// Latest version that the service lost and that this change replaces.
    #[serde(default)]
    pub replaces_lost: Option<Revision>,
    /// Version that it became. None in the record of the change itself, which
    /// is written before the version is known.
    pub revision: Option<Revision>,
}

/// How far a change has been accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// The version.
    pub revision: Revision,
    /// Whether it is accepted.
    pub accepted: bool,
    /// Recorded nodes that hold it.
    pub holding: u32,
    /// Recorded nodes.
    pub recorded: u32,
    /// Recorded nodes that are not known to hold it, at most
    /// [`MAX_MISSING_LISTED`]; `recorded - holding` of them in all.
    pub missing: Vec<NodeId>,
}

/// Missing nodes that an answer lists.
pub const MAX_MISSING_LISTED: usize = 64;
