//! What this node knows of each replica for its decisions, beside what the
//! replica table holds: limits, speed, breakers, and the requests in flight.
//!
//! It is rebuilt when the list of replicas changes; what is known of a replica
//! that stays is kept.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use citrongw_coordination::replica_table::{InFlight, ReplicaEntry, ReplicaTable};
use citrongw_state::{
    breaker::Breaker,
    concurrency::ConcurrencyLimit,
    id::{Fingerprint, ModelId, RequestId},
    routing::{LoadView, RouteIndex, Slot},
    straggler::TokenIntervals,
    time::Time,
};

/// One replica as this node's decisions see it.
#[derive(Debug)]
pub(super) struct Side {
    /// The replica.
    pub(super) entry: Arc<ReplicaEntry>,
    /// Requests that this node may have on it.
    pub(super) limit: ConcurrencyLimit,
    /// Its speed.
    pub(super) token_times: TokenIntervals,
    /// Its breaker.
    pub(super) breaker: Breaker,
    /// Whether it is ejected as a straggler.
    pub(super) is_ejected: AtomicBool,
    /// Whether its death has been told.
    pub(super) is_dead: AtomicBool,
    own_at_report: AtomicU32,
    report_asked_at_us: AtomicU64,
    running: Mutex<HashMap<RequestId, Fingerprint>>,
}

/// Request on a replica. It counts until it is dropped.
#[derive(Debug)]
pub(super) struct Placed {
    /// The replica.
    pub(super) side: Arc<Side>,
    request: RequestId,
    _in_flight: InFlight,
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.side.running().remove(&self.request);
    }
}

impl Side {
    fn new(entry: Arc<ReplicaEntry>) -> Self {
        Self {
            entry,
            limit: ConcurrencyLimit::default(),
            token_times: TokenIntervals::default(),
            breaker: Breaker::default(),
            is_ejected: AtomicBool::new(false),
            is_dead: AtomicBool::new(false),
            own_at_report: AtomicU32::new(0),
            report_asked_at_us: AtomicU64::new(0),
            running: Mutex::default(),
        }
    }

    /// Places a request on the replica.
    pub(super) fn place(self: &Arc<Self>, request: RequestId, fingerprint: Fingerprint) -> Placed {
        self.running().insert(request, fingerprint);
        Placed { side: Arc::clone(self), request, _in_flight: self.entry.begin_request() }
    }

    /// Requests of this node on the replica.
    pub(super) fn fingerprints(&self) -> Vec<Fingerprint> {
        self.running().values().copied().collect()
    }

    /// Load as selection reads it.
    pub(super) fn load_view(&self, now: Time) -> LoadView {
        let heard = self.entry.load();
        let is_heard = heard.requested_at != Time::default();
        let age = now.since(heard.requested_at) + Duration::from_millis(heard.report.age_ms.into());
        LoadView {
            own_in_flight: self.entry.in_flight(),
            own_in_flight_at_report: self.own_at_report.load(Ordering::Relaxed),
            running: heard.report.running,
            queued: heard.report.queued,
            report_age: is_heard.then_some(age),
            own_limit: self.limit.get(),
        }
    }

    /// Notes the requests in flight when a new report has come.
    pub(super) fn note_report(&self) {
        let asked_at = self.entry.load().requested_at;
        let asked_at_us = u64::try_from(asked_at.0.as_micros()).unwrap_or(u64::MAX);
        if self.report_asked_at_us.swap(asked_at_us, Ordering::Relaxed) != asked_at_us {
            self.own_at_report.store(self.entry.in_flight(), Ordering::Relaxed);
        }
    }

    fn running(&self) -> MutexGuard<'_, HashMap<RequestId, Fingerprint>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Replicas of one list.
#[derive(Debug)]
pub(super) struct Fleet {
    entries: Arc<Vec<Arc<ReplicaEntry>>>,
    /// Where requests may go.
    pub(super) index: RouteIndex,
    /// Replicas by slot.
    pub(super) sides: Vec<Arc<Side>>,
    typical_loads: HashMap<ModelId, TypicalLoad>,
}

/// Requests on a replica of a model, on average.
#[derive(Debug, Default)]
struct TypicalLoad {
    bits: AtomicU64,
}

impl Fleet {
    /// Replica at a slot.
    pub(super) fn side(&self, slot: Slot) -> &Arc<Side> {
        &self.sides[slot.idx()]
    }

    /// Requests on a replica of `model`, on average.
    pub(super) fn typical_load(&self, model: &ModelId) -> f64 {
        let load = self.typical_loads.get(model);
        load.map_or(0.0, |it| f64::from_bits(it.bits.load(Ordering::Relaxed)))
    }

    /// Takes in the reports that came since the last call.
    pub(super) fn note_reports(&self) {
        let mut sums: HashMap<&ModelId, (f64, f64)> = HashMap::new();
        for side in &self.sides {
            side.note_report();
            let report = side.entry.load().report;
            let load = (report.running + report.queued).max(side.entry.in_flight());
            let sum = sums.entry(&side.entry.spec.model).or_default();
            *sum = (sum.0 + f64::from(load), sum.1 + 1.0);
        }
        for (model, (load, replicas)) in sums {
            if let Some(typical) = self.typical_loads.get(model) {
                typical.bits.store((load / replicas).to_bits(), Ordering::Relaxed);
            }
        }
    }
}

/// Fleet in force.
#[derive(Debug, Default)]
pub(super) struct FleetCell {
    current: ArcSwapOption<Fleet>,
}

impl FleetCell {
    /// The fleet of the replicas that are known now.
    pub(super) fn get(&self, table: &ReplicaTable) -> Arc<Fleet> {
        let entries = table.entries();
        let current = self.current.load_full();
        match current {
            Some(fleet) if Arc::ptr_eq(&fleet.entries, &entries) => fleet,
            old => {
                let new = Arc::new(build(entries, old.as_deref()));
                self.current.store(Some(Arc::clone(&new)));
                new
            }
        }
    }
}

fn build(entries: Arc<Vec<Arc<ReplicaEntry>>>, old: Option<&Fleet>) -> Fleet {
    let known: HashMap<*const ReplicaEntry, &Arc<Side>> =
        old.iter().flat_map(|it| &it.sides).map(|side| (Arc::as_ptr(&side.entry), side)).collect();
    let side = |entry: &Arc<ReplicaEntry>| match known.get(&Arc::as_ptr(entry)) {
        Some(side) => Arc::clone(side),
        None => Arc::new(Side::new(Arc::clone(entry))),
    };
    let sides = entries.iter().map(side).collect();
    let index = RouteIndex::build(entries.iter().map(|it| &it.spec));
    let models = entries.iter().map(|it| (it.spec.model.clone(), TypicalLoad::default()));
    let typical_loads = models.collect();
    let fleet = Fleet { index, sides, typical_loads, entries };
    fleet.note_reports();
    fleet
}

#[cfg(test)]
mod tests;
