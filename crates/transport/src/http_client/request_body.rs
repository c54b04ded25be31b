//! Body of an outgoing request: buffered, or forwarded as it arrives.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use derive_more::Debug;
use http_body_util::{BodyExt, Full, LengthLimitError, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an outgoing request.
#[derive(Debug)]
pub enum RequestBody {
    /// Complete body in memory.
    Buffered(Full<Bytes>),
    /// Body that is forwarded as it arrives.
    Streamed(StreamedBody),
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
    /// Bytes that arrived before the body was created.
    prefix: Bytes,
    #[debug(skip)]
    rest: UnsyncBoxBody<Bytes, BoxError>,
}

/// Read progress of a streamed body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyProgress {
    /// Nothing was read, so the request can still be sent.
    NotStarted,
    /// Reading has begun and not ended.
    InProgress,
    /// The body was read to its end.
    Complete,
    /// The source failed before the end.
    Interrupted,
    /// The body exceeded the size limit.
    TooLarge,
}

impl StreamedBody {
    /// Creates a body of the bytes `prefix` followed by the stream `rest`.
    pub fn new<B>(prefix: Bytes, rest: B) -> Self
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let rest = rest.map_err(Into::into).boxed_unsync();
        Self {
            shared: Arc::new(Mutex::new(Shared {
                progress: BodyProgress::NotStarted,
                prefix,
                rest,
            })),
        }
    }

    /// Current read progress.
    pub fn progress(&self) -> BodyProgress {
        self.lock().progress
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.progress = BodyProgress::InProgress;
        if !self.prefix.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.prefix)))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        match &frame {
            None => self.progress = BodyProgress::Complete,
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                self.progress = BodyProgress::TooLarge;
            }
            Some(Err(_)) => self.progress = BodyProgress::Interrupted,
            Some(Ok(_)) if self.rest.is_end_stream() => self.progress = BodyProgress::Complete,
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
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
            Self::Streamed(body) => body.lock().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(body) => {
                let shared = body.lock();
                shared.prefix.is_empty() && shared.rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => {
                let shared = body.lock();
                let exact = shared.rest.size_hint().exact();
                exact.map_or_else(SizeHint::default, |rest| {
                    SizeHint::with_exact(shared.prefix.len() as u64 + rest)
                })
            }
        }
    }
}
