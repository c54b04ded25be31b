//! Messages between nodes.
//!
//! Datagrams carry probes, their answers and gossip. Whatever may be large
//! (member lists, documents) is asked for over TCP. An age in an answer counts
//! from the stamp of the question that it echoes, so it never looks younger
//! than it is, however long the answer took; nothing is concluded from the age
//! of an unasked message.

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

/// Version of the messages.
pub const PEER_VERSION: u8 = 1;
/// Largest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Largest message over TCP.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Buckets in which member lists are compared.
pub const MEMBER_BUCKETS: usize = 16;
/// Age of a holder of which nothing is known, see [`HolderAge`].
pub const HOLDER_UNKNOWN: u8 = u8::MAX;
/// Unit of [`HolderAge`], in milliseconds.
pub const HOLDER_AGE_UNIT_MS: u64 = 25;

/// Members not counted that a message names for each zone.
pub const MAX_MISSING_SENT: usize = 4;

/// Age in units of [`HOLDER_AGE_UNIT_MS`], rounded up; or [`HOLDER_UNKNOWN`].
pub type HolderAge = u8;

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It does not answer, and may still say that it does.
    Suspect,
    /// It is held for gone.
    Dead,
    /// It said that it leaves.
    Left,
}

/// What is known of a member. The larger incarnation wins, then the later state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Its region.
    pub region: Region,
    /// Its address, UDP and TCP.
    pub addr: SocketAddr,
    /// Raised by the node itself to refute what is said of it.
    pub incarnation: u32,
    /// State.
    pub state: MemberState,
}

/// What a node holds: equal tokens mean equal documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct ConfigToken {
    /// Version of the configuration; zero if none is held.
    pub config: Revision,
    /// Digest of the document and of the versions of all node records.
    pub digest: u64,
}

/// Standing of a node, in every message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// What it holds.
    pub token: ConfigToken,
    /// Age of its knowledge that the service had no newer configuration.
    pub confirmed_age_ms: Option<u16>,
    /// Whether a majority of the recorded nodes holds the same.
    pub settled: bool,
}

/// What a question wants to know of holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderQuery {
    /// Nothing.
    None,
    /// Who ever held the token.
    EverHeld,
    /// How long ago each was heard to hold it.
    Ages,
}

/// Holders of the sender's token in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneHolders {
    /// Place of the zone among the records, by name.
    pub zone_idx: u8,
    /// Members that hold it.
    pub members: u16,
    /// Holders in the set before the change under way.
    pub earlier: u16,
    /// Age of the oldest of what was counted; unknown if any age was.
    pub age: HolderAge,
    /// Members that were not counted, if they are no more than
    /// [`MAX_MISSING_SENT`].
    pub missing: Vec<NodeId>,
}

/// Nodes of the sender's own zone record, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneNodes {
    /// Nothing, for a receiver in another zone.
    None,
    /// A bit for each node that ever held the token, lowest first.
    EverHeld(Vec<u8>),
    /// An age for each node.
    Ages(Vec<HolderAge>),
}

/// Holders of the sender's token as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderReport {
    /// The sender's own zone.
    pub own_zone: ZoneNodes,
    /// Zones counted.
    pub zones: Vec<ZoneHolders>,
}

/// Demand of an organisation over several nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AggregateDemand {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests that arrived, a second.
    pub requests_per_s: f32,
}

/// Part of a message that passes things on.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Gossip {
    /// Members.
    pub members: Vec<MemberUpdate>,
    /// News.
    pub news: Vec<GossipItem>,
}

/// Point on the sender's clock, which only the sender understands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SenderTimestamp(pub u64);

/// Asks whether the receiver answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ping {
    /// To be echoed.
    pub stamp: SenderTimestamp,
    /// Who asks, as far as the receiver may not know it.
    pub introduction: Option<MemberUpdate>,
    /// Standing of the sender.
    pub standing: ConfigState,
    /// What is wanted of holders.
    pub holders_wanted: HolderQuery,
    /// A bit for each node of the sender's own zone record that ever held the
    /// token; empty if nobody is to be told. Needs no age, so it may be unasked.
    pub ever_held: Vec<u8>,
    /// Demand told to the node above, or to another zone.
    pub demand: Vec<AggregateDemand>,
    /// Passed on.
    pub gossip: Gossip,
}

/// Answers a ping.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// Stamp of the ping.
    pub echo: SenderTimestamp,
    /// Standing of the sender.
    pub standing: ConfigState,
    /// Holders, if wanted.
    pub holders: Option<HolderReport>,
    /// Demand over all nodes, or of the sender's zone to one in another.
    pub demand: Vec<AggregateDemand>,
    /// Passed on.
    pub gossip: Gossip,
}

/// Datagram's content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// See [`Ping`].
    Ping(Ping),
    /// See [`Ack`].
    Ack(Ack),
    /// Asks the receiver to ping another node.
    PingRequest {
        /// To be echoed.
        stamp: SenderTimestamp,
        /// The other node.
        target: NodeId,
    },
    /// The other node answered.
    Reached {
        /// Stamp of the request.
        echo: SenderTimestamp,
        /// The other node.
        target: NodeId,
    },
    /// Passes things on at once.
    Push {
        /// Standing of the sender.
        standing: ConfigState,
        /// Passed on.
        gossip: Gossip,
    },
}

/// Question over TCP: what the asker holds, so that only the rest is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Configuration held.
    pub config: Option<ConfigVersion>,
    /// Versions of the node records held.
    pub records: Vec<(AvailabilityZone, Revision)>,
    /// Digests of the member list by bucket, if that is to be compared.
    pub member_buckets: Option<[u64; MEMBER_BUCKETS]>,
    /// Whether the replica list is wanted.
    pub want_replicas: bool,
    /// Whether the asker has just joined and wants recent news.
    pub want_news: bool,
}

/// Version of a document with its digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Revision of the service.
    pub revision: Revision,
    /// Digest.
    pub digest: ConfigDigest,
}

/// Answer over TCP.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FetchResponse {
    /// The document, if the answerer's is newer.
    pub config: Option<ConfigTransfer>,
    /// Newer node records.
    pub records: Vec<VersionedNodeRecord>,
    /// Members of the buckets that differ.
    pub members: Vec<MemberUpdate>,
    /// Recent news, if wanted.
    pub news: Vec<GossipItem>,
    /// The replica list, if wanted and known.
    pub replicas: Option<Vec<ReplicaSpec>>,
}

/// Versions before a document's, as its history tells them. Beside changes
/// since a version, only those from that version on.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RevisionHistory {
    /// Versions, oldest first; empty for a document put by hand.
    pub revisions: Vec<Revision>,
    /// Whether older ones were left out.
    pub truncated: bool,
    /// Latest version that the service lost and that an operator replaced.
    pub replaces_lost: Option<Revision>,
}

/// Versions that a past keeps.
const MAX_PAST: usize = 64;

impl RevisionHistory {
    /// The part from `revision` on.
    pub fn from_revision(&self, revision: Revision) -> Self {
        let revisions = self.revisions.iter().copied().filter(|it| revision <= *it).collect();
        Self { revisions, ..self.clone() }
    }

    /// This past, and the later one that follows it.
    pub fn extended_with(&self, later: &Self) -> Self {
        let mut revisions = self.revisions.clone();
        revisions.extend(&later.revisions);
        revisions.dedup();
        let surplus = revisions.len().saturating_sub(MAX_PAST);
        revisions.drain(..surplus);
        Self {
            truncated: self.truncated || 0 < surplus,
            replaces_lost: self.replaces_lost.max(later.replaces_lost),
            revisions,
        }
    }
}

/// Document on its way from node to node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigTransfer {
    /// What the receiver must arrive at.
    pub version: ConfigVersion,
    /// Where it comes from.
    pub past: RevisionHistory,
    /// Content.
    pub content: ConfigContent,
}

/// Content of a transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigContent {
    /// The whole document, as JSON.
    Whole(String),
    /// Changes since the version that the asker holds.
    Changes(Vec<ItemChange>),
}
