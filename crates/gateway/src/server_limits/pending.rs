//! Requests for permits that wait for a reply.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use citrongw_state::server_limit::permits::Permit;
use tokio::sync::oneshot;

use crate::lock::lock;

/// Requests in progress by their ids.
#[derive(Debug, Default)]
pub(super) struct PendingPermits {
    next_id: AtomicU64,
    replies: Mutex<HashMap<u64, oneshot::Sender<Permit>>>,
}

/// Request in progress, which ends when the value is dropped.
#[derive(Debug)]
pub(super) struct PendingPermit<'a> {
    id: u64,
    pending: &'a PendingPermits,
    reply_rx: oneshot::Receiver<Permit>,
}

impl PendingPermits {
    /// Begins a request. Returns its id too.
    pub(super) fn open(&self) -> (u64, PendingPermit<'_>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (reply_tx, reply_rx) = oneshot::channel();
        lock(&self.replies).insert(id, reply_tx);
        (id, PendingPermit { id, pending: self, reply_rx })
    }

    /// Passes the reply to a request that is still in progress.
    pub(super) fn complete(&self, id: u64, permit: Permit) {
        if let Some(reply_tx) = lock(&self.replies).remove(&id) {
            // The request may have ended meanwhile.
            let _ = reply_tx.send(permit);
        }
    }
}

impl PendingPermit<'_> {
    /// Waits for the reply.
    pub(super) async fn reply(&mut self) -> Permit {
        match (&mut self.reply_rx).await {
            Ok(permit) => permit,
            // Only a reply removes the sender of a request in progress.
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        lock(&self.pending.replies).remove(&self.id);
    }
}
