//! Bodies of callers' requests. A small body is buffered, so that it can be sent
//! again. A larger one is streamed as it arrives, so that the memory of a request
//! is bounded.

use blake3::{Hash, Hasher};
use bytes::{Bytes, BytesMut};
use citrongw_protocol::code::ResultCode;
use citrongw_transport::http_client::{BodyProgress, RequestBody, StreamedBody};
use http_body_util::{BodyExt, Full, Limited};
use viz::Body;

use super::memory::{BufferCharge, TRANSFER_BYTES};

/// Limit on the buffered bytes of a body: some 16,000 tokens of a prompt as text.
/// A thousand such bodies at once fit into the memory of a small instance.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Size of the pieces in which bodies mostly arrive. The last one may go beyond the limit.
const MAX_PIECE_BYTES: usize = 8 * 1024;

/// Body of a caller's request.
#[derive(Debug, Clone)]
pub(super) enum CallBody {
    /// The whole body is buffered.
    Buffered(Bytes),
    /// The body is streamed as it arrives and can be sent only once.
    Streamed {
        /// The body.
        body: StreamedBody,
        /// Hash of its start and its declared length.
        start_hash: Hash,
    },
}

/// Reads a body to its end, or up to the limit of the buffer. It is refused as overloaded
/// while there is no memory for it.
pub(super) async fn read(
    mut body: Body,
    max_bytes: usize,
    charge: &mut BufferCharge,
) -> Result<CallBody, ResultCode> {
    let declared_bytes = hyper::body::Body::size_hint(&body).exact();
    if declared_bytes.is_some_and(|it| (max_bytes as u64) < it) {
        return Err(ResultCode::TooLarge);
    }
    let mut buffered = BytesMut::new();
    let expected_bytes = expected_buffer(declared_bytes);
    while buffered.len() <= MAX_BUFFERED_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(CallBody::Buffered(buffered.freeze()));
        };
        let frame = frame.map_err(|_| ResultCode::Malformed)?;
        if let Ok(data) = frame.into_data() {
            buffered.reserve(data.len().max(expected_bytes.saturating_sub(buffered.len())));
            charge.grow_to(buffered.capacity()).map_err(|_| ResultCode::Overloaded)?;
            buffered.extend_from_slice(&data);
        }
        if max_bytes < buffered.len() {
            return Err(ResultCode::TooLarge);
        }
    }
    charge.grow_by(TRANSFER_BYTES).map_err(|_| ResultCode::Overloaded)?;
    // How much is buffered beyond the limit depends on how the body arrived.
    let start_hash = hash_start(&buffered[..MAX_BUFFERED_BYTES], declared_bytes);
    let rest = Limited::new(body, max_bytes - buffered.len());
    let body = StreamedBody::new(buffered.freeze(), rest, declared_bytes);
    Ok(CallBody::Streamed { body, start_hash })
}

/// Size of the buffer of a body with a declared length. One allocation of the final size
/// leaves no holes of the smaller ones.
pub(super) fn expected_buffer(declared_bytes: Option<u64>) -> usize {
    let declared_bytes = usize::try_from(declared_bytes.unwrap_or_default());
    declared_bytes.unwrap_or(usize::MAX).min(MAX_BUFFERED_BYTES + MAX_PIECE_BYTES)
}

fn hash_start(start: &[u8], declared_bytes: Option<u64>) -> Hash {
    let mut hasher = Hasher::new();
    hasher.update(&declared_bytes.unwrap_or_default().to_le_bytes()).update(start);
    hasher.finalize()
}

impl CallBody {
    /// Begins the body of an attempt. None if part of it was sent before.
    pub(super) fn begin_attempt(&self) -> Option<RequestBody> {
        match self {
            Self::Buffered(body) => Some(Full::new(body.clone()).into()),
            Self::Streamed { body, .. } => body.begin_upload().map(RequestBody::Streamed),
        }
    }

    /// Hash by which a repeat of the body is recognised. That of a streamed body covers
    /// its start and its declared length.
    pub(super) fn hash(&self) -> Hash {
        match self {
            Self::Buffered(body) => blake3::hash(body),
            Self::Streamed { start_hash, .. } => *start_hash,
        }
    }

    /// Whether the whole body is buffered.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Whether the body can be sent: it is buffered, or no part of it was sent
    /// yet.
    pub(super) fn can_be_sent(&self) -> bool {
        self.progress().is_none_or(|it| it == BodyProgress::NotStarted)
    }

    /// Read progress of a body that can be sent only once.
    pub(super) fn progress(&self) -> Option<BodyProgress> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed { body, .. } => Some(body.progress()),
        }
    }

    /// Whether the body ended early at its caller, or exceeded the size limit.
    pub(super) fn is_broken_off(&self) -> bool {
        matches!(self.progress(), Some(BodyProgress::Interrupted | BodyProgress::TooLarge))
    }

    /// Whether the caller still sends the body on to a server.
    pub(super) fn is_in_transfer(&self) -> bool {
        self.progress() == Some(BodyProgress::InProgress)
    }

    /// Whether the body exceeded the size limit while it was streamed.
    pub(super) fn is_too_large(&self) -> bool {
        self.progress() == Some(BodyProgress::TooLarge)
    }
}

#[cfg(test)]
mod tests;
