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
use http::{HeaderValue, Request, Response, StatusCode};
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

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum read buffer of a connection, larger than the head limits that
/// operators set.
const MAX_BUFFER_BYTES: usize = 128 * 1024;
/// Maximum time for reading and discarding input after the connection ends, so
/// that a reset doesn't lose the response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Maximum number of bytes read and discarded in that time.
const LINGER_BYTES: usize = 8 * 1024 * 1024;

/// Serves one connection to its end.
pub(super) async fn serve<S>(mut port: Port, stream: S, peer: SocketAddr)
where
    S: AsyncRead + AsyncWrite + Unpin + Send,
{
    let exchanges = OpenExchanges::default();
    let stream = GuardedStream::new(stream, Arc::clone(&port.options), exchanges.clone());
    let service =
        RequestIdService { router: Responder::new(port.tree.clone(), Some(peer)), exchanges };
    let mut connection = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_BUFFER_BYTES)
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
    linger(stream).await;
}

/// Shuts down writing and discards input, so that a peer that is still sending
/// can read its response before the close.
async fn linger<S: AsyncRead + AsyncWrite + Unpin>(mut stream: GuardedStream<S>) {
    if stream.is_at_end() || stream.shutdown().await.is_err() {
        return;
    }
    let mut buf = [0; 8 * 1024];
    let read = async {
        let mut discarded = 0;
        while let Ok(count @ 1..) = stream.read(&mut buf).await {
            discarded += count;
            if LINGER_BYTES < discarded {
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
}

impl Service<Request<Incoming>> for RequestIdService {
    type Response = Response<TrackedBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<TrackedBody>, Infallible>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let exchange = self.exchanges.begin_exchange();
        let call = self.router.call(req);
        async move {
            let response = add_request_id(call.await)?;
            Ok(response.map(|inner| TrackedBody { inner, _exchange: exchange }))
        }
        .boxed()
    }
}

/// Response body that keeps its exchange open until it is dropped.
struct TrackedBody {
    inner: Body,
    _exchange: OpenExchange,
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
