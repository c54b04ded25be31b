//! Turns of a node's shards at the service.
//!
//! The nodes share the service's rate of writes evenly. A shard that waits for
//! its turn gathers what arrives in the meantime, so that batches grow as the
//! rate runs short. Turns are granted in the order in which they are asked for.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use citrongw_state::time::Time;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{clock::Clock, node_view::NodeView, store_guard::WRITES_PER_S};

/// Part of a node's share of the writes that its claims take.
const CLAIMS_PART: f64 = 0.9;
/// Turns a second that a node may always take.
const MIN_TURNS_PER_S: f64 = 2.0;
/// Turns at once.
const MAX_TURNS: usize = 8;
/// Time whose turns may be taken at once.
const BURST: Duration = Duration::from_millis(500);

/// Turns of one node.
#[derive(Debug)]
pub(super) struct WriteSlots {
    clock: Clock,
    nodes: Arc<NodeView>,
    /// Next turn, were there no burst.
    next_at: Mutex<Time>,
    places: Arc<Semaphore>,
}

/// A turn, which ends when it is dropped.
#[derive(Debug)]
pub(super) struct SlotPermit {
    _place: Option<OwnedSemaphorePermit>,
}

/// Opens the turns of a node.
pub(super) fn open(clock: Clock, nodes: Arc<NodeView>) -> WriteSlots {
    let (next_at, places) = (Mutex::default(), Arc::new(Semaphore::new(MAX_TURNS)));
    WriteSlots { clock, nodes, next_at, places }
}

impl WriteSlots {
    /// Takes the next turn.
    pub(super) async fn take(&self) -> SlotPermit {
        // The semaphore is never closed.
        let place = Arc::clone(&self.places).acquire_owned().await.ok();
        tokio::time::sleep_until(self.clock.instant(self.next_turn())).await;
        SlotPermit { _place: place }
    }

    /// Counts a further write in a turn.
    pub(super) fn add_write(&self) {
        self.next_turn();
    }

    fn next_turn(&self) -> Time {
        let nodes = self.nodes.alive().len().max(1) as f64;
        let per_s = (WRITES_PER_S * CLAIMS_PART / nodes).max(MIN_TURNS_PER_S);
        let mut next_at = self.next_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let turn = (*next_at).max(now);
        *next_at = turn + Duration::from_secs_f64(1.0 / per_s);
        now + turn.since(now).saturating_sub(BURST)
    }
}
