//! Model engines: generation, streams, load, KV cache and orders.

mod chunk;

use std::net::SocketAddr;

use bytes::Bytes;
use citrongw_state::{
    config::Priority,
    id::{
        AdapterId, Epoch, Incarnation, InstanceId, ModelId, ModelVersion, ReplicaId, RequestId,
        StreamId,
    },
    replica::MemberReport,
};
use derive_more::{Display, Error};
use futures::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};

/// Generation asked of a replica's first member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Request, for logs on both sides.
    pub request: RequestId,
    /// Name of the stream, drawn by the node.
    pub stream: StreamId,
    /// Replica and epoch that the node means; another one refuses.
    pub replica: ReplicaId,
    /// Epoch of the replica.
    pub epoch: Epoch,
    /// Start of the engine process that the node means.
    pub incarnation: Incarnation,
    /// Model.
    pub model: ModelId,
    /// Adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Priority in the engine's batch.
    pub priority: Priority,
    /// Prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
}

/// Piece of a stream. Sequence numbers count tokens from 0 without gaps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", try_from = "chunk::WireChunk")]
pub enum Chunk {
    /// One token.
    Token {
        /// Place in the stream.
        sequence: u64,
        /// Its text.
        text: String,
    },
    /// The clean end.
    End {
        /// Tokens in the whole stream.
        tokens: u64,
        /// Why generation ended.
        reason: String,
        /// Load as the engine sees it now.
        load: Option<LoadReport>,
    },
}

/// Load of a replica, as its first member tells it, with a lag.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait.
    pub queued_tokens: u64,
    /// Share of the KV cache in use.
    pub cache_used: f32,
    /// Age of the figures.
    pub age_ms: u32,
}

/// Instance's answer to a status call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// What it serves.
    pub member: MemberReport,
    /// Its load.
    pub load: LoadReport,
    /// Mean time of its own part of a step of late; zero if it ran none.
    #[serde(default)]
    pub step_ms: f32,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Joins a replica and loads its weights.
    Load {
        /// Replica to join.
        replica: ReplicaId,
        /// Model.
        model: ModelId,
        /// Version.
        version: ModelVersion,
        /// Adapters.
        adapters: Vec<AdapterId>,
        /// All members, in order.
        members: Vec<InstanceId>,
    },
    /// Takes no new work and finishes what it has.
    Drain,
    /// Leaves its replica.
    Release,
}

/// Order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub epoch: Epoch,
    /// Start of the engine process that it is meant for.
    pub incarnation: Incarnation,
    /// What to do.
    pub kind: OrderKind,
}

/// Engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderReply {
    /// It is carried out, or under way.
    Taken,
    /// The engine has seen a newer epoch.
    OldEpoch {
        /// The newest that it has seen.
        seen: Epoch,
    },
    /// The engine process is another start than the one meant.
    OtherIncarnation {
        /// What it is.
        incarnation: Incarnation,
    },
}

/// Part of a KV cache, as engines move it among themselves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheBlock(pub Bytes);

/// Failure of a call to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EngineError {
    /// No byte of the request can have reached the engine.
    #[display("engine was not reached")]
    NotReached,
    /// The engine refused before running anything.
    #[display("engine refused: {reason}")]
    Refused {
        /// What it said.
        reason: String,
        /// Whether it said that it is leaving.
        leaving: bool,
    },
    /// The connection ended or went silent; the request may have run.
    #[display("engine broke off")]
    BrokenOff,
    /// The engine ran the request and failed.
    #[display("engine failed: {reason}")]
    Failed {
        /// What it said.
        reason: String,
    },
}

/// Result of a call to an engine.
pub type EngineResult<T> = Result<T, EngineError>;

/// Stream of an answer.
pub type ChunkStream = BoxStream<'static, EngineResult<Chunk>>;

/// Client of the engines.
pub trait Engine: Send + Sync {
    /// Generates; dropping the stream leaves it running until cancelled.
    fn generate(
        &self,
        addr: SocketAddr,
        request: GenerateRequest,
    ) -> BoxFuture<'_, EngineResult<ChunkStream>>;

    /// Takes up a stream again, from token `offset` on.
    fn resume(
        &self,
        addr: SocketAddr,
        stream: StreamId,
        offset: u64,
    ) -> BoxFuture<'_, EngineResult<ChunkStream>>;

    /// Ends a stream.
    fn cancel(&self, addr: SocketAddr, stream: StreamId) -> BoxFuture<'_, EngineResult<()>>;

    /// Asks what the instance serves and its load.
    fn status(&self, addr: SocketAddr) -> BoxFuture<'_, EngineResult<EngineStatus>>;

    /// Gives an order.
    fn order(&self, addr: SocketAddr, order: Order) -> BoxFuture<'_, EngineResult<OrderReply>>;

    /// Takes out the KV cache of a prompt prefix.
    fn export_cache(
        &self,
        addr: SocketAddr,
        prefix: String,
    ) -> BoxFuture<'_, EngineResult<KvCacheBlock>>;

    /// Puts in a KV cache taken out elsewhere.
    fn import_cache(
        &self,
        addr: SocketAddr,
        prefix: String,
        block: KvCacheBlock,
    ) -> BoxFuture<'_, EngineResult<()>>;
}
