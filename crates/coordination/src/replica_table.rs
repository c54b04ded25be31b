//! The replicas that this node knows, as the path of a request reads them.
//!
//! The list is replaced as a whole; what members report and what is in flight
//! changes in place by atomics and read-copy-update. No lock is taken.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use citrongw_protocol::engine::LoadReport;
use citrongw_state::{
    id::ReplicaId,
    replica::{self, HeardReport, NotRoutable, ReplicaSpec},
    time::Time,
};

/// Load as last heard.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeardLoad {
    /// The report.
    pub report: LoadReport,
    /// When it was asked for.
    pub asked_at: Time,
}

/// One replica.
#[derive(Debug)]
pub struct ReplicaEntry {
    /// What the record says.
    pub spec: ReplicaSpec,
    heard: ArcSwap<Vec<Option<HeardReport>>>,
    load: ArcSwap<HeardLoad>,
    in_flight: AtomicU32,
}

impl ReplicaEntry {
    fn new(spec: ReplicaSpec) -> Self {
        let heard = vec![None; spec.members.len()];
        Self {
            spec,
            heard: ArcSwap::from_pointee(heard),
            load: ArcSwap::default(),
            in_flight: AtomicU32::new(0),
        }
    }

    /// Checks that every member vouches for the replica.
    pub fn check_routable(&self, now: Time, freshness: Duration) -> Result<(), NotRoutable> {
        replica::check_routable(&self.spec, &self.heard.load(), now, freshness)
    }

    /// What the members reported, in the record's order.
    pub fn heard(&self) -> Arc<Vec<Option<HeardReport>>> {
        self.heard.load_full()
    }

    /// Load as last heard.
    pub fn load(&self) -> HeardLoad {
        **self.load.load()
    }

    /// Requests of this node on the replica.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { entry: Arc::clone(self) }
    }

    /// Takes in the report of the member at `idx`.
    pub fn set_heard(&self, idx: usize, heard: HeardReport) {
        self.heard.rcu(|old| {
            let mut reports = Vec::clone(old);
            if let Some(place) = reports.get_mut(idx) {
                *place = Some(heard);
            }
            reports
        });
    }

    /// Takes in the load of the replica.
    pub fn set_load(&self, load: HeardLoad) {
        self.load.store(Arc::new(load));
    }
}

/// Request in flight on a replica.
#[derive(Debug)]
pub struct InFlight {
    entry: Arc<ReplicaEntry>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All replicas.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    entries: ArcSwap<Vec<Arc<ReplicaEntry>>>,
}

impl ReplicaTable {
    /// Replicas now known.
    pub fn entries(&self) -> Arc<Vec<Arc<ReplicaEntry>>> {
        self.entries.load_full()
    }

    /// Replica by id.
    pub fn entry(&self, id: ReplicaId) -> Option<Arc<ReplicaEntry>> {
        self.entries.load().iter().find(|it| it.spec.id == id).cloned()
    }

    /// Takes in the replicas that the records tell. What is known of an
    /// unchanged replica stays.
    pub fn replace(&self, specs: Vec<ReplicaSpec>) {
        let old = self.entries();
        let entry = |spec: ReplicaSpec| {
            let same = old.iter().find(|it| it.spec == spec);
            same.map_or_else(|| Arc::new(ReplicaEntry::new(spec)), Arc::clone)
        };
        self.entries.store(Arc::new(specs.into_iter().map(entry).collect()));
    }
}
