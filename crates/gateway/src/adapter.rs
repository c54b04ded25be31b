//! What the gateway needs from a platform. An adapter only translates; it keeps
//! no state and decides nothing.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citrongw_protocol::store::{Entry, Key, Store};
use citrongw_state::id::{Epoch, InstanceId, ModelId, OrganisationId, ReplicaId};
use derive_more::{Debug, Display, Error};
use futures::future::BoxFuture;
use http::{HeaderMap, StatusCode};

use crate::{
    gateway_config::GatewayConfig,
    instance::{InstanceEntry, InstanceReport},
};

/// What a caller's request says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestMeta {
    /// Id of the caller's attempt.
    pub attempt: Option<String>,
    /// Time that the caller waits.
    pub remaining: Option<Duration>,
    /// API key.
    pub api_key: Option<String>,
    /// Model asked for.
    pub model: Option<ModelId>,
    /// Last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
}

/// What the gateway adds to a request that it passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward<'a> {
    /// Time that is left.
    pub remaining: Duration,
    /// Instance that is meant; any other refuses.
    pub instance: &'a InstanceId,
    /// Organisation that the key belongs to.
    pub organisation: Option<&'a OrganisationId>,
    /// Urgency from 0, the highest, to 9.
    pub urgency: Option<u8>,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
}

/// Load that a backend server tells with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What an answer says beside its body.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseMeta {
    /// Id of the attempt that it answers.
    pub attempt: Option<String>,
    /// Whether the backend server says that the request did not run.
    pub not_run: bool,
    /// Load of the backend server.
    pub load: Option<ServerLoad>,
    /// Instance that is at fault, if another than the one asked.
    pub at_fault: Option<InstanceId>,
}

/// A record of the platform could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{message}")]
pub struct CodecError {
    /// What is wrong with it.
    pub message: String,
}

/// Names of the platform's records and headers.
pub trait Codec: Send + Sync {
    /// Key of the operators' configuration.
    fn config_key(&self) -> Key;

    /// Prefix of the instances' entries.
    fn instances_prefix(&self) -> Key;

    /// Reads the configuration.
    fn decode_config(&self, entry: &Entry) -> Result<GatewayConfig, CodecError>;

    /// Reads an instance's entry.
    fn decode_instance(&self, entry: &Entry) -> Result<InstanceEntry, CodecError>;

    /// Reads the headers of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestMeta;

    /// Sets the headers of a request that is passed on.
    fn set_forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>);

    /// Reads status and headers of a backend server's answer.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMeta;
}

/// What an order asks of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Order {
    /// Becomes a member of a replica.
    #[display("join {replica} epoch {epoch}")]
    Join {
        /// The replica.
        replica: ReplicaId,
        /// Its epoch.
        epoch: Epoch,
        /// The model.
        model: ModelId,
        /// All members, the one that takes requests first.
        members: Vec<InstanceId>,
    },
    /// Loads a model's weights onto its host, beside whatever else it does. A
    /// join meanwhile waits for the weights and does not begin again.
    #[display("stage {model}")]
    Stage {
        /// The model.
        model: ModelId,
    },
    /// Takes requests; for the first member.
    #[display("open {replica} epoch {epoch}")]
    Open {
        /// The replica.
        replica: ReplicaId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Finishes its requests and takes no new ones; for the first member.
    #[display("close {replica} epoch {epoch}")]
    Close {
        /// The replica.
        replica: ReplicaId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Leaves its replica at once.
    #[display("leave {replica} epoch {epoch}")]
    Leave {
        /// The replica.
        replica: ReplicaId,
        /// Its epoch.
        epoch: Epoch,
    },
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderReply {
    /// It has begun.
    #[display("begun")]
    Begun,
    /// It is done, or its state held already.
    #[display("done")]
    Done,
    /// It does not fit the state of the instance.
    #[display("unfit")]
    InvalidState,
    /// The instance has seen a later epoch.
    #[display("old epoch")]
    OldEpoch,
    /// Another instance answered at the address.
    #[display("other instance")]
    OtherInstance,
}

/// Failure of a call to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CallError {
    /// The address refused the connection.
    #[display("instance was not reached")]
    NotReached,
    /// There was no answer; the call may be carried out, also later.
    #[display("instance did not answer")]
    NoResponse,
    /// The answer could not be read.
    #[display("answer could not be read")]
    InvalidResponse,
}

/// Client for what instances answer and carry out.
pub trait Instances: Send + Sync {
    /// Asks an instance what it holds.
    fn report(&self, addr: SocketAddr) -> BoxFuture<'_, Result<InstanceReport, CallError>>;

    /// Gives an order.
    fn order(&self, addr: SocketAddr, order: Order)
    -> BoxFuture<'_, Result<OrderReply, CallError>>;
}

/// A platform as the gateway sees it.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// Client of the key-value service.
    #[debug(skip)]
    pub store: Arc<dyn Store>,
    /// Names on the wire.
    #[debug(skip)]
    pub codec: Arc<dyn Codec>,
    /// Client of the instances.
    #[debug(skip)]
    pub instances: Arc<dyn Instances>,
}
