//! Body of an outgoing request: buffered, or forwarded as it arrives.
//!
//! A body that is forwarded can be sent once. [`StreamedBody::begin_upload`] gives out an
//! [`Upload`] only while nothing has been read, and only the newest upload may read, so
//! that no request carries what another one has left of the body. The length of an
//! upload is that of the whole body: one that ends early is not complete.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
};

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use http_body_util::{BodyExt, Full, LengthLimitError, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an outgoing request.
#[derive(Debug)]
pub enum RequestBody {
    /// Complete body in memory.
    Buffered(Full<Bytes>),
    /// Body that is forwarded as it arrives.
    Streamed(Upload),
}

impl From<Full<Bytes>> for RequestBody {
    fn from(body: Full<Bytes>) -> Self {
        Self::Buffered(body)
    }
}

/// Body that is forwarded as it arrives and can be read only once. Clones share
/// the body and its progress.
#[derive(Debug, Clone)]
pub struct StreamedBody {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    progress: BodyProgress,
    /// Number of the upload that may read.
    upload: u64,
    /// Whether the upload waits until its receiver asks for the body.
    is_held: bool,
    /// Task of an upload that is held.
    #[debug(skip)]
    waker: Option<Waker>,
    /// Bytes that arrived before the body was created.
    prefix: Bytes,
    #[debug(skip)]
    rest: UnsyncBoxBody<Bytes, BoxError>,
    /// Bytes left of the length that the sender of the body declared.
    remaining_bytes: Option<u64>,
}

/// Read progress of a streamed body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BodyProgress {
    /// Nothing was read, so the request can still be sent.
    #[display("not started")]
    NotStarted,
    /// Reading has begun and not ended.
    #[display("in progress")]
    InProgress,
    /// The body was read to its end.
    #[display("complete")]
    Complete,
    /// The source failed before the end.
    #[display("interrupted")]
    Interrupted,
    /// The body exceeded the size limit.
    #[display("too large")]
    TooLarge,
}

/// Error of an upload that may not read the body any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("upload was cancelled")]
struct UploadCancelled;

impl StreamedBody {
    /// Creates a body of the bytes `prefix` followed by the stream `rest`, of which the
    /// sender declared `declared_bytes` in total.
    pub fn new<B>(prefix: Bytes, rest: B, declared_bytes: Option<u64>) -> Self
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let rest = rest.map_err(Into::into).boxed_unsync();
        Self {
            shared: Arc::new(Mutex::new(Shared {
                progress: BodyProgress::NotStarted,
                upload: 0,
                is_held: false,
                waker: None,
                prefix,
                rest,
                remaining_bytes: declared_bytes,
            })),
        }
    }

    /// Current read progress.
    pub fn progress(&self) -> BodyProgress {
        self.lock().progress
    }

    /// Begins an upload, which cancels an earlier one. None once the body was read from.
    pub fn begin_upload(&self) -> Option<Upload> {
        let mut shared = self.lock();
        if shared.progress != BodyProgress::NotStarted {
            return None;
        }
        shared.cancel_upload();
        Some(Upload { body: self.clone(), number: shared.upload })
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Cancels the upload that may read now, and continues with the next number.
    fn cancel_upload(&mut self) {
        self.upload += 1;
        self.release();
    }

    fn release(&mut self) {
        self.is_held = false;
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.progress = BodyProgress::InProgress;
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            self.count_sent(&prefix);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        match &frame {
            None => self.progress = BodyProgress::Complete,
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                self.progress = BodyProgress::TooLarge;
            }
            Some(Err(_)) => self.progress = BodyProgress::Interrupted,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.count_sent(data);
                }
                if self.rest.is_end_stream() {
                    self.progress = BodyProgress::Complete;
                }
            }
        }
        Poll::Ready(frame)
    }

    fn count_sent(&mut self, data: &Bytes) {
        self.remaining_bytes = self.remaining_bytes.map(|it| it.saturating_sub(data.len() as u64));
    }
}

/// One attempt to send a streamed body.
#[derive(Debug)]
pub struct Upload {
    body: StreamedBody,
    number: u64,
}

impl Upload {
    /// Handle to this upload.
    pub(super) fn handle(&self) -> UploadHandle {
        UploadHandle { body: self.body.clone(), number: self.number }
    }

    /// Holds the body back until the upload is released.
    pub(super) fn hold(&self) {
        let mut shared = self.body.lock();
        if shared.upload == self.number {
            shared.is_held = true;
        }
    }

    fn is_end_stream(&self) -> bool {
        let shared = self.body.lock();
        shared.upload == self.number && shared.prefix.is_empty() && shared.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let remaining_bytes = self.body.lock().remaining_bytes;
        remaining_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }

    fn poll_frame(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let mut shared = self.body.lock();
        if shared.upload != self.number {
            return Poll::Ready(Some(Err(UploadCancelled.into())));
        }
        if shared.is_held {
            shared.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        shared.poll_frame(cx)
    }
}

/// Handle to an upload that is sent elsewhere.
#[derive(Debug, Clone)]
pub(super) struct UploadHandle {
    body: StreamedBody,
    number: u64,
}

impl UploadHandle {
    /// Whether the body was sent to its end by this upload.
    pub(super) fn is_complete(&self) -> bool {
        let shared = self.body.lock();
        shared.upload == self.number && shared.progress == BodyProgress::Complete
    }

    /// Sends a body that is held back.
    pub(super) fn release(&self) {
        let mut shared = self.body.lock();
        if shared.upload == self.number {
            shared.release();
        }
    }

    /// Cancels the upload unless it has begun to read.
    pub(super) fn cancel(&self) {
        let mut shared = self.body.lock();
        if shared.upload == self.number && shared.progress == BodyProgress::NotStarted {
            shared.cancel_upload();
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|it| match it {}),
            Self::Streamed(upload) => upload.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(upload) => upload.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(upload) => upload.size_hint(),
        }
    }
}

#[cfg(test)]
mod tests;
