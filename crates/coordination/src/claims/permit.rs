//! Life cycle of an attempt: it holds a claim, sends, and is settled.
//!
//! A permit that is dropped settles its attempt as what it can be: not run
//! before the send has begun, unknown after.

use std::{marker::PhantomData, sync::Arc};

use citrongw_state::{
    claim::{ClaimKey, SettledOutcome, Settlement},
    id::AttemptId,
};
use tokio::sync::oneshot;

use super::driver::{Command, ShardHandle};

/// State of a permit whose attempt has sent nothing.
#[derive(Debug)]
pub struct Held;

/// State of a permit whose attempt may have sent its call.
#[derive(Debug)]
pub struct Sending;

/// Right of one attempt to send its call, once.
#[derive(Debug)]
pub struct Permit<S> {
    guard: Guard,
    state: PhantomData<S>,
}

/// Settles its attempt when it is dropped.
#[derive(Debug)]
pub(super) struct Guard {
    shard: Arc<ShardHandle>,
    key: ClaimKey,
    attempt: AttemptId,
    on_drop: Option<Settlement>,
}

impl Guard {
    /// Guard of an attempt that has sent nothing.
    pub(super) fn new(shard: Arc<ShardHandle>, key: ClaimKey, attempt: AttemptId) -> Self {
        shard.enter();
        Self { shard, key, attempt, on_drop: Some(Settlement::NotRun) }
    }

    /// The attempt holds no claim: there is nothing to settle.
    pub(super) fn release(mut self) {
        self.on_drop = None;
        self.shard.leave();
    }

    /// Turns into the permit of an attempt whose claim is committed.
    pub(super) fn into_permit(self) -> Permit<Held> {
        Permit { guard: self, state: PhantomData }
    }

    /// Settles the attempt; the record goes on if the caller stops waiting.
    async fn settle(mut self, settlement: Settlement) {
        self.on_drop = None;
        let (done_tx, done_rx) = oneshot::channel();
        self.send(settlement, Some(done_tx));
        // A shard that has stopped records nothing more.
        let _ = done_rx.await;
    }

    fn send(&self, settlement: Settlement, done_tx: Option<oneshot::Sender<()>>) {
        let (key, attempt) = (self.key, self.attempt);
        self.shard.send(Command::Settle { key, attempt, settlement, done_tx });
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(settlement) = self.on_drop.take() {
            self.send(settlement, None);
        }
    }
}

impl<S> Permit<S> {
    /// The attempt.
    pub fn attempt(&self) -> AttemptId {
        self.guard.attempt
    }

    /// Key of the call.
    pub fn key(&self) -> ClaimKey {
        self.guard.key
    }
}

impl Permit<Held> {
    /// Begins the send.
    pub fn begin(mut self) -> Permit<Sending> {
        self.guard.on_drop = Some(Settlement::Sent(SettledOutcome::Unknown));
        Permit { guard: self.guard, state: PhantomData }
    }

    /// Gives the claim up: nothing was sent. Returns when that is recorded.
    pub async fn withdraw(self) {
        self.guard.settle(Settlement::NotRun).await;
    }
}

impl Permit<Sending> {
    /// Ends the attempt. Returns when that is recorded, and is recorded even if
    /// the caller stops waiting.
    pub async fn settle(self, settlement: Settlement) {
        self.guard.settle(settlement).await;
    }
}
