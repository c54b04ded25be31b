//! The last decisions of this node, bounded, off the path of a request but for
//! one short lock.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use citrongw_protocol::decision::{Decision, RecordedDecision, Subject};

use crate::clock::Clock;

/// Decisions kept.
const CAPACITY: usize = 8192;
/// Parts of the log, each behind a lock of its own.
const SHARDS: usize = 16;

/// Log of one node.
#[derive(Debug)]
pub struct DecisionLog {
    clock: Clock,
    shards: Vec<Mutex<VecDeque<RecordedDecision>>>,
}

/// Opens an empty log.
pub fn open(clock: Clock) -> DecisionLog {
    DecisionLog { clock, shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
}

impl DecisionLog {
    /// Adds a decision; the oldest of its shard gives way.
    pub fn add(&self, decision: Decision) {
        let recorded = RecordedDecision { at: self.clock.now().0, decision };
        let mut shard = self.shard(&recorded);
        if CAPACITY / SHARDS <= shard.len() {
            shard.pop_front();
        }
        shard.push_back(recorded);
    }

    /// Decisions about `subject`, in order of time.
    pub fn about(&self, subject: Subject) -> Vec<RecordedDecision> {
        self.select(|it| it.is_about(subject))
    }

    /// Decisions that `wanted` takes, in order of time.
    pub fn select(&self, wanted: impl Fn(&Decision) -> bool) -> Vec<RecordedDecision> {
        let mut found = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            found.extend(shard.iter().filter(|it| wanted(&it.decision)).cloned());
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
