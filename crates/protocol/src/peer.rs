//! Messages between nodes.
//!
//! Datagrams carry probes, their responses and gossip. Data that may be large
//! (member lists, documents) is requested over TCP. The receiver of a response
//! counts an age in it from the echoed timestamp of its request, so that a
//! delayed response never makes the age appear too small. The age of an
//! unsolicited message is not used.

use std::net::SocketAddr;

use citrongw_state::{
    id::{AvailabilityZone, NodeId, OrganisationId, Region, Revision},
    replica::ReplicaSpec,
};
use serde::{Deserialize, Serialize};

use crate::{
    config_delta::ItemChange, config_record::ConfigDigest, gossip_item::GossipItem,
    node_record::VersionedNodeRecord,
};

/// Version of the message format.
pub const PEER_VERSION: u8 = 1;
/// Maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum size of a message over TCP.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Number of buckets into which member lists are divided for comparison.
pub const MEMBER_BUCKETS: usize = 16;
/// Value of [`HolderAge`] for an unknown age.
pub const HOLDER_UNKNOWN: u8 = u8::MAX;
/// Unit of [`HolderAge`], in milliseconds.
pub const HOLDER_AGE_UNIT_MS: u64 = 25;

/// Maximum number of uncounted members that a message lists per zone.
pub const MAX_MISSING_SENT: usize = 4;

/// Age in units of [`HOLDER_AGE_UNIT_MS`], rounded up; or [`HOLDER_UNKNOWN`].
pub type HolderAge = u8;

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member responds.
    Alive,
    /// The member does not respond. It can still refute the suspicion.
    Suspect,
    /// The member is considered dead.
    Dead,
    /// The member announced that it is leaving.
    Left,
}

/// State of a member. Of two updates the one with the larger incarnation takes
/// precedence, then the one with the later state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Region of the node.
    pub region: Region,
    /// Address of the node, for UDP and TCP.
    pub addr: SocketAddr,
    /// Counter that the node itself increases to refute a suspicion.
    pub incarnation: u32,
    /// State of the member.
    pub state: MemberState,
}

/// Token of the configuration and node records that a node holds. Equal tokens
/// mean equal documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct ConfigToken {
    /// Revision of the configuration. Zero if the node holds none.
    pub config: Revision,
    /// Digest of the document and of the revisions of all node records.
    pub digest: u64,
}

/// Configuration state of a node, sent in every message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Token of what the node holds.
    pub token: ConfigToken,
    /// Milliseconds since the latest time at which the key-value service is
    /// known to have had no newer configuration.
    pub confirmed_age_ms: Option<u16>,
    /// Whether a majority of the recorded nodes holds the same token.
    pub settled: bool,
}

/// Information about holders that a ping requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderQuery {
    /// No information.
    None,
    /// Nodes that ever held the token.
    EverHeld,
    /// Time since each node was last known to hold the token.
    Ages,
}

/// Holders of the sender's token in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneHolders {
    /// Index of the zone among the records, ordered by name.
    pub zone_idx: u8,
    /// Number of members that hold the token.
    pub members: u16,
    /// Number of holders in the set before the change in progress.
    pub earlier: u16,
    /// Age of the oldest counted entry. Unknown if any counted age is unknown.
    pub age: HolderAge,
    /// Members that were not counted, if there are at most
    /// [`MAX_MISSING_SENT`].
    pub missing: Vec<NodeId>,
}

/// Holder information for each node of the sender's own zone record, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneNodes {
    /// No information, for a receiver in another zone.
    None,
    /// One bit per node, lowest bit first, set if the node ever held the token.
    EverHeld(Vec<u8>),
    /// One age per node.
    Ages(Vec<HolderAge>),
}

/// Holders of the sender's token, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderReport {
    /// Nodes of the sender's own zone.
    pub own_zone: ZoneNodes,
    /// Counts of the zones.
    pub zones: Vec<ZoneHolders>,
}

/// Demand of an organisation, summed over several nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AggregateDemand {
    /// Id of the organisation.
    pub organisation: OrganisationId,
    /// Rate of arriving requests per second.
    pub requests_per_s: f32,
}

/// Gossip attached to a message.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Gossip {
    /// Updates of members.
    pub members: Vec<MemberUpdate>,
    /// Gossip items.
    pub items: Vec<GossipItem>,
}

/// Time on the sender's clock, opaque to the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SenderTimestamp(pub u64);

/// Probes whether the receiver responds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ping {
    /// Timestamp that the response echoes.
    pub stamp: SenderTimestamp,
    /// Description of the sender, if the receiver may not know it yet.
    pub introduction: Option<MemberUpdate>,
    /// Configuration state of the sender.
    pub config_state: ConfigState,
    /// Information about holders that the sender requests.
    pub holder_query: HolderQuery,
    /// One bit per node of the sender's own zone record, set if the node ever
    /// held the token. Empty if nothing is to be reported. It has no age, so it
    /// can be sent without a request.
    pub ever_held: Vec<u8>,
    /// Demand reported to the parent node or to another zone.
    pub demand: Vec<AggregateDemand>,
    /// Gossip to pass on.
    pub gossip: Gossip,
}

/// Response to a ping.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// Timestamp of the ping.
    pub echo: SenderTimestamp,
    /// Configuration state of the sender.
    pub config_state: ConfigState,
    /// Holders, if requested.
    pub holders: Option<HolderReport>,
    /// Demand summed over all nodes, or over the sender's zone for a receiver
    /// in another zone.
    pub demand: Vec<AggregateDemand>,
    /// Gossip to pass on.
    pub gossip: Gossip,
}

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// See [`Ping`].
    Ping(Ping),
    /// See [`Ack`].
    Ack(Ack),
    /// Requests the receiver to ping another node.
    PingRequest {
        /// Timestamp that the response echoes.
        stamp: SenderTimestamp,
        /// Node to ping.
        target: NodeId,
    },
    /// Reports that the other node responded to the indirect ping.
    Reached {
        /// Timestamp of the request.
        echo: SenderTimestamp,
        /// Node that responded.
        target: NodeId,
    },
    /// Sends gossip at once.
    Push {
        /// Configuration state of the sender.
        config_state: ConfigState,
        /// Gossip to pass on.
        gossip: Gossip,
    },
}

/// Request over TCP. It lists what the requester holds, so that only the rest
/// is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Version of the configuration that the requester holds.
    pub config: Option<ConfigVersion>,
    /// Revisions of the node records that the requester holds.
    pub records: Vec<(AvailabilityZone, Revision)>,
    /// Digests of the buckets of the member list. None if it is not to be
    /// compared.
    pub member_buckets: Option<[u64; MEMBER_BUCKETS]>,
    /// Whether to send the replica list.
    pub want_replicas: bool,
    /// Whether to send recent gossip items, for a requester that has just
    /// joined.
    pub want_gossip_items: bool,
}

/// Revision of a document with its digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Revision of the key-value service.
    pub revision: Revision,
    /// Digest of the document.
    pub digest: ConfigDigest,
}

/// Response over TCP.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FetchResponse {
    /// Document, if the responder's is newer.
    pub config: Option<ConfigTransfer>,
    /// Node records that are newer than the requester's.
    pub records: Vec<VersionedNodeRecord>,
    /// Members of the buckets that differ.
    pub members: Vec<MemberUpdate>,
    /// Recent gossip items, if requested.
    pub gossip_items: Vec<GossipItem>,
    /// Replica list, if requested and known.
    pub replicas: Option<Vec<ReplicaSpec>>,
}

/// Revisions that precede a document's in its history. A transfer of the
/// changes since a revision includes only the revisions from that one on.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RevisionHistory {
    /// Revisions, oldest first. Empty for a document stored by hand.
    pub revisions: Vec<Revision>,
    /// Whether older revisions were left out.
    pub truncated: bool,
    /// Latest revision that the key-value service lost and that an operator
    /// replaced.
    pub replaces_lost: Option<Revision>,
}

/// Maximum number of revisions in a history.
const MAX_HISTORY_REVISIONS: usize = 64;

impl RevisionHistory {
    /// Returns the part of the history from `revision` on.
    pub fn from_revision(&self, revision: Revision) -> Self {
        let revisions = self.revisions.iter().copied().filter(|it| revision <= *it).collect();
        Self { revisions, ..self.clone() }
    }

    /// Returns this history followed by the later one.
    pub fn extended_with(&self, later: &Self) -> Self {
        let mut revisions = self.revisions.clone();
        revisions.extend(&later.revisions);
        revisions.dedup();
        let surplus = revisions.len().saturating_sub(MAX_HISTORY_REVISIONS);
        revisions.drain(..surplus);
        Self {
            truncated: self.truncated || 0 < surplus,
            replaces_lost: self.replaces_lost.max(later.replaces_lost),
            revisions,
        }
    }
}

/// Transfer of a document between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigTransfer {
    /// Version that the receiver must obtain from the content.
    pub version: ConfigVersion,
    /// Revisions that precede the document's.
    pub history: RevisionHistory,
    /// Content of the transfer.
    pub content: ConfigContent,
}

/// Content of a transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigContent {
    /// The whole document, as JSON.
    Whole(String),
    /// Changes since the version that the requester holds.
    Changes(Vec<ItemChange>),
}
