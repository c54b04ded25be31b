//! Bounded log of this node's latest decisions. Adding one on the request path
//! takes a single short lock.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use citrongw_protocol::decision::{Decision, RecordedDecision, Subject};

use crate::clock::Clock;

/// Maximum decisions kept.
const CAPACITY: usize = 8192;
/// Shards of the log, each with its own lock.
const SHARDS: usize = 16;

/// Decision log of one node.
#[derive(Debug)]
pub struct DecisionLog {
    clock: Clock,
    shards: Vec<Mutex<VecDeque<RecordedDecision>>>,
}

/// Creates an empty log.
pub fn open(clock: Clock) -> DecisionLog {
    DecisionLog { clock, shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
}

impl DecisionLog {
    /// Adds a decision. If its shard is full, the oldest one there is removed.
    pub fn add(&self, decision: Decision) {
        let recorded = RecordedDecision { at: self.clock.now().0, decision };
        let mut shard = self.shard(&recorded);
        if CAPACITY / SHARDS <= shard.len() {
            shard.pop_front();
        }
        shard.push_back(recorded);
    }

    /// Decisions about `subject`, oldest first.
    pub fn about(&self, subject: Subject) -> Vec<RecordedDecision> {
        self.select(|it| it.is_about(subject))
    }

    /// Decisions that match `predicate`, oldest first.
    pub fn select(&self, predicate: impl Fn(&Decision) -> bool) -> Vec<RecordedDecision> {
        let mut found = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            found.extend(shard.iter().filter(|it| predicate(&it.decision)).cloned());
        }
        found.sort_by_key(|it| it.at);
        found
    }

    fn shard(&self, recorded: &RecordedDecision) -> MutexGuard<'_, VecDeque<RecordedDecision>> {
        let nanos = recorded.at.subsec_nanos() as usize;
        let shard = &self.shards[(nanos / 64) % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
