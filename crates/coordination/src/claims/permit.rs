//! Life cycle of an attempt: it holds a claim, sends its call, and is settled.
//!
//! A dropped permit settles its attempt: as not run if the send has not begun,
//! as unknown otherwise.

use std::{marker::PhantomData, sync::Arc};

use citrongw_state::{
    claim::{ClaimKey, SettledOutcome, Settlement},
    id::AttemptId,
};
use tokio::sync::oneshot;

use super::driver::{Command, ShardHandle};

/// State of a permit whose attempt has not begun to send.
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
    /// Creates the guard of an attempt that has not begun to send.
    pub(super) fn new(shard: Arc<ShardHandle>, key: ClaimKey, attempt: AttemptId) -> Self {
        shard.begin_attempt();
        Self { shard, key, attempt, on_drop: Some(Settlement::NotRun) }
    }

    /// Ends an attempt that holds no claim and needs no settlement.
    pub(super) fn release(mut self) {
        self.on_drop = None;
        self.shard.end_attempt();
    }

    /// Converts the guard into the permit of an attempt whose claim is
    /// committed.
    pub(super) fn into_permit(self) -> Permit<Held> {
        Permit { guard: self, state: PhantomData }
    }

    /// Settles the attempt. The settlement is recorded even if the caller stops
    /// waiting.
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
    /// Id of the attempt.
    pub fn attempt(&self) -> AttemptId {
        self.guard.attempt
    }

    /// Key of the call.
    pub fn key(&self) -> ClaimKey {
        self.guard.key
    }
}

impl Permit<Held> {
    /// Marks the send as begun.
    pub fn begin(mut self) -> Permit<Sending> {
        self.guard.on_drop = Some(Settlement::Sent(SettledOutcome::Unknown));
        Permit { guard: self.guard, state: PhantomData }
    }

    /// Withdraws the claim, with nothing sent. Returns when the withdrawal is
    /// recorded.
    pub async fn withdraw(self) {
        self.guard.settle(Settlement::NotRun).await;
    }
}

impl Permit<Sending> {
    /// Settles the attempt. Returns when the settlement is recorded. It is
    /// recorded even if the caller stops waiting.
    pub async fn settle(self, settlement: Settlement) {
        self.guard.settle(settlement).await;
    }
}
