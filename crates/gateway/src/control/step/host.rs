//! Instances of a domain as its owner sees them.

use std::{collections::BTreeMap, net::SocketAddr};

use citrongw_state::{
    id::{Incarnation, InstanceId, ModelId},
    time::Time,
};

use crate::instance::Membership;

/// Whether an instance answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It answered lately, or has not been asked.
    Alive,
    /// It does not answer.
    Unresponsive {
        /// Since when.
        since: Time,
    },
    /// Its address refuses connections.
    Refusing,
}

/// Instance of the domain as the owner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// The instance.
    pub id: InstanceId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Address for orders.
    pub addr: SocketAddr,
    /// Whether it answers.
    pub liveness: Liveness,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the platform lists it. One that it does not list and that answers is
    /// cut off from the platform, or leaving without a word.
    pub is_listed: bool,
    /// Models whose weights are on its host.
    pub staged: Vec<ModelId>,
    /// Its place in a replica.
    pub membership: Option<Membership>,
}

impl Host {
    /// Whether it may take a replica's requests from now on.
    pub(super) fn can_lead(&self) -> bool {
        self.is_alive() && !self.leaving && self.is_listed
    }

    pub(super) fn is_alive(&self) -> bool {
        self.liveness == Liveness::Alive
    }
}

/// Instances of the domain.
pub type Hosts = BTreeMap<InstanceId, Host>;
