//! Body of an answer. Read to its end, it gives its connection back; dropped
//! before, it closes it.

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

use super::{connection::Connection, pool::Host};

/// Longest time for the rest of an answer that nobody waits for.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Pieces of such a rest, at most.
const DRAIN_FRAMES: usize = 4;

/// Body of an answer over a connection of the pool.
#[derive(Debug)]
pub struct PooledBody {
    inner: Incoming,
    connection: Option<Connection>,
    host: Arc<Host>,
    heard_at: Instant,
    ended: bool,
}

impl PooledBody {
    pub(super) fn new(inner: Incoming, connection: Option<Connection>, host: Arc<Host>) -> Self {
        let mut body = Self { inner, connection, host, heard_at: Instant::now(), ended: false };
        if body.inner.is_end_stream() {
            body.end();
        }
        body
    }

    /// Reads what follows an answer's last event, so that the connection can
    /// be used again.
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
            // Without an end the connection is closed.
            let _ = tokio::time::timeout(DRAIN_TIMEOUT, read).await;
        });
    }

    fn end(&mut self) {
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
                self.heard_at = Instant::now();
                if self.inner.is_end_stream() {
                    self.end();
                }
            }
            Poll::Ready(Some(Err(_))) => {
                self.ended = true;
                self.connection = None;
            }
            Poll::Ready(None) => self.end(),
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
        if !self.ended {
            self.host.give_up(self.heard_at);
        }
    }
}
