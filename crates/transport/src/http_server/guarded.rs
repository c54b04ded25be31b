//! Stream of a connection that ends when its peer takes no byte for too long,
//! and that gives the HTTP library's own bare refusals a numbered body.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use citrongw_protocol::{caller::REQUEST_ID_HEADER, code::ResultCode};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep},
};

use super::refused;

/// Starts of the answers that the HTTP library makes by itself.
const BARE_REFUSALS: [(&[u8], ResultCode); 3] = [
    (b"HTTP/1.1 400 ", ResultCode::Malformed),
    (b"HTTP/1.1 414 ", ResultCode::TooLarge),
    (b"HTTP/1.1 431 ", ResultCode::TooLarge),
];

/// Guarded stream.
#[derive(Debug)]
pub(super) struct Guarded<S> {
    inner: S,
    write_timeout: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
    replacement: Option<Replacement>,
    read_since_write: bool,
    at_end: bool,
}

#[derive(Debug)]
struct Replacement {
    bytes: Vec<u8>,
    written: usize,
}

impl<S> Guarded<S> {
    pub(super) fn new(inner: S, write_timeout: Duration) -> Self {
        Self {
            inner,
            write_timeout,
            stalled: None,
            replacement: None,
            read_since_write: false,
            at_end: false,
        }
    }

    /// Whether the peer has sent a part of something not yet answered.
    pub(super) fn is_mid_request(&self) -> bool {
        self.read_since_write
    }

    /// Whether the peer has closed its side.
    pub(super) fn is_at_end(&self) -> bool {
        self.at_end
    }

    fn check_stall<T>(&mut self, cx: &mut Context<'_>, polled: Poll<T>) -> Poll<io::Result<T>> {
        if let Poll::Ready(it) = polled {
            self.stalled = None;
            return Poll::Ready(Ok(it));
        }
        let limit = Instant::now() + self.write_timeout;
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
        let res = ready!(Pin::new(&mut self.inner).poll_read(cx, buf));
        match buf.filled().len() - before {
            0 => self.at_end = true,
            _ => self.read_since_write = true,
        }
        Poll::Ready(res)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Guarded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.read_since_write = false;
        if self.replacement.is_none() {
            self.replacement = bare_refusal(buf)
                .map(|code| Replacement { bytes: refused::answer(code), written: 0 });
        }
        let this = &mut *self;
        let Some(replacement) = &mut this.replacement else {
            let polled = Pin::new(&mut this.inner).poll_write(cx, buf);
            return ready!(this.check_stall(cx, polled))?.into();
        };
        while replacement.written < replacement.bytes.len() {
            let rest = &replacement.bytes[replacement.written..];
            match ready!(Pin::new(&mut this.inner).poll_write(cx, rest))? {
                0 => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                count => replacement.written += count,
            }
        }
        this.replacement = None;
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(cx);
        ready!(self.check_stall(cx, polled))?.into()
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
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
