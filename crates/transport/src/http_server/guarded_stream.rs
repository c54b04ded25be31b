//! Connection stream that enforces the write, idle and head timeouts, rejects
//! malformed heads, and replaces the bodiless error responses of the HTTP library
//! with responses that carry a numbered code.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    task::{Context, Poll, ready},
};

use citrongw_protocol::{caller::REQUEST_ID_HEADER, code::ResultCode};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep},
};

use super::{
    ServerOptions, error_response,
    framing::{self, Framing},
    peer_wait::{self, InputWait, PeerWait},
};
use crate::{memory_budget::Account, small_reads};

/// Status lines of the error responses that the HTTP library generates itself.
const LIBRARY_ERRORS: [(&[u8], ResultCode); 3] = [
    (b"HTTP/1.1 400 ", ResultCode::Malformed),
    (b"HTTP/1.1 414 ", ResultCode::TooLarge),
    (b"HTTP/1.1 431 ", ResultCode::TooLarge),
];

/// Counter of the requests of one connection without a complete response.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenExchanges(Arc<ExchangeCounts>);

#[derive(Debug, Default)]
struct ExchangeCounts {
    open: AtomicU32,
    has_begun: AtomicBool,
    /// Requests that have begun since a read last found no input.
    since_wait: AtomicU32,
}

impl OpenExchanges {
    /// Counts an exchange until the returned guard is dropped.
    pub(super) fn begin_exchange(&self) -> OpenExchange {
        self.0.open.fetch_add(1, Ordering::Relaxed);
        self.0.has_begun.store(true, Ordering::Relaxed);
        OpenExchange(Arc::clone(&self.0))
    }

    /// Records the begin of a request. Returns the number of requests before it whose
    /// responses its peer did not wait for.
    pub(super) fn count_pipelined(&self) -> u32 {
        self.0.since_wait.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether a request has begun so far.
    fn has_begun(&self) -> bool {
        self.0.has_begun.load(Ordering::Relaxed)
    }

    fn is_empty(&self) -> bool {
        self.0.open.load(Ordering::Relaxed) == 0
    }
}

/// Guard of an exchange whose response is not complete.
#[derive(Debug)]
pub(super) struct OpenExchange(Arc<ExchangeCounts>);

impl Drop for OpenExchange {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Input that a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Awaited {
    /// The first byte of a request.
    Request,
    /// The rest of a request head.
    Head,
    /// The next part of a body.
    Body,
}

/// Stream with timeouts and framing checks.
#[derive(Debug)]
pub(super) struct GuardedStream<S> {
    inner: S,
    options: Arc<ServerOptions>,
    exchanges: OpenExchanges,
    framing: Framing,
    /// Awaited input, when the wait began, and the timer of its timeout.
    awaited: Option<(Awaited, Instant, Pin<Box<Sleep>>)>,
    /// Code of the error response to send before the close; reading has stopped.
    final_error: Option<ResultCode>,
    write_timer: Option<Pin<Box<Sleep>>>,
    replacement: Option<Replacement>,
    at_end: bool,
    wait: PeerWait,
}

#[derive(Debug)]
struct Replacement {
    bytes: Vec<u8>,
    written: usize,
}

impl<S> GuardedStream<S> {
    pub(super) fn new(
        inner: S,
        options: Arc<ServerOptions>,
        exchanges: OpenExchanges,
        account: Option<Arc<Account>>,
    ) -> Self {
        Self {
            inner,
            options,
            exchanges,
            framing: framing::open(),
            awaited: None,
            final_error: None,
            write_timer: None,
            replacement: None,
            at_end: false,
            wait: peer_wait::open(account),
        }
    }

    /// The stream without checks of its input.
    pub(super) fn inner_mut(&mut self) -> &mut S {
        &mut self.inner
    }

    /// Whether the peer has closed its side or the idle timeout has passed.
    pub(super) fn is_at_end(&self) -> bool {
        self.at_end
    }

    /// Sets the code of the final error response, unless another response is not
    /// completely written yet.
    fn set_final_error(&mut self, code: ResultCode) {
        if self.exchanges.is_empty() && self.write_timer.is_none() {
            self.final_error = Some(code);
        }
    }

    fn awaited_input(&self) -> Option<Awaited> {
        if self.framing.is_in_head() {
            Some(Awaited::Head)
        } else if self.framing.is_between_requests() && self.exchanges.is_empty() {
            Some(Awaited::Request)
        } else if self.framing.is_in_body() && self.wait.is_limited() {
            Some(Awaited::Body)
        } else {
            None
        }
    }

    fn input_wait(&self) -> Option<InputWait> {
        self.awaited_input().map(|it| match it {
            Awaited::Request if self.exchanges.has_begun() => InputWait::NextRequest,
            Awaited::Request => InputWait::FirstRequest,
            Awaited::Head | Awaited::Body => InputWait::Rest,
        })
    }

    /// Ready when the timeout of the awaited input has passed.
    fn poll_input_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Awaited> {
        let Some(input) = self.awaited_input() else {
            self.awaited = None;
            return Poll::Pending;
        };
        let limits = &self.options.limits;
        let limit = match input {
            Awaited::Request | Awaited::Body => limits.idle_timeout(),
            Awaited::Head => limits.header_timeout(),
        };
        let (_, since, timer) = match &mut self.awaited {
            Some(awaited) if awaited.0 == input => awaited,
            stale => {
                let now = Instant::now();
                stale.insert((input, now, Box::pin(tokio::time::sleep_until(now + limit))))
            }
        };
        let until = *since + limit;
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(input)
    }

    fn poll_write_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<T>,
    ) -> Poll<io::Result<T>> {
        self.wait.record_write(polled.is_pending());
        if let Poll::Ready(it) = polled {
            self.write_timer = None;
            return Poll::Ready(Ok(it));
        }
        let limit = Instant::now() + self.options.write_timeout;
        let write_timer =
            self.write_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(limit)));
        ready!(write_timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let Poll::Ready(res) = small_reads::poll_read(Pin::new(&mut self.inner), cx, buf) else {
            self.exchanges.0.since_wait.store(0, Ordering::Relaxed);
            let wait = self.input_wait();
            self.wait.record_no_input(wait);
            return match ready!(self.poll_input_timeout(cx)) {
                Awaited::Request => {
                    self.at_end = true;
                    Poll::Ready(Ok(()))
                }
                Awaited::Head | Awaited::Body => {
                    self.set_final_error(ResultCode::TooSlow);
                    Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
                }
            };
        };
        res?;
        let max_head_bytes = self.options.limits.max_head_bytes();
        // Any input restarts the idle time.
        self.awaited.take_if(|it| it.0 == Awaited::Request);
        if let Some((Awaited::Body, since, _)) = &mut self.awaited {
            *since = Instant::now();
        }
        if buf.filled().len() == before {
            self.at_end = true;
        } else if let Err(code) = self.framing.read(&buf.filled()[before..], max_head_bytes) {
            buf.set_filled(before);
            self.set_final_error(code);
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let partial_bytes = self.framing.partial_bytes();
        let is_complete = self.framing.is_between_requests();
        self.wait.record_input(partial_bytes, is_complete);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.replacement.is_none() {
            self.replacement = library_error_code(buf).map(|code| Replacement {
                bytes: error_response::response_bytes(code),
                written: 0,
            });
        }
        let this = &mut *self;
        let Some(replacement) = &mut this.replacement else {
            let polled = Pin::new(&mut this.inner).poll_write(cx, buf);
            return ready!(this.poll_write_timeout(cx, polled))?.into();
        };
        ready!(replacement.poll_write(Pin::new(&mut this.inner), cx))?;
        this.replacement = None;
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(cx);
        ready!(self.poll_write_timeout(cx, polled))?.into()
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Some(code) = this.final_error.take() {
            this.replacement =
                Some(Replacement { bytes: error_response::response_bytes(code), written: 0 });
        }
        if let Some(replacement) = &mut this.replacement {
            ready!(replacement.poll_write(Pin::new(&mut this.inner), cx))?;
            this.replacement = None;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl Replacement {
    fn poll_write<S: AsyncWrite>(
        &mut self,
        mut stream: Pin<&mut S>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        while self.written < self.bytes.len() {
            match ready!(stream.as_mut().poll_write(cx, &self.bytes[self.written..]))? {
                0 => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                count => self.written += count,
            }
        }
        Poll::Ready(Ok(()))
    }
}

/// Code of an error response that the HTTP library generated itself: a head
/// without a body and without the request id header that every other response
/// carries.
fn library_error_code(buf: &[u8]) -> Option<ResultCode> {
    let (_, code) = LIBRARY_ERRORS.iter().find(|(start, _)| buf.starts_with(start))?;
    let end = buf.windows(4).position(|it| it == b"\r\n\r\n")?;
    let head = std::str::from_utf8(buf).ok()?;
    (end + 4 == buf.len() && !head.contains(REQUEST_ID_HEADER)).then_some(*code)
}
