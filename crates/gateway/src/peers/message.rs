//! Messages between gateways. Except for the loads, they are hints that save time: the
//! platform's lists or polls of the instances show the same a little later.

use citrongw_state::id::{
    AvailabilityZone, Epoch, FabricDomainId, Fingerprint, InstanceId, ModelId, PlainServiceId,
    ReplicaId, ServerIncarnation,
};
use citrongw_transport::peer_udp::Datagram;
use serde::{Deserialize, Serialize};

use crate::{listing::ListChange, peer_loads::LoadReport};

/// Message between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// To the owner of a domain: a replica does not respond to requests.
    Suspect {
        /// Service that the domain belongs to.
        service: PlainServiceId,
        /// Fabric domain within the service.
        domain: FabricDomainId,
        /// Id of the replica.
        replica: ReplicaId,
        /// Epoch of the replica.
        epoch: Epoch,
    },
    /// From the owner of a domain: a replica takes no requests any more.
    Down {
        /// Id of the replica.
        replica: ReplicaId,
        /// Epoch of the replica.
        epoch: Epoch,
    },
    /// From the owner of a domain: a replica takes requests.
    Up(OpenReplica),
    /// From a gateway that became the owner of a domain.
    Owner {
        /// Service that the domain belongs to.
        service: PlainServiceId,
        /// Fabric domain within the service.
        domain: FabricDomainId,
    },
    /// From a gateway of the same zone: its requests at each replica.
    Load(LoadReport),
    /// From the list reader: changes of the instance list.
    List(ListChange),
    /// From the list reader to the reporter of another zone, which forwards it to
    /// its zone as `List`.
    ListForZone(ListChange),
    /// To the sender of a change of the instance list: the receiver's copy has this
    /// digest, so changes after it were lost.
    ListMissing {
        /// Digest of the copy.
        digest: u64,
    },
    /// From the reporter of another zone: the requests of that zone.
    ZoneLoad {
        /// Zone of the requests' gateways.
        zone: AvailabilityZone,
        /// Sums of the zone for each replica.
        report: LoadReport,
    },
    /// A backend server crashed with this request in flight.
    Crash {
        /// Death of the server.
        death: ServerIncarnation,
        /// Signatures of the request.
        signatures: Vec<Fingerprint>,
    },
    /// A request succeeded, so that these signatures are no longer suspected.
    Cleared {
        /// Signatures of the request.
        signatures: Vec<Fingerprint>,
    },
}

/// Replica that takes requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenReplica {
    /// Service that the replica belongs to.
    pub service: PlainServiceId,
    /// Model that the replica serves.
    pub model: ModelId,
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Epoch of the replica.
    pub epoch: Epoch,
    /// Member that takes the requests.
    pub head: InstanceId,
}

impl Datagram for PeerMessage {
    fn allows_any_receiver(&self) -> bool {
        false
    }
}
