//! Response body. Reading it to the end returns the connection to the pool;
//! dropping it earlier closes the connection.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Instant;

use super::{connection::Connection, pool::Host, request_body::UploadHandle};

/// Maximum time for reading the rest of a response whose last event was received.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of frames read in that time.
const DRAIN_FRAMES: usize = 4;

/// Response body read from a pooled connection.
#[derive(Debug)]
pub struct PooledBody {
    inner: Incoming,
    connection: Option<Connection>,
    /// Upload of the exchange, which may not have begun when the response arrives.
    upload: Option<UploadHandle>,
    host: Arc<Host>,
    last_received_at: Instant,
    ended: bool,
}

impl PooledBody {
    pub(super) fn new(
        inner: Incoming,
        connection: Option<Connection>,
        upload: Option<UploadHandle>,
        host: Arc<Host>,
    ) -> Self {
        let last_received_at = Instant::now();
        let mut body = Self { inner, connection, upload, host, last_received_at, ended: false };
        if body.inner.is_end_stream() {
            body.finish();
        }
        body
    }

    /// Reads what follows the last event of a response, so that the connection
    /// can be reused.
    pub(crate) fn spawn_drain(mut self) {
        if self.ended {
            return;
        }
        tokio::spawn(async move {
            let read = async {
                for _ in 0..DRAIN_FRAMES {
                    if self.frame().await.is_none() {
                        return;
                    }
                }
            };
            // On a timeout the body is dropped, which closes the connection.
            let _ = tokio::time::timeout(DRAIN_TIMEOUT, read).await;
        });
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            self.host.put_back(connection);
        }
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(_))) => {
                self.last_received_at = Instant::now();
                if self.inner.is_end_stream() {
                    self.finish();
                }
            }
            Poll::Ready(Some(Err(_))) => {
                self.ended = true;
                self.connection = None;
            }
            Poll::Ready(None) => self.finish(),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for PooledBody {
    fn drop(&mut self) {
        if let Some(upload) = &self.upload {
            upload.cancel();
        }
        if !self.ended {
            self.host.record_abandoned(self.last_received_at);
        }
    }
}
