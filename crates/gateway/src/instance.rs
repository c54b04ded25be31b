//! Instances as the platform lists them, and what they say of themselves.

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
    /// It loads weights or connects to the others.
    #[display("joining")]
    Joining,
    /// It can serve.
    #[display("ready")]
    Ready,
    /// It takes requests; only the first member is ever open.
    #[display("open")]
    Open,
    /// It finishes its requests and takes no new ones.
    #[display("closing")]
    Closing,
    /// The replica lost a member.
    #[display("broken")]
    Broken,
}

/// Place of an instance in a replica, as the instance reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// The replica; none if its name was not given by this system.
    pub replica: Option<ReplicaId>,
    /// Epoch of the join that it carried out.
    pub epoch: Epoch,
    /// Place in the list of members; 0 takes the requests.
    pub rank: usize,
    /// State.
    pub state: MemberState,
}

impl Membership {
    /// Whether it is of this replica and epoch.
    pub fn matches(&self, replica: ReplicaId, epoch: Epoch) -> bool {
        self.replica == Some(replica) && self.epoch == epoch
    }
}

/// Instance with all that it says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance.
    pub id: InstanceId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Service that it belongs to.
    pub service: PlainServiceId,
    /// Address for requests and orders.
    pub addr: SocketAddr,
    /// Zone.
    pub zone: AvailabilityZone,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Fabric domain, if it has one.
    pub domain: Option<FabricDomainId>,
    /// Model that it serves or loads.
    pub model: Option<ModelId>,
    /// Models whose weights are on its host.
    pub staged: Vec<ModelId>,
    /// Its place in a replica.
    pub membership: Option<Membership>,
}

/// What an instance answers when asked directly.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReport {
    /// Start of its process, if it says so.
    pub incarnation: Option<Incarnation>,
    /// Models whose weights are on its host.
    pub staged: Vec<ModelId>,
    /// Its place in a replica.
    pub membership: Option<Membership>,
}
