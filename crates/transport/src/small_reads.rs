//! Reads of limited size. The HTTP library doubles the read buffer of a connection each
//! time that a read fills it, up to hundreds of kilobytes, so that memory follows what a
//! peer sends at once.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest read: one byte below the first size of the library's read buffer, so that no
/// read fills it.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Reads at most [`MAX_READ_BYTES`].
pub(crate) fn poll_read<S: AsyncRead>(
    stream: Pin<&mut S>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    if buf.remaining() <= MAX_READ_BYTES {
        return stream.poll_read(cx, buf);
    }
    let mut part = ReadBuf::new(buf.initialize_unfilled_to(MAX_READ_BYTES));
    let res = ready!(stream.poll_read(cx, &mut part));
    let count = part.filled().len();
    buf.advance(count);
    Poll::Ready(res)
}

/// Client connection with reads of limited size.
#[derive(Debug)]
pub(crate) struct SmallReads(pub(crate) TcpStream);

impl AsyncRead for SmallReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(Pin::new(&mut self.0), cx, buf)
    }
}

impl AsyncWrite for SmallReads {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}
