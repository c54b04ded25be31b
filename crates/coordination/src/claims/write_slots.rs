//! Slots in which a node's shards may call the key-value service.
//!
//! The nodes share the service's write rate evenly. A shard that waits for a
//! slot collects the operations that arrive in the meantime, so batches grow as
//! the rate becomes scarce. Slots are granted in the order of the requests.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use citrongw_state::time::Time;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{clock::Clock, node_view::NodeView, store_guard::WRITES_PER_S};

/// Fraction of a node's share of the write rate that its claims may use.
const CLAIMS_SHARE: f64 = 0.9;
/// Minimum rate of slots of a node.
const MIN_SLOTS_PER_S: f64 = 2.0;
/// Maximum number of concurrent slots.
const MAX_CONCURRENT_SLOTS: usize = 8;
/// Amount of time whose slots may be used in one burst.
const BURST: Duration = Duration::from_millis(500);

/// Slots of one node.
#[derive(Debug)]
pub(super) struct WriteSlots {
    clock: Clock,
    nodes: Arc<NodeView>,
    /// Time of the next slot without a burst.
    next_at: Mutex<Time>,
    concurrent: Arc<Semaphore>,
}

/// Permit of a slot, released on drop.
#[derive(Debug)]
pub(super) struct SlotPermit {
    _permit: Option<OwnedSemaphorePermit>,
}

/// Creates the slots of a node.
pub(super) fn open(clock: Clock, nodes: Arc<NodeView>) -> WriteSlots {
    let (next_at, concurrent) = (Mutex::default(), Arc::new(Semaphore::new(MAX_CONCURRENT_SLOTS)));
    WriteSlots { clock, nodes, next_at, concurrent }
}

impl WriteSlots {
    /// Waits for the next slot.
    pub(super) async fn acquire(&self) -> SlotPermit {
        // The semaphore is never closed.
        let permit = Arc::clone(&self.concurrent).acquire_owned().await.ok();
        tokio::time::sleep_until(self.clock.instant(self.next_slot())).await;
        SlotPermit { _permit: permit }
    }

    /// Consumes rate for a further write in the same slot.
    pub(super) fn add_write(&self) {
        self.next_slot();
    }

    fn next_slot(&self) -> Time {
        let nodes = self.nodes.alive().len().max(1) as f64;
        let per_s = (WRITES_PER_S * CLAIMS_SHARE / nodes).max(MIN_SLOTS_PER_S);
        let mut next_at = self.next_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let slot_at = (*next_at).max(now);
        *next_at = slot_at + Duration::from_secs_f64(1.0 / per_s);
        now + slot_at.since(now).saturating_sub(BURST)
    }
}
