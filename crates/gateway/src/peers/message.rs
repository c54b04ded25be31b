//! What gateways tell each other. All of it is a hint that saves time: the
//! platform's list of instances says the same a little later.

use citrongw_state::id::{Epoch, FabricDomainId, InstanceId, ModelId, PlainServiceId, ReplicaId};
use citrongw_transport::peer_udp::Datagram;
use serde::{Deserialize, Serialize};

use crate::{listing::ListChange, peer_loads::InFlightAt};

/// Message between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// To the owner of a domain: a replica does not answer its requests.
    Suspect {
        /// The service.
        service: PlainServiceId,
        /// The domain.
        domain: FabricDomainId,
        /// The replica.
        replica: ReplicaId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// From the owner of a domain: a replica takes no requests any more.
    Down {
        /// The replica.
        replica: ReplicaId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// From the owner of a domain: a replica takes requests.
    Up(OpenReplica),
    /// From a gateway that begins to own a domain.
    Owner {
        /// The service.
        service: PlainServiceId,
        /// The domain.
        domain: FabricDomainId,
    },
    /// From any gateway: its requests in flight.
    Load(Vec<InFlightAt>),
    /// From the reader of the list of instances: what changed.
    List(ListChange),
}

/// Replica that takes requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenReplica {
    /// The service.
    pub service: PlainServiceId,
    /// Model that it serves.
    pub model: ModelId,
    /// The replica.
    pub replica: ReplicaId,
    /// Its epoch.
    pub epoch: Epoch,
    /// Member that takes the requests.
    pub head: InstanceId,
}

impl Datagram for PeerMessage {
    fn allows_any_receiver(&self) -> bool {
        false
    }
}
