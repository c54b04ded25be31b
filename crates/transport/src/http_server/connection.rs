//! Serving of one server connection.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use citrongw_protocol::{caller::REQUEST_ID_HEADER, code::ResultCode};
use futures::{FutureExt, future::BoxFuture};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{
    body::{Body as _, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::Service,
};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use viz::{Body, Responder};

use super::{
    Port, error_response,
    guarded_stream::{GuardedStream, OpenExchange, OpenExchanges},
    stopped,
};
use crate::memory_budget::{Account, Charge, MemoryKind, OverBudget};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Smallest bound of the read buffer of a connection, and of the responses that wait to
/// be written.
const MIN_BUFFER_BYTES: usize = 32 * 1024;
/// Maximum read buffer of a connection, larger than the head limits that
/// operators set.
const MAX_BUFFER_BYTES: usize = 128 * 1024;
/// Room in the read buffer beyond the largest head.
const BUFFER_MARGIN: usize = 8 * 1024;
/// Memory of a request in progress: its parsed head with up to `MAX_HEADERS` fields and
/// the copy for the server, the part of the response that waits to be written, and the
/// connection to the server.
const REQUEST_BYTES: usize = 48 * 1024;
/// Maximum time for reading and discarding input after the connection ends, so
/// that a reset doesn't lose the response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Maximum number of bytes read and discarded in that time.
const LINGER_BYTES: usize = 8 * 1024 * 1024;
/// The same where memory or descriptors are limited: some socket buffers.
const LIMITED_LINGER_BYTES: usize = 512 * 1024;
/// Requests that a peer may send without waiting for the responses before its connection
/// is closed, where memory or descriptors are limited. Proxies and browsers send one.
const MAX_PIPELINED: u32 = 16;

/// Serves one connection to its end.
pub(super) async fn serve<S>(
    mut port: Port,
    stream: S,
    peer: SocketAddr,
    account: Option<Arc<Account>>,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send,
{
    let exchanges = OpenExchanges::default();
    let max_head_bytes = port.options.limits.max_head_bytes();
    let max_buffer_bytes =
        max_head_bytes.saturating_add(BUFFER_MARGIN).clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES);
    let linger_bytes = if account.is_some() { LIMITED_LINGER_BYTES } else { LINGER_BYTES };
    let options = Arc::clone(&port.options);
    let refuses_over_budget = options.refuses_over_budget;
    let stream = GuardedStream::new(stream, options, exchanges.clone(), account.clone());
    let service = RequestIdService {
        router: Responder::new(port.tree.clone(), Some(peer)),
        exchanges,
        account,
        refuses_over_budget,
    };
    let mut connection = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .max_buf_size(max_buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let res = tokio::select! {
        res = &mut connection => res,
        () = stopped(&mut port.stop_rx) => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let stream = connection.into_parts().io.into_inner();
    if let Err(error) = res {
        tracing::debug!(%error, %peer, "connection ended early");
    }
    linger(stream, linger_bytes).await;
}

/// Shuts down writing and discards input, so that a peer that is still sending
/// can read its response before the close.
async fn linger<S: AsyncRead + AsyncWrite + Unpin>(mut stream: GuardedStream<S>, max_bytes: usize) {
    if stream.is_at_end() || stream.shutdown().await.is_err() {
        return;
    }
    let mut buf = [0; 8 * 1024];
    let read = async {
        let mut discarded = 0;
        while let Ok(count @ 1..) = stream.inner_mut().read(&mut buf).await {
            discarded += count;
            if max_bytes < discarded {
                return;
            }
        }
    };
    // After the timeout the connection is closed.
    let _ = tokio::time::timeout(LINGER_TIME, read).await;
}

/// Service that adds a request id to every response. Responses that the HTTP
/// library generates itself lack it and are recognised by that.
struct RequestIdService {
    router: Responder<SocketAddr>,
    exchanges: OpenExchanges,
    account: Option<Arc<Account>>,
    refuses_over_budget: bool,
}

impl RequestIdService {
    /// Charges a request to the account of the connection.
    fn charge(&self) -> Result<Option<Charge>, OverBudget> {
        let Some(account) = &self.account else { return Ok(None) };
        if !self.refuses_over_budget {
            return Ok(Some(account.charge_held(MemoryKind::Request, REQUEST_BYTES)));
        }
        let charge = account.charge(MemoryKind::Request, REQUEST_BYTES);
        charge.inspect_err(|_| account.record_refusal()).map(Some)
    }
}

impl Service<Request<Incoming>> for RequestIdService {
    type Response = Response<TrackedBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<TrackedBody>, Infallible>>;

    fn call(&self, mut req: Request<Incoming>) -> Self::Future {
        let exchange = self.exchanges.begin_exchange();
        let pipelined = match self.account {
            Some(_) => self.exchanges.count_pipelined(),
            None => 0,
        };
        let Ok(charge) = self.charge() else {
            let response = error_response::over_budget();
            let body = |inner| TrackedBody { inner, _exchange: exchange, _charge: None };
            return std::future::ready(Ok(response.map(body))).boxed();
        };
        if let Some(account) = &self.account {
            req.extensions_mut().insert(Arc::clone(account));
        }
        let call = self.router.call(req);
        async move {
            // Otherwise a connection with thousands of short requests would keep its thread
            // from all other tasks, and polls of servers would time out.
            if 0 < pipelined {
                tokio::task::yield_now().await;
            }
            let mut response = add_request_id(call.await)?;
            if MAX_PIPELINED <= pipelined {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            let body = |inner| TrackedBody { inner, _exchange: exchange, _charge: charge };
            Ok(response.map(body))
        }
        .boxed()
    }
}

/// Response body that keeps its exchange open until it is dropped.
struct TrackedBody {
    inner: Body,
    _exchange: OpenExchange,
    _charge: Option<Charge>,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = viz::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, viz::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

fn add_request_id(res: Result<Response<Body>, Infallible>) -> Result<Response<Body>, Infallible> {
    let Ok(mut response) = res;
    if response.headers().contains_key(REQUEST_ID_HEADER) {
        return Ok(response);
    }
    // The router found no matching path or method and returns 404 without a body.
    if response.status() == StatusCode::NOT_FOUND && response.body().is_end_stream() {
        return Ok(error_response::response(ResultCode::NotFound));
    }
    let id = error_response::new_request_id().to_string();
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}
