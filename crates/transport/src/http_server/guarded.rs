//! Stream of a connection that ends when its peer takes no byte for too long,
//! stays idle, or sends a head too slowly or in a form that is refused, and that
//! gives the HTTP library's own bare refusals a numbered body.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll, ready},
};

use citrongw_protocol::{caller::REQUEST_ID_HEADER, code::ResultCode};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep},
};

use super::{
    ServerOptions,
    framing::{self, Framing},
    refused,
};

/// Starts of the answers that the HTTP library makes by itself.
const BARE_REFUSALS: [(&[u8], ResultCode); 3] = [
    (b"HTTP/1.1 400 ", ResultCode::Malformed),
    (b"HTTP/1.1 414 ", ResultCode::TooLarge),
    (b"HTTP/1.1 431 ", ResultCode::TooLarge),
];

/// Requests of one connection that have no whole answer yet.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenExchanges(Arc<AtomicU32>);

impl OpenExchanges {
    /// Counts an exchange until the guard is dropped.
    pub(super) fn enter(&self) -> OpenExchange {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenExchange(Arc::clone(&self.0))
    }

    fn is_empty(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// Request that has no whole answer yet.
#[derive(Debug)]
pub(super) struct OpenExchange(Arc<AtomicU32>);

impl Drop for OpenExchange {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a connection waits for from its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Awaited {
    /// The first byte of a request.
    Request,
    /// The rest of a head.
    Head,
}

/// Guarded stream.
#[derive(Debug)]
pub(super) struct Guarded<S> {
    inner: S,
    options: Arc<ServerOptions>,
    exchanges: OpenExchanges,
    framing: Framing,
    /// What is waited for, since when, and the alarm at the end of its time.
    awaited: Option<(Awaited, Instant, Pin<Box<Sleep>>)>,
    /// Why the peer is not read from any more, to be answered before the end.
    fault: Option<ResultCode>,
    stalled: Option<Pin<Box<Sleep>>>,
    replacement: Option<Replacement>,
    at_end: bool,
}

#[derive(Debug)]
struct Replacement {
    bytes: Vec<u8>,
    written: usize,
}

impl<S> Guarded<S> {
    pub(super) fn new(inner: S, options: Arc<ServerOptions>, exchanges: OpenExchanges) -> Self {
        Self {
            inner,
            options,
            exchanges,
            framing: framing::open(),
            awaited: None,
            fault: None,
            stalled: None,
            replacement: None,
            at_end: false,
        }
    }

    /// Whether the peer has closed its side, or was idle for too long.
    pub(super) fn is_at_end(&self) -> bool {
        self.at_end
    }

    /// Notes what the peer is told at the end, unless the end of another answer
    /// may still be on its way.
    fn refuse(&mut self, code: ResultCode) {
        if self.exchanges.is_empty() && self.stalled.is_none() {
            self.fault = Some(code);
        }
    }

    fn what_is_awaited(&self) -> Option<Awaited> {
        if self.framing.is_in_head() {
            Some(Awaited::Head)
        } else if self.framing.is_between_requests() && self.exchanges.is_empty() {
            Some(Awaited::Request)
        } else {
            None
        }
    }

    /// Ready when the time of what is awaited is up.
    fn check_awaited(&mut self, cx: &mut Context<'_>) -> Poll<Awaited> {
        let Some(now_awaited) = self.what_is_awaited() else {
            self.awaited = None;
            return Poll::Pending;
        };
        let limits = &self.options.limits;
        let limit = match now_awaited {
            Awaited::Request => limits.idle_timeout(),
            Awaited::Head => limits.header_timeout(),
        };
        let (_, since, alarm) = match &mut self.awaited {
            Some(awaited) if awaited.0 == now_awaited => awaited,
            stale => {
                let now = Instant::now();
                stale.insert((now_awaited, now, Box::pin(tokio::time::sleep_until(now + limit))))
            }
        };
        let until = *since + limit;
        if alarm.deadline() != until {
            alarm.as_mut().reset(until);
        }
        ready!(alarm.as_mut().poll(cx));
        Poll::Ready(now_awaited)
    }

    fn check_stall<T>(&mut self, cx: &mut Context<'_>, polled: Poll<T>) -> Poll<io::Result<T>> {
        if let Poll::Ready(it) = polled {
            self.stalled = None;
            return Poll::Ready(Ok(it));
        }
        let limit = Instant::now() + self.options.write_timeout;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(limit)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Guarded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let Poll::Ready(res) = Pin::new(&mut self.inner).poll_read(cx, buf) else {
            return match ready!(self.check_awaited(cx)) {
                Awaited::Request => {
                    self.at_end = true;
                    Poll::Ready(Ok(()))
                }
                Awaited::Head => {
                    self.refuse(ResultCode::TooSlow);
                    Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
                }
            };
        };
        res?;
        let max_head_bytes = self.options.limits.max_head_bytes();
        // Whatever came, a connection that is idle after it is so anew.
        self.awaited.take_if(|it| it.0 == Awaited::Request);
        if buf.filled().len() == before {
            self.at_end = true;
        } else if let Err(code) = self.framing.read(&buf.filled()[before..], max_head_bytes) {
            buf.set_filled(before);
            self.refuse(code);
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Guarded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.replacement.is_none() {
            self.replacement = bare_refusal(buf)
                .map(|code| Replacement { bytes: refused::answer(code), written: 0 });
        }
        let this = &mut *self;
        let Some(replacement) = &mut this.replacement else {
            let polled = Pin::new(&mut this.inner).poll_write(cx, buf);
            return ready!(this.check_stall(cx, polled))?.into();
        };
        ready!(replacement.poll_write(Pin::new(&mut this.inner), cx))?;
        this.replacement = None;
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(cx);
        ready!(self.check_stall(cx, polled))?.into()
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Some(code) = this.fault.take() {
            this.replacement = Some(Replacement { bytes: refused::answer(code), written: 0 });
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

/// Code of an answer that is a bare refusal by the HTTP library and nothing
/// else: a lone head without the header that each of our answers carries.
fn bare_refusal(buf: &[u8]) -> Option<ResultCode> {
    let (_, code) = BARE_REFUSALS.iter().find(|(start, _)| buf.starts_with(start))?;
    let end = buf.windows(4).position(|it| it == b"\r\n\r\n")?;
    let head = std::str::from_utf8(buf).ok()?;
    (end + 4 == buf.len() && !head.contains(REQUEST_ID_HEADER)).then_some(*code)
}
