//! Messages between gateways. Except for the loads, they are hints that save time: the
//! platform's lists or polls of the instances show the same a little later.

use std::{net::SocketAddr, time::Duration};

use citrongw_state::{
    cold_server::ColdLimit,
    evacuation::EvacuatedZones,
    id::{
        AvailabilityZone, Epoch, FabricDomainId, Fingerprint, InstanceId, ModelId, PlainServiceId,
        ReplicaId, ServerIncarnation,
    },
    server_limit::{permits::Permit, statements::Statement},
    time::Time,
    unit::RequestsPerSecond,
};
use citrongw_transport::peer_udp::Datagram;
use serde::{Deserialize, Serialize};

use super::work_readers::WorkReaderAnnouncement;
use crate::{
    listing::ListChange,
    peer_loads::{LoadReport, work::WorkReport},
};

/// Message between gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
    /// A backend server stated a limit, or no longer has one.
    ServerLimit {
        /// Server that stated it.
        server: ServerIncarnation,
        /// Newest statement.
        statement: ReportedStatement,
    },
    /// To the granter of a server with a limit.
    PermitRequest(PermitRequest),
    /// From the granter.
    PermitReply(PermitReply),
    /// A backend server stated that it is leaving.
    ServerLeaving {
        /// Server that stated it.
        server: ServerIncarnation,
    },
    /// From the reader of the instance list: servers that state that they are cold.
    ColdServers(Vec<ColdStatement>),
    /// To the granter of a cold server, which replies with `PermitReply`.
    ColdPermitRequest(ColdPermitRequest),
    /// From a gateway that read the zones under evacuation, or knows a recent read.
    Evacuations(EvacuationUpdate),
    /// From a gateway that the key-value service refuses, to any other: requests the
    /// zones under evacuation.
    EvacuationsRequest {
        /// Address for the reply. The sender may not be listed any more.
        reply_to: SocketAddr,
    },
    /// The sender reads reports of work.
    ReadsWork(WorkReaderAnnouncement),
    /// From a gateway of the same zone: the work of its requests, in place of `Load`.
    Work(WorkReport),
    /// From the reporter of another zone: the work of that zone, in place of `ZoneLoad`.
    ZoneWork {
        /// Zone of the requests' gateways.
        zone: AvailabilityZone,
        /// Sums of the zone for each replica.
        report: WorkReport,
    },
}

/// Zones under evacuation, as one gateway sends them to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// Zones that were read.
    pub evacuated: EvacuatedZones,
    /// Time since they were requested from the key-value service.
    pub age: Duration,
    /// Whether the receiver sends the update on to the gateways of its zone.
    pub must_forward: bool,
}

/// Limit of a server, as one gateway reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportedStatement {
    limit: Option<RequestsPerSecond>,
    age: Duration,
}

impl ReportedStatement {
    /// Converts a statement of the sender.
    pub fn new(statement: Statement, now: Time) -> Self {
        Self { limit: statement.limit, age: now.since(statement.stated_at) }
    }

    /// Converts the report to a statement on the receiver's clock.
    pub fn into_statement(self, now: Time) -> Statement {
        Statement { limit: self.limit, stated_at: now - self.age }
    }
}

/// Request for a permit for one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Id of the request at its sender, the same when it is repeated.
    pub id: u64,
    /// Server that the attempt is for.
    pub server: ServerIncarnation,
    /// Zone of the server.
    pub zone: AvailabilityZone,
    /// Newest statement that the sender knows.
    pub statement: ReportedStatement,
}

/// Time until a server is warm, as it states itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStatement {
    /// Server that states it.
    pub server: ServerIncarnation,
    /// Time until the server is warm.
    pub left: Duration,
}

/// Request for a permit for one attempt at a cold server. The granter need not know that
/// the server is cold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdPermitRequest {
    /// Id of the request at its sender.
    pub id: u64,
    /// Server that the attempt is for.
    pub server: ServerIncarnation,
    /// Zone of the server.
    pub zone: AvailabilityZone,
    /// Limit of the server.
    pub limit: ColdLimit,
}

/// Reply to a request for a permit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Id of the request.
    pub id: u64,
    /// Server that the attempt is for.
    pub server: ServerIncarnation,
    /// Whether the attempt may be sent.
    pub permit: Permit,
    /// Newest statement that the granter knows.
    pub statement: Option<ReportedStatement>,
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
