//! Interface of the gateway to a platform. An adapter only translates: it keeps
//! no state and makes no decisions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citrongw_protocol::store::{Entry, Key, Store};
use citrongw_state::{
    id::{AvailabilityZone, Epoch, InstanceId, ModelId, OrganisationId, ReplicaId},
    request_cost::StatedCost,
    server_limit::StatedLimit,
    server_pause::StatedPause,
};
use citrongw_transport::http_client::HttpClient;
use derive_more::{Debug, Display, Error};
use futures::future::BoxFuture;
use http::{HeaderMap, StatusCode};

use crate::{
    gateway_config::GatewayConfig,
    instance::{InstanceEntry, InstanceReport},
};

/// Metadata of a caller's request, decoded from its headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestMeta {
    /// Id that the caller gave to the attempt.
    pub attempt: Option<String>,
    /// Time that the caller will still wait, as stated in the request.
    pub remaining: Option<Duration>,
    /// API key of the caller.
    pub api_key: Option<String>,
    /// Model that the request is for.
    pub model: Option<ModelId>,
    /// Id of the last event that the caller received of the stream that it
    /// resumes.
    pub last_event: Option<u64>,
    /// Ids of the parts of the prompt, in order. The last one belongs to this
    /// request or its session; other requests share the others.
    pub prompt_parts: Vec<String>,
    /// Cost that the caller states.
    pub cost: StatedCost,
}

/// Metadata that the gateway adds to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardMeta<'a> {
    /// Time that the caller still waits.
    pub remaining: Duration,
    /// Instance that the request is for. Any other instance refuses it.
    pub instance: &'a InstanceId,
    /// Organisation that the key belongs to.
    pub organisation: Option<&'a OrganisationId>,
    /// Urgency from 0, the highest, to 9.
    pub urgency: Option<u8>,
    /// Id of the event after which a resumed stream continues.
    pub resume_after: Option<u64>,
}

/// Load that a backend server reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Metadata of a backend server's response, decoded from its status and headers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseMeta {
    /// Id of the caller's attempt that the response belongs to.
    pub attempt: Option<String>,
    /// Whether the backend server reports that the request did not run.
    pub not_run: bool,
    /// Load of the backend server, if the response reports it.
    pub load: Option<ServerLoad>,
    /// Limit that the backend server states.
    pub limit: StatedLimit,
    /// Pause that the backend server requests in a rejection.
    pub pause: StatedPause,
    /// Whether the backend server states that it is leaving.
    pub is_leaving: bool,
    /// Instance that caused the failure, if it is not the one that the request
    /// was sent to.
    pub at_fault: Option<InstanceId>,
    /// Time until the backend server is warm, if it states that.
    pub cold_left: Option<Duration>,
}

/// A record of the platform could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{message}")]
pub struct CodecError {
    /// Description of the fault in the record.
    pub message: String,
}

/// Names and encodings of the platform's records and headers.
pub trait Codec: Send + Sync {
    /// Key of the operators' configuration.
    fn config_key(&self) -> Key;

    /// Prefix of the keys of instance entries.
    fn instances_prefix(&self) -> Key;

    /// Decodes the configuration.
    fn decode_config(&self, entry: &Entry) -> Result<GatewayConfig, CodecError>;

    /// Decodes an instance entry.
    fn decode_instance(&self, entry: &Entry) -> Result<InstanceEntry, CodecError>;

    /// Decodes the time until an instance is warm, if its entry states that.
    fn decode_cold_left(&self, _entry: &Entry) -> Option<Duration> {
        None
    }
    /// Prefix of the keys that put availability zones under evacuation.
    fn evacuations_prefix(&self) -> Key;

    /// Decodes the zone that a key below that prefix puts under evacuation.
    fn decode_evacuation(&self, key: &Key) -> Result<AvailabilityZone, CodecError>;

    /// Decodes the headers of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestMeta;

    /// Sets the headers of a forwarded request.
    fn set_forward(&self, headers: &mut HeaderMap, forward: &ForwardMeta<'_>);

    /// Sets the headers of a request that another gateway sends on: the time that the
    /// caller still waits, and the event after which a resumed stream continues.
    fn set_relayed(&self, headers: &mut HeaderMap, remaining: Duration, resume_after: Option<u64>);

    /// Decodes status and headers of a backend server's response.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMeta;
}

/// Order to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Order {
    /// Become a member of a replica.
    #[display("join {replica} epoch {epoch} model {model}")]
    Join {
        /// Id of the replica.
        replica: ReplicaId,
        /// Epoch of the replica.
        epoch: Epoch,
        /// Id of the model.
        model: ModelId,
        /// All members by rank; the first one takes the requests.
        members: Vec<InstanceId>,
    },
    /// Load a model's weights onto the instance, independent of its other work. A
    /// join that arrives during the load waits for the weights and does not start
    /// the load again.
    #[display("stage {model}")]
    Stage {
        /// Id of the model.
        model: ModelId,
    },
    /// Take requests. Sent to the first member only.
    #[display("open {replica} epoch {epoch}")]
    Open {
        /// Id of the replica.
        replica: ReplicaId,
        /// Epoch of the replica.
        epoch: Epoch,
    },
    /// Finish the running requests and take no new ones. Sent to the first member
    /// only.
    #[display("close {replica} epoch {epoch}")]
    Close {
        /// Id of the replica.
        replica: ReplicaId,
        /// Epoch of the replica.
        epoch: Epoch,
    },
    /// Leave the replica at once.
    #[display("leave {replica} epoch {epoch}")]
    Leave {
        /// Id of the replica.
        replica: ReplicaId,
        /// Epoch of the replica.
        epoch: Epoch,
    },
}

/// Response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderReply {
    /// The instance has begun to carry out the order.
    #[display("begun")]
    Begun,
    /// The order is carried out, or the instance was already in its target state.
    #[display("done")]
    Done,
    /// The order does not fit the state of the instance.
    #[display("unfit")]
    InvalidState,
    /// The instance has seen a later epoch.
    #[display("old epoch")]
    OldEpoch,
    /// Another instance responded at the address.
    #[display("other instance")]
    OtherInstance,
}

/// Failure of a poll of an instance, or of an order to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum InstanceError {
    /// The address refused the connection.
    #[display("instance was not reached")]
    NotReached,
    /// No response arrived. An order may have been carried out or may still be.
    #[display("instance did not respond")]
    NoResponse,
    /// The response could not be decoded.
    #[display("response could not be decoded")]
    InvalidResponse,
}

/// Client for reports and orders.
pub trait InstanceClient: Send + Sync {
    /// Requests a report from an instance.
    fn report(&self, addr: SocketAddr) -> BoxFuture<'_, Result<InstanceReport, InstanceError>>;

    /// Sends an order to an instance.
    fn order(
        &self,
        addr: SocketAddr,
        order: Order,
    ) -> BoxFuture<'_, Result<OrderReply, InstanceError>>;
}

/// Clients and codec of one platform.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// Client of the key-value service.
    #[debug(skip)]
    pub store: Arc<dyn Store>,
    /// Names and encodings on the wire.
    #[debug(skip)]
    pub codec: Arc<dyn Codec>,
    /// HTTP client for requests to backend servers.
    pub http: HttpClient,
    /// Client of the instances.
    #[debug(skip)]
    pub instances: Arc<dyn InstanceClient>,
}
