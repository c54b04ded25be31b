//! Body of a request that is sent: held whole, or passed on as it arrives.

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

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// Held whole.
    Held(Full<Bytes>),
    /// Passed on as it arrives.
    Streamed(StreamedBody),
}

impl From<Full<Bytes>> for RequestBody {
    fn from(body: Full<Bytes>) -> Self {
        Self::Held(body)
    }
}

/// Body that is passed on as it arrives, and so only once. Clones share it.
#[derive(Debug, Clone)]
pub struct StreamedBody {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    progress: Progress,
    /// What has arrived already.
    first: Bytes,
    #[debug(skip)]
    rest: UnsyncBoxBody<Bytes, BoxError>,
}

/// How far a body was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Not at all, so that it can still be sent.
    Untouched,
    /// In part.
    Begun,
    /// To its end.
    Ended,
    /// Until it broke off.
    BrokenOff,
    /// Until it was larger than allowed.
    TooLarge,
}

impl StreamedBody {
    /// Body that begins with `first` and goes on with `rest`.
    pub fn new<B>(first: Bytes, rest: B) -> Self
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let rest = rest.map_err(Into::into).boxed_unsync();
        Self { shared: Arc::new(Mutex::new(Shared { progress: Progress::Untouched, first, rest })) }
    }

    /// How far it was read.
    pub fn progress(&self) -> Progress {
        self.lock().progress
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.progress = Progress::Begun;
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.first)))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        match &frame {
            None => self.progress = Progress::Ended,
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                self.progress = Progress::TooLarge;
            }
            Some(Err(_)) => self.progress = Progress::BrokenOff,
            Some(Ok(_)) if self.rest.is_end_stream() => self.progress = Progress::Ended,
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
            Self::Held(body) => Pin::new(body).poll_frame(cx).map_err(|it| match it {}),
            Self::Streamed(body) => body.lock().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(body) => body.is_end_stream(),
            Self::Streamed(body) => {
                let shared = body.lock();
                shared.first.is_empty() && shared.rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(body) => body.size_hint(),
            Self::Streamed(body) => {
                let shared = body.lock();
                let exact = shared.rest.size_hint().exact();
                exact.map_or_else(SizeHint::default, |rest| {
                    SizeHint::with_exact(shared.first.len() as u64 + rest)
                })
            }
        }
    }
}
