//! Instances of a domain as known to its owner.

use std::{collections::BTreeMap, net::SocketAddr};

use citrongw_state::{
    id::{Incarnation, InstanceId, ModelId},
    time::Time,
};

use crate::instance::Membership;

/// Whether an instance responds to polls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The last polls succeeded, or there was none yet.
    Alive,
    /// Polls time out or fail.
    Unresponsive {
        /// When the first of the failed polls was sent.
        since: Time,
    },
    /// The address refuses connections.
    Refusing,
}

/// Instance of the domain as known to the owner.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address for orders.
    pub addr: SocketAddr,
    /// Whether the instance responds to polls.
    pub liveness: Liveness,
    /// Whether the instance is about to shut down.
    pub leaving: bool,
    /// Whether the platform lists the instance. An instance that responds but is
    /// not listed is cut off from the platform, or leaves without notice.
    pub is_listed: bool,
    /// Whether the instance has just started and tolerates few requests.
    pub is_cold: bool,
    /// Models whose weights are on the instance.
    pub staged: Vec<ModelId>,
    /// Replica that the instance is a member of, if any.
    pub membership: Option<Membership>,
}

impl Host {
    /// Whether the instance may become or stay the head of a replica.
    pub(super) fn can_lead(&self) -> bool {
        self.is_alive() && !self.leaving && self.is_listed
    }

    pub(super) fn is_alive(&self) -> bool {
        self.liveness == Liveness::Alive
    }
}

/// Instances of the domain by id.
pub type Hosts = BTreeMap<InstanceId, Host>;
