//! Instances as the platform lists them, and their own reports.

use std::net::SocketAddr;

use citrongw_state::id::{
    AvailabilityZone, Epoch, FabricDomainId, Incarnation, InstanceId, ModelId, PlainServiceId,
    ReplicaId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a member in its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum MemberState {
    /// The member loads weights or connects to the others.
    #[display("joining")]
    Joining,
    /// The member is ready to serve.
    #[display("ready")]
    Ready,
    /// The member takes requests. Only the first member is ever open.
    #[display("open")]
    Open,
    /// The member finishes its requests and takes no new ones.
    #[display("closing")]
    Closing,
    /// The replica lost a member.
    #[display("broken")]
    Broken,
}

/// Membership of an instance in a replica, as the instance reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Id of the replica; none if its name was not assigned by this system.
    pub replica: Option<ReplicaId>,
    /// Epoch of the join that the instance carried out.
    pub epoch: Epoch,
    /// Index in the member list; the member with index 0 takes the requests.
    pub rank: usize,
    /// State of the instance in the replica.
    pub state: MemberState,
}

impl Membership {
    /// Whether the membership is in this replica and epoch.
    pub fn matches(&self, replica: ReplicaId, epoch: Epoch) -> bool {
        self.replica == Some(replica) && self.epoch == epoch
    }
}

/// Entry of an instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Service that the instance belongs to.
    pub service: PlainServiceId,
    /// Address for requests and orders.
    pub addr: SocketAddr,
    /// Zone that the instance is in.
    pub zone: AvailabilityZone,
    /// Requests that the instance processes at once.
    pub slots: u32,
    /// Whether the instance is about to shut down.
    pub leaving: bool,
    /// Fabric domain of the instance, if any.
    pub domain: Option<FabricDomainId>,
    /// Model that the instance serves or loads.
    pub model: Option<ModelId>,
    /// Models whose weights are on the instance.
    pub staged: Vec<ModelId>,
    /// Replica that the instance is a member of, if any.
    pub membership: Option<Membership>,
}

/// Response of an instance to a direct poll.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReport {
    /// Incarnation of the process, if the instance reports it.
    pub incarnation: Option<Incarnation>,
    /// Models whose weights are on the instance.
    pub staged: Vec<ModelId>,
    /// Replica that the instance is a member of, if any.
    pub membership: Option<Membership>,
}
