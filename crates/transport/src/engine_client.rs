//! HTTP client of the model engines.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use citrongw_protocol::engine::{
    Chunk, ChunkStream, Engine, EngineError, EngineResult, EngineStatus, GenerateRequest,
    KvCacheBlock, Order, OrderReply,
};
use citrongw_state::id::StreamId;
use futures::{FutureExt, StreamExt, future::BoxFuture};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    event_stream,
    http_client::{self, HttpClient, HttpError},
};

/// Client of the engines; calls take the engine's address.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
    call_timeout: Duration,
}

/// Creates a client. Calls other than streams time out after `call_timeout`.
pub fn open(call_timeout: Duration) -> EngineClient {
    EngineClient { http: http_client::open(), call_timeout }
}

/// Body of `/engine/resume`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResumeBody {
    /// Stream to resume.
    pub stream: StreamId,
    /// Sequence number of the first token to send.
    pub offset: u64,
}

/// Body of `/engine/cancel`.
#[derive(Debug, Serialize, Deserialize)]
pub struct CancelBody {
    /// Stream to cancel.
    pub stream: StreamId,
}

/// Body of `/engine/cache/export`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ExportBody {
    /// Prompt prefix whose KV cache is exported.
    pub prefix: String,
}

/// Body of the response with status 409 or 503 by which an engine refuses a
/// request.
#[derive(Debug, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Reason of the refusal.
    pub reason: String,
    /// Whether the engine is draining and takes no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the engine confirms that it ran no part of the request.
    pub not_run: bool,
}

impl EngineClient {
    async fn stream<T: Serialize + Sync>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &T,
    ) -> EngineResult<ChunkStream> {
        let body = self.http.post_streaming(addr, path, body).await.map_err(engine_error)?;
        let is_last = |chunk: &Chunk| matches!(chunk, Chunk::End { .. });
        let chunks = event_stream::read_until(body, is_last);
        Ok(chunks.map(|item| item.map_err(engine_error)).boxed())
    }

    async fn call<T: Serialize + Sync, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &T,
    ) -> EngineResult<R> {
        self.http.post_json(addr, path, body, self.call_timeout).await.map_err(engine_error)
    }
}

impl Engine for EngineClient {
    fn generate(
        &self,
        addr: SocketAddr,
        request: GenerateRequest,
    ) -> BoxFuture<'_, EngineResult<ChunkStream>> {
        async move { self.stream(addr, "/engine/generate", &request).await }.boxed()
    }

    fn resume(
        &self,
        addr: SocketAddr,
        stream: StreamId,
        offset: u64,
    ) -> BoxFuture<'_, EngineResult<ChunkStream>> {
        async move { self.stream(addr, "/engine/resume", &ResumeBody { stream, offset }).await }
            .boxed()
    }

    fn cancel(&self, addr: SocketAddr, stream: StreamId) -> BoxFuture<'_, EngineResult<()>> {
        async move { self.call(addr, "/engine/cancel", &CancelBody { stream }).await }.boxed()
    }

    fn status(&self, addr: SocketAddr) -> BoxFuture<'_, EngineResult<EngineStatus>> {
        async move {
            let res = self.http.get_json(addr, "/engine/status", self.call_timeout).await;
            res.map_err(engine_error)
        }
        .boxed()
    }

    fn order(&self, addr: SocketAddr, order: Order) -> BoxFuture<'_, EngineResult<OrderReply>> {
        async move { self.call(addr, "/engine/order", &order).await }.boxed()
    }

    fn export_cache(
        &self,
        addr: SocketAddr,
        prefix: String,
    ) -> BoxFuture<'_, EngineResult<KvCacheBlock>> {
        async move {
            let body = ExportBody { prefix };
            let exchange = async {
                let body = self.http.post_streaming(addr, "/engine/cache/export", &body).await?;
                http_client::read_bytes(body).await
            };
            let res = tokio::time::timeout(self.call_timeout, exchange).await;
            let bytes = res.unwrap_or(Err(HttpError::Interrupted)).map_err(engine_error)?;
            Ok(KvCacheBlock(bytes))
        }
        .boxed()
    }

    fn import_cache(
        &self,
        addr: SocketAddr,
        prefix: String,
        block: KvCacheBlock,
    ) -> BoxFuture<'_, EngineResult<()>> {
        async move {
            let request = import_request(addr, &prefix, block.0)?;
            let res = tokio::time::timeout(self.call_timeout, self.http.send(request)).await;
            let response = res.unwrap_or(Err(HttpError::Interrupted)).map_err(engine_error)?;
            if response.status() == StatusCode::OK {
                return Ok(());
            }
            Err(EngineError::Failed { reason: response.status().to_string() })
        }
        .boxed()
    }
}

fn import_request(
    addr: SocketAddr,
    prefix: &str,
    block: Bytes,
) -> EngineResult<Request<Full<Bytes>>> {
    let digest = blake3::hash(prefix.as_bytes()).to_hex();
    Request::post(format!("http://{addr}/engine/cache/import/{digest}"))
        .body(Full::from(block))
        .map_err(|_| EngineError::NotReached)
}

fn engine_error(error: HttpError) -> EngineError {
    match error {
        HttpError::NotReached | HttpError::ConnectionRefused => EngineError::NotReached,
        HttpError::Interrupted | HttpError::InvalidResponse => EngineError::BrokenOff,
        HttpError::Status { status, body } => match serde_json::from_str::<RefusalBody>(&body) {
            Ok(refusal) if refusal.not_run => {
                EngineError::Refused { reason: refusal.reason, leaving: refusal.leaving }
            }
            _ => EngineError::Failed { reason: format!("status {status}") },
        },
    }
}
