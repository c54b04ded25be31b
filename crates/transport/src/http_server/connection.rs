//! One connection of a port.

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
    Port,
    guarded::{Guarded, OpenExchange, OpenExchanges},
    refused, stopped,
};

/// Most headers of one request.
const MAX_HEADERS: usize = 64;
/// Most bytes of a connection that wait to be read, above the bounds of heads
/// that operators set.
const MAX_BUFFER_BYTES: usize = 128 * 1024;
/// Longest time that a peer is read from after its connection was given up, so
/// that the answer isn't lost to a reset.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes read from such a peer, at most.
const LINGER_BYTES: usize = 8 * 1024 * 1024;

/// Serves one connection to its end.
pub(super) async fn serve<S>(mut port: Port, stream: S, peer: SocketAddr)
where
    S: AsyncRead + AsyncWrite + Unpin + Send,
{
    let exchanges = OpenExchanges::default();
    let stream = Guarded::new(stream, Arc::clone(&port.options), exchanges.clone());
    let service = Numbered { router: Responder::new(port.tree.clone(), Some(peer)), exchanges };
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

/// Lets a peer that is still sending read its answer first.
async fn linger<S: AsyncRead + AsyncWrite + Unpin>(mut stream: Guarded<S>) {
    if stream.is_at_end() || stream.shutdown().await.is_err() {
        return;
    }
    let mut buf = [0; 8 * 1024];
    let read = async {
        let mut seen = 0;
        while let Ok(count @ 1..) = stream.read(&mut buf).await {
            seen += count;
            if LINGER_BYTES < seen {
                return;
            }
        }
    };
    // A peer that neither sends nor closes has had its time.
    let _ = tokio::time::timeout(LINGER_TIME, read).await;
}

/// Service whose answers all carry a request id. What the HTTP library answers
/// by itself does not, and is told apart by that.
struct Numbered {
    router: Responder<SocketAddr>,
    exchanges: OpenExchanges,
}

impl Service<Request<Incoming>> for Numbered {
    type Response = Response<CountedBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<CountedBody>, Infallible>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let exchange = self.exchanges.enter();
        let answered = self.router.call(req);
        async move {
            let response = number(answered.await)?;
            Ok(response.map(|inner| CountedBody { inner, _exchange: exchange }))
        }
        .boxed()
    }
}

/// Body of an answer; its exchange is open until it is dropped.
struct CountedBody {
    inner: Body,
    _exchange: OpenExchange,
}

impl hyper::body::Body for CountedBody {
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

fn number(res: Result<Response<Body>, Infallible>) -> Result<Response<Body>, Infallible> {
    let Ok(mut response) = res;
    if response.headers().contains_key(REQUEST_ID_HEADER) {
        return Ok(response);
    }
    // The router has no path or method that fits, and says so without a body.
    if response.status() == StatusCode::NOT_FOUND && response.body().is_end_stream() {
        return Ok(refused::response(ResultCode::NotFound));
    }
    let id = refused::new_request_id().to_string();
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}
