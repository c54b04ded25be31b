//! Nodes of an availability zone as recorded in the key-value service.
//!
//! Majorities are counted over these records, never over the nodes that one
//! node observes. A record that adds or removes nodes also contains the
//! previous set. While it does, a majority of both sets is required, so that
//! the majorities of two successive records always share a node.

use std::collections::BTreeSet;

use bytes::Bytes;
use citrongw_state::id::{AttemptId, AvailabilityZone, NodeId, Revision};
use serde::{Deserialize, Serialize};

use crate::store::{Entry, Key};

/// Key prefix of the records.
pub const NODES_PREFIX: &str = "citrongw/nodes/";

/// Returns the key of a zone's record.
pub fn nodes_key(zone: &AvailabilityZone) -> Key {
    format!("{NODES_PREFIX}{zone}").into()
}

/// Recorded nodes of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Id of the write that produced this value.
    pub attempt: AttemptId,
    /// Nodes in ascending order.
    pub members: BTreeSet<NodeId>,
    /// Nodes of the previous record. None once a majority holds this record.
    pub before: Option<BTreeSet<NodeId>>,
}

impl NodeRecord {
    /// Returns all nodes in the record, including the previous set, in
    /// ascending order.
    pub fn all(&self) -> BTreeSet<NodeId> {
        self.members.iter().chain(self.before.iter().flatten()).copied().collect()
    }

    /// Encodes the record as a value of the key-value service.
    pub fn encode(&self) -> Bytes {
        Bytes::from(postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Returns the nodes before the change in progress, or the members if no
    /// change is in progress.
    pub fn earlier(&self) -> &BTreeSet<NodeId> {
        self.before.as_ref().unwrap_or(&self.members)
    }
}

/// Node record with its zone and revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedNodeRecord {
    /// Availability zone of the record.
    pub zone: AvailabilityZone,
    /// Revision of the key-value service at which the record was written.
    pub revision: Revision,
    /// Content of the record.
    pub record: NodeRecord,
}

impl VersionedNodeRecord {
    /// Decodes an entry of the key-value service. None if it is not a valid
    /// node record.
    pub fn decode(entry: &Entry) -> Option<Self> {
        let zone = entry.key.as_str().strip_prefix(NODES_PREFIX)?.into();
        let record = postcard::from_bytes(&entry.value).ok()?;
        Some(Self { zone, revision: entry.revision, record })
    }
}
