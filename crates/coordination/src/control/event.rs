//! What the control of a domain is told, and what it wants done.

use std::sync::Arc;

use citrongw_protocol::{
    decision::control::ControlDecision,
    engine::{EngineStatus, Order, OrderReply},
    gossip_item::GossipItem,
    instance_list::ListedInstance,
    record::{DomainRecord, ForeignClaim},
};
use citrongw_state::{
    id::{AttemptId, FabricDomainId, InstanceId, ReplicaId, Revision},
    time::Time,
};

/// What a write came to.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// It took effect as this revision.
    Committed(Revision),
    /// Something else stood there.
    Conflict(Option<(Arc<DomainRecord>, Revision)>),
    /// No answer came: it may have taken effect, or may yet.
    Uncertain,
}

/// What a domain's control is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The record as read. None if there is none.
    Read(Option<(Arc<DomainRecord>, Revision)>),
    /// The record as a watch or a peer told it, perhaps late.
    RecordReceived(Arc<DomainRecord>, Revision),
    /// A read had no answer.
    ReadFailed,
    /// A write ended.
    Written(AttemptId, WriteOutcome),
    /// Instances of this domain on the instance list.
    Listed(Vec<ListedInstance>),
    /// An instance answered a question sent at this time.
    Status(InstanceId, EngineStatus, Time),
    /// An instance answered an order.
    OrderReplied(InstanceId, OrderReply),
    /// The record of another domain as read for a claim or a check.
    ForeignRead(ForeignReadPurpose, Option<(Arc<DomainRecord>, Revision)>),
    /// A claim in another domain ended, or its outcome is unknown.
    ForeignWritten(ReplicaId),
}

/// Why another domain's record is read.
#[derive(Debug, Clone, PartialEq)]
pub enum ForeignReadPurpose {
    /// To claim instances there for a replica of this domain.
    Claim(ReplicaId),
    /// To see whether these claims of its replicas here still hold.
    Check(Vec<ForeignClaim>),
}

/// What a domain's control wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read this domain's record.
    Read,
    /// Write this domain's record.
    Write(RecordWrite),
    /// Read another domain's record.
    ReadForeign(FabricDomainId, ForeignReadPurpose),
    /// Claim instances in another domain's record for a replica.
    WriteForeign(ReplicaId, RecordWrite),
    /// Give an order to an instance.
    Order(OrderCall),
    /// Tell all nodes.
    Publish(GossipItem),
    /// Put a decision on record.
    LogDecision(ControlDecision),
}

/// Compare-and-swap of a domain's record.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordWrite {
    /// The domain.
    pub domain: FabricDomainId,
    /// Revision that must stand there; none for no record.
    pub expected: Option<Revision>,
    /// What to write.
    pub record: Arc<DomainRecord>,
}

/// Order with the time until which its connection may live.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderCall {
    /// The instance.
    pub instance: InstanceId,
    /// Address of its engine.
    pub addr: std::net::SocketAddr,
    /// The order.
    pub order: Order,
    /// End of its connection.
    pub deadline: Time,
}
