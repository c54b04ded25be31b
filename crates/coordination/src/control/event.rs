//! Events that the control of a domain handles, and the actions it returns.

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

/// Outcome of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect as this revision.
    Committed(Revision),
    /// The key had another revision. Holds the record found, or `None` if there
    /// is none.
    Conflict(Option<(Arc<DomainRecord>, Revision)>),
    /// No response arrived: the write may have taken effect, or may still do so.
    Uncertain,
}

/// Event that a domain's control handles.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Periodic tick.
    Tick,
    /// The record was read. `None` if it does not exist.
    Read(Option<(Arc<DomainRecord>, Revision)>),
    /// The record was received from a watch or a peer. It may be stale.
    RecordReceived(Arc<DomainRecord>, Revision),
    /// A read failed.
    ReadFailed,
    /// A write of this domain's record ended.
    Written(AttemptId, WriteOutcome),
    /// The instance list was received. Holds its instances of this domain.
    Listed(Vec<ListedInstance>),
    /// An instance replied to a status request that was sent at this time.
    Status(InstanceId, EngineStatus, Time),
    /// An instance replied to an order.
    OrderReplied(InstanceId, OrderReply),
    /// The record of another domain was read for a claim or a check.
    ForeignRead(ForeignReadPurpose, Option<(Arc<DomainRecord>, Revision)>),
    /// The write of a claim in another domain ended. Its outcome may be
    /// unknown.
    ForeignWritten(ReplicaId),
}

/// Purpose of reading another domain's record.
#[derive(Debug, Clone, PartialEq)]
pub enum ForeignReadPurpose {
    /// Claim instances there for a replica of this domain.
    Claim(ReplicaId),
    /// Check whether these claims, which replicas of the other domain hold in
    /// this one, are still valid.
    Check(Vec<ForeignClaim>),
}

/// Action that a domain's control requests.
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
    /// Send an order to an instance.
    Order(OrderCall),
    /// Publish an update to all nodes.
    Publish(GossipItem),
    /// Add a decision to the decision log.
    LogDecision(ControlDecision),
}

/// Compare-and-swap of a domain's record.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordWrite {
    /// Domain whose record is written.
    pub domain: FabricDomainId,
    /// Revision that the key must have. `None` if the key must be absent.
    pub expected: Option<Revision>,
    /// New content of the record.
    pub record: Arc<DomainRecord>,
}

/// Order to an engine, with the deadline of its connection.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderCall {
    /// Instance that receives the order.
    pub instance: InstanceId,
    /// Address of its engine.
    pub addr: std::net::SocketAddr,
    /// Content of the order.
    pub order: Order,
    /// Time at which the connection is closed.
    pub deadline: Time,
}
