//! The nodes of one availability zone as recorded in the key-value service.
//!
//! Majorities are counted over these records and never over what one node
//! sees. A record that adds or removes nodes also tells the set before it; as
//! long as it does, a majority of both sets is needed, so that the majorities
//! of two records that follow each other always share a node.

use std::collections::BTreeSet;

use bytes::Bytes;
use citrongw_state::id::{AttemptId, AvailabilityZone, NodeId, Revision};
use serde::{Deserialize, Serialize};

use crate::store::{Entry, Key};

/// Prefix of the records.
pub const NODES_PREFIX: &str = "citrongw/nodes/";

/// Key of a zone's record.
pub fn nodes_key(zone: &AvailabilityZone) -> Key {
    format!("{NODES_PREFIX}{zone}").into()
}

/// Recorded nodes of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The write that made this value.
    pub attempt: AttemptId,
    /// Nodes, in order.
    pub members: BTreeSet<NodeId>,
    /// Nodes of the record before, until a majority holds this one.
    pub before: Option<BTreeSet<NodeId>>,
}

impl NodeRecord {
    /// Every node that the record names, in order.
    pub fn all(&self) -> BTreeSet<NodeId> {
        self.members.iter().chain(self.before.iter().flatten()).copied().collect()
    }

    /// The record as the service holds it.
    pub fn encode(&self) -> Bytes {
        Bytes::from(postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Nodes before the change; the members if there is none under way.
    pub fn earlier(&self) -> &BTreeSet<NodeId> {
        self.before.as_ref().unwrap_or(&self.members)
    }
}

/// Record with its zone and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedNodeRecord {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Revision of the service that wrote it.
    pub revision: Revision,
    /// The record.
    pub record: NodeRecord,
}

impl VersionedNodeRecord {
    /// Reads the entry of a record. None if it is none.
    pub fn decode(entry: &Entry) -> Option<Self> {
        let zone = entry.key.as_str().strip_prefix(NODES_PREFIX)?.into();
        let record = postcard::from_bytes(&entry.value).ok()?;
        Some(Self { zone, revision: entry.revision, record })
    }
}
