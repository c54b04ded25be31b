//! Reads request bodies within limits on size, time and the total memory of all
//! bodies.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use citrongw_protocol::code::ResultCode;
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use viz::{Body, Request, RequestExt};

/// Largest size of one request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Largest total size of all bodies in memory.
const MAX_ALL_BODIES_BYTES: u64 = 256 * 1024 * 1024;

/// Memory budget of all request bodies.
#[derive(Debug, Default)]
pub(super) struct BodyBudget {
    used_bytes: Arc<AtomicU64>,
}

/// Bytes reserved from the budget; released on drop.
#[derive(Debug)]
pub(super) struct BodyShare {
    used_bytes: Arc<AtomicU64>,
    reserved_bytes: u64,
}

impl BodyBudget {
    /// Opens an empty share.
    pub(super) fn open_share(&self) -> BodyShare {
        BodyShare { used_bytes: Arc::clone(&self.used_bytes), reserved_bytes: 0 }
    }
}

impl BodyShare {
    fn reserve(&mut self, bytes: u64) -> Result<(), ResultCode> {
        let before = self.used_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.reserved_bytes += bytes;
        if MAX_ALL_BODIES_BYTES < before + bytes {
            return Err(ResultCode::Overloaded);
        }
        Ok(())
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.reserved_bytes, Ordering::Relaxed);
    }
}

/// Reads and decodes a JSON body within `timeout`.
pub(super) async fn read_json<T: DeserializeOwned>(
    req: Request,
    budget: &BodyBudget,
    timeout: Duration,
) -> Result<(T, BodyShare), ResultCode> {
    let (bytes, share) = read_bytes(req, budget, timeout).await?;
    let value = serde_json::from_slice(&bytes).map_err(|_| ResultCode::Malformed)?;
    Ok((value, share))
}

/// Reads a body; the whole of it must arrive within `timeout`.
pub(super) async fn read_bytes(
    req: Request,
    budget: &BodyBudget,
    timeout: Duration,
) -> Result<(Vec<u8>, BodyShare), ResultCode> {
    if req.content_length().is_some_and(|length| (MAX_BODY_BYTES as u64) < length) {
        return Err(ResultCode::TooLarge);
    }
    let read = read(req.into_body(), budget.open_share());
    tokio::time::timeout(timeout, read).await.unwrap_or(Err(ResultCode::TooSlow))
}

async fn read(mut body: Body, mut share: BodyShare) -> Result<(Vec<u8>, BodyShare), ResultCode> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResultCode::Malformed)?;
        let Ok(data) = frame.into_data() else { continue };
        if MAX_BODY_BYTES < bytes.len() + data.len() {
            return Err(ResultCode::TooLarge);
        }
        share.reserve(data.len() as u64)?;
        bytes.extend_from_slice(&data);
    }
    Ok((bytes, share))
}

#[cfg(test)]
mod tests;
