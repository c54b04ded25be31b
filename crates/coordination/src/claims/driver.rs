//! Drivers of the shards: one task a shard, which carries out the calls that
//! the step function asks for, one at a time.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use citrongw_protocol::{
    claim::{SHARDS, ShardId},
    store::Store,
};
use citrongw_state::{
    claim::{ClaimKey, ClaimRequest, Settlement},
    id::AttemptId,
};
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use super::{
    counters::{ClaimCounters, Counted},
    permit::{Guard, Held, Permit},
    shard::{self, Action, Event, Op, Shard, Verdict},
    write_slots::{self, SlotPermit, WriteSlots},
};
use crate::{clock::Clock, node_view::NodeView};

/// Attempts of one shard at one node that have not ended, at most.
const MAX_ATTEMPTS: usize = 4096;
/// Time without an event after which a shard's claims are forgotten.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Pause between two looks at whether all attempts have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Claims of one node.
#[derive(Debug)]
pub struct Claims {
    shards: Vec<Arc<ShardHandle>>,
    counters: Arc<ClaimCounters>,
}

/// Answer to a claim.
#[derive(Debug)]
pub enum ClaimResult {
    /// The attempt holds the claim.
    Won(Permit<Held>),
    /// It does not, and why.
    Lost(Verdict),
    /// No claim could be made in time; the attempt has sent nothing and won't.
    Unavailable,
}

/// What a shard's task is told.
#[derive(Debug)]
pub(super) enum Command {
    Claim {
        request: ClaimRequest,
        replaces: Option<AttemptId>,
        verdict_tx: oneshot::Sender<Verdict>,
    },
    Settle {
        key: ClaimKey,
        attempt: AttemptId,
        settlement: Settlement,
        done_tx: Option<oneshot::Sender<()>>,
    },
}

/// Way to a shard's task.
#[derive(Debug)]
pub(super) struct ShardHandle {
    commands_tx: mpsc::UnboundedSender<Command>,
    attempts: Arc<AtomicUsize>,
}

impl ShardHandle {
    /// Tells the shard's task, which ends only with the last handle.
    pub(super) fn send(&self, command: Command) {
        let _ = self.commands_tx.send(command);
    }

    /// Counts an attempt that begins.
    pub(super) fn enter(&self) {
        self.attempts.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt that needs no settlement.
    pub(super) fn leave(&self) {
        self.attempts.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Spawns the drivers of every shard.
pub fn spawn(nodes: &Arc<NodeView>, store: &Arc<dyn Store>, clock: Clock) -> Claims {
    let counters = Arc::<ClaimCounters>::default();
    let turns = Arc::new(write_slots::open(clock, Arc::clone(nodes)));
    let node = nodes.this().id;
    let shards = (0..SHARDS).map(|id| {
        let shard = shard::open(ShardId(id), node, rand::random(), Arc::clone(&counters));
        let (commands_tx, commands_rx) = mpsc::unbounded_channel();
        let attempts = Arc::<AtomicUsize>::default();
        let driver = Driver {
            shard,
            clock,
            store: Arc::clone(store),
            commands_rx,
            events: FuturesUnordered::new(),
            turns: Arc::clone(&turns),
            turn: None,
            has_written: false,
            turns_rx: FuturesUnordered::new(),
            verdict_txs: HashMap::new(),
            done_txs: HashMap::new(),
            attempts: Arc::clone(&attempts),
        };
        tokio::spawn(driver.run());
        Arc::new(ShardHandle { commands_tx, attempts })
    });
    Claims { shards: shards.collect(), counters }
}

impl Claims {
    /// Claims a call by `deadline`. `replaces` names an attempt that has ended
    /// without a known outcome, to take over from.
    pub async fn claim(
        &self,
        request: ClaimRequest,
        replaces: Option<AttemptId>,
        deadline: Instant,
    ) -> ClaimResult {
        let shard = &self.shards[ShardId::of(request.key).0 as usize];
        if MAX_ATTEMPTS <= shard.attempts.load(Ordering::Relaxed) {
            self.counters.add(Counted::Unavailable);
            return ClaimResult::Unavailable;
        }
        let guard = Guard::new(Arc::clone(shard), request.key, request.attempt);
        let (verdict_tx, verdict_rx) = oneshot::channel();
        shard.send(Command::Claim { request, replaces, verdict_tx });
        match tokio::time::timeout_at(deadline, verdict_rx).await {
            Ok(Ok(Verdict::Won)) if Instant::now() < deadline => {
                ClaimResult::Won(guard.into_permit())
            }
            Ok(Ok(verdict)) if verdict != Verdict::Won => {
                guard.release();
                ClaimResult::Lost(verdict)
            }
            // The guard gives up the claim, which may be committed by now.
            Ok(_) | Err(_) => {
                self.counters.add(Counted::Unavailable);
                ClaimResult::Unavailable
            }
        }
    }

    /// Counters.
    pub fn counters(&self) -> &ClaimCounters {
        &self.counters
    }

    /// Attempts that have not ended.
    pub fn attempts(&self) -> usize {
        self.shards.iter().map(|it| it.attempts.load(Ordering::Relaxed)).sum()
    }

    /// Returns when every attempt has ended and its end is recorded.
    pub async fn drain(&self) {
        while self.attempts() != 0 {
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
    }
}

struct Driver {
    shard: Shard,
    clock: Clock,
    store: Arc<dyn Store>,
    commands_rx: mpsc::UnboundedReceiver<Command>,
    events: FuturesUnordered<BoxFuture<'static, Event>>,
    turns: Arc<WriteSlots>,
    turn: Option<SlotPermit>,
    /// Whether the turn has seen a write.
    has_written: bool,
    turns_rx: FuturesUnordered<BoxFuture<'static, SlotPermit>>,
    verdict_txs: HashMap<AttemptId, oneshot::Sender<Verdict>>,
    done_txs: HashMap<AttemptId, oneshot::Sender<()>>,
    attempts: Arc<AtomicUsize>,
}

impl Driver {
    async fn run(mut self) {
        loop {
            let event = tokio::select! {
                command = self.commands_rx.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                Some(event) = self.events.next() => event,
                () = tokio::time::sleep(IDLE_TIME), if self.shard.has_cached_claims() => {
                    self.shard.drop_cached_claims();
                    continue;
                }
                Some(turn) = self.turns_rx.next() => {
                    self.turn = Some(turn);
                    Event::SlotGranted
                }
            };
            for action in self.shard.step(event, self.clock.now()) {
                self.carry_out(action);
            }
        }
    }

    fn take(&mut self, command: Command) -> Event {
        let op = match command {
            Command::Claim { request, replaces, verdict_tx } => {
                self.verdict_txs.insert(request.attempt, verdict_tx);
                Op::Claim { request, replaces }
            }
            Command::Settle { key, attempt, settlement, done_tx } => {
                self.verdict_txs.remove(&attempt);
                self.done_txs.extend(done_tx.map(|done_tx| (attempt, done_tx)));
                Op::Settle { key, attempt, settlement }
            }
        };
        Event::Submitted(op)
    }

    fn carry_out(&mut self, action: Action) {
        let store = Arc::clone(&self.store);
        match action {
            Action::Read(key) => {
                self.events.push(async move { Event::ReadDone(store.get(key).await) }.boxed());
            }
            Action::Write(write) => {
                if std::mem::replace(&mut self.has_written, true) {
                    self.turns.add_write();
                }
                let write = async move { Event::WriteDone(store.compare_and_swap(write).await) };
                self.events.push(write.boxed());
            }
            Action::Pause(span) => self.events.push(
                async move {
                    tokio::time::sleep(span).await;
                    Event::Resumed
                }
                .boxed(),
            ),
            Action::RequestSlot => {
                let turns = Arc::clone(&self.turns);
                self.turns_rx.push(async move { turns.take().await }.boxed());
            }
            Action::ReleaseSlot => {
                self.turn = None;
                self.has_written = false;
            }
            // Whoever stopped waiting has given up its attempt by its guard.
            Action::ReportVerdict(attempt, verdict) => {
                let verdict_tx = self.verdict_txs.remove(&attempt);
                verdict_tx.map(|verdict_tx| verdict_tx.send(verdict));
            }
            Action::ReportSettled(attempt) => {
                self.attempts.fetch_sub(1, Ordering::Relaxed);
                self.done_txs.remove(&attempt).map(|done_tx| done_tx.send(()));
            }
        }
    }
}
