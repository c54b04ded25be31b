//! Bodies of callers' requests. A small one is held, so that it can be sent
//! again; a larger one is passed on as it arrives, so that the memory of a
//! request is bounded.

use bytes::{Bytes, BytesMut};
use citrongw_protocol::code::ResultCode;
use citrongw_transport::http_client::{BodyProgress, RequestBody, StreamedBody};
use http_body_util::{BodyExt, Full, Limited};
use viz::Body;

/// Bytes of a body that are held: some 16,000 tokens of a prompt as text. A
/// thousand such bodies at once fit the memory of a small instance.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Body of a caller's request.
#[derive(Debug, Clone)]
pub(super) enum CallBody {
    /// Held whole.
    Buffered(Bytes),
    /// Passed on as it arrives, once.
    Streamed(StreamedBody),
}

/// Reads a body to its end, or as far as it is held.
pub(super) async fn read(mut body: Body, max_bytes: usize) -> Result<CallBody, ResultCode> {
    let announced = hyper::body::Body::size_hint(&body).lower();
    if (max_bytes as u64) < announced {
        return Err(ResultCode::TooLarge);
    }
    let mut held = BytesMut::new();
    while held.len() <= MAX_BUFFERED_BYTES {
        let Some(frame) = body.frame().await else { return Ok(CallBody::Buffered(held.freeze())) };
        let frame = frame.map_err(|_| ResultCode::Malformed)?;
        if let Ok(data) = frame.into_data() {
            held.extend_from_slice(&data);
        }
        if max_bytes < held.len() {
            return Err(ResultCode::TooLarge);
        }
    }
    let rest = Limited::new(body, max_bytes - held.len());
    Ok(CallBody::Streamed(StreamedBody::new(held.freeze(), rest)))
}

impl CallBody {
    /// Body for an attempt.
    pub(super) fn to_request_body(&self) -> RequestBody {
        match self {
            Self::Buffered(body) => Full::new(body.clone()).into(),
            Self::Streamed(body) => RequestBody::Streamed(body.clone()),
        }
    }

    /// Whether it is held whole.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Whether it can be sent, as it was not passed on yet or is held.
    pub(super) fn can_be_sent(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(body) => body.progress() == BodyProgress::NotStarted,
        }
    }

    /// Whether it turned out larger than allowed while it was passed on.
    pub(super) fn is_too_large(&self) -> bool {
        match self {
            Self::Buffered(_) => false,
            Self::Streamed(body) => body.progress() == BodyProgress::TooLarge,
        }
    }
}
