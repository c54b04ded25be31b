//! Routing state of each replica at this node, in addition to the replica table:
//! concurrency limits, token intervals, breakers and requests in flight.
//!
//! The fleet is rebuilt when the list of replicas changes; the state of unchanged
//! replicas is kept.

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

/// One replica with its routing state at this node.
#[derive(Debug)]
pub(super) struct TrackedReplica {
    /// Entry of the replica table.
    pub(super) entry: Arc<ReplicaEntry>,
    /// Limit of this node's requests in flight on the replica.
    pub(super) limit: ConcurrencyLimit,
    /// Smoothed interval between tokens.
    pub(super) token_intervals: TokenIntervals,
    /// Circuit breaker.
    pub(super) breaker: Breaker,
    /// Whether the replica is ejected as a straggler.
    pub(super) is_ejected: AtomicBool,
    /// Whether the death of the replica has been recorded and published.
    pub(super) death_recorded: AtomicBool,
    own_in_flight_at_report: AtomicU32,
    report_requested_at_us: AtomicU64,
    running: Mutex<HashMap<RequestId, Fingerprint>>,
}

/// Permit for one request on a replica. The request counts as in flight until the
/// permit is dropped.
#[derive(Debug)]
pub(super) struct ReplicaPermit {
    /// Replica that the request runs on.
    pub(super) replica: Arc<TrackedReplica>,
    request: RequestId,
    _in_flight: InFlight,
}

impl Drop for ReplicaPermit {
    fn drop(&mut self) {
        self.replica.running().remove(&self.request);
    }
}

impl TrackedReplica {
    fn new(entry: Arc<ReplicaEntry>) -> Self {
        Self {
            entry,
            limit: ConcurrencyLimit::default(),
            token_intervals: TokenIntervals::default(),
            breaker: Breaker::default(),
            is_ejected: AtomicBool::new(false),
            death_recorded: AtomicBool::new(false),
            own_in_flight_at_report: AtomicU32::new(0),
            report_requested_at_us: AtomicU64::new(0),
            running: Mutex::default(),
        }
    }

    /// Counts a request as in flight on the replica until the permit is dropped.
    pub(super) fn begin_request(
        self: &Arc<Self>,
        request: RequestId,
        fingerprint: Fingerprint,
    ) -> ReplicaPermit {
        self.running().insert(request, fingerprint);
        ReplicaPermit { replica: Arc::clone(self), request, _in_flight: self.entry.begin_request() }
    }

    /// Fingerprints of this node's requests in flight on the replica.
    pub(super) fn fingerprints(&self) -> Vec<Fingerprint> {
        self.running().values().copied().collect()
    }

    /// Load in the form that replica selection uses.
    pub(super) fn load_view(&self, now: Time) -> LoadView {
        let received = self.entry.load();
        let is_reported = received.requested_at != Time::default();
        let age =
            now.since(received.requested_at) + Duration::from_millis(received.report.age_ms.into());
        LoadView {
            own_in_flight: self.entry.in_flight(),
            own_in_flight_at_report: self.own_in_flight_at_report.load(Ordering::Relaxed),
            running: received.report.running,
            queued: received.report.queued,
            report_age: is_reported.then_some(age),
            own_limit: self.limit.get(),
        }
    }

    /// Records the requests in flight when a new report has arrived.
    pub(super) fn record_report(&self) {
        let requested_at = self.entry.load().requested_at;
        let requested_at_us = u64::try_from(requested_at.0.as_micros()).unwrap_or(u64::MAX);
        if self.report_requested_at_us.swap(requested_at_us, Ordering::Relaxed) != requested_at_us {
            self.own_in_flight_at_report.store(self.entry.in_flight(), Ordering::Relaxed);
        }
    }

    fn running(&self) -> MutexGuard<'_, HashMap<RequestId, Fingerprint>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Replicas of one version of the replica list.
#[derive(Debug)]
pub(super) struct Fleet {
    entries: Arc<Vec<Arc<ReplicaEntry>>>,
    /// Index of the replicas by what they serve.
    pub(super) index: RouteIndex,
    /// Replicas, indexed by slot.
    pub(super) replicas: Vec<Arc<TrackedReplica>>,
    typical_loads: HashMap<ModelId, TypicalLoad>,
}

/// Mean number of requests on a replica of a model.
#[derive(Debug, Default)]
struct TypicalLoad {
    bits: AtomicU64,
}

impl Fleet {
    /// Returns the replica at a slot.
    pub(super) fn replica(&self, slot: Slot) -> &Arc<TrackedReplica> {
        &self.replicas[slot.idx()]
    }

    /// Mean number of requests on a replica of `model`.
    pub(super) fn typical_load(&self, model: &ModelId) -> f64 {
        let load = self.typical_loads.get(model);
        load.map_or(0.0, |it| f64::from_bits(it.bits.load(Ordering::Relaxed)))
    }

    /// Applies the reports that arrived since the last call.
    pub(super) fn update_reports(&self) {
        let mut sums: HashMap<&ModelId, (f64, f64)> = HashMap::new();
        for replica in &self.replicas {
            replica.record_report();
            let report = replica.entry.load().report;
            let load = (report.running + report.queued).max(replica.entry.in_flight());
            let sum = sums.entry(&replica.entry.spec.model).or_default();
            *sum = (sum.0 + f64::from(load), sum.1 + 1.0);
        }
        for (model, (load, replicas)) in sums {
            if let Some(typical) = self.typical_loads.get(model) {
                typical.bits.store((load / replicas).to_bits(), Ordering::Relaxed);
            }
        }
    }
}

/// Current fleet.
#[derive(Debug, Default)]
pub(super) struct FleetCell {
    current: ArcSwapOption<Fleet>,
}

impl FleetCell {
    /// Returns the fleet of the replicas in `table`, and rebuilds it if they changed.
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
    let known: HashMap<*const ReplicaEntry, &Arc<TrackedReplica>> = old
        .iter()
        .flat_map(|it| &it.replicas)
        .map(|replica| (Arc::as_ptr(&replica.entry), replica))
        .collect();
    let replica = |entry: &Arc<ReplicaEntry>| match known.get(&Arc::as_ptr(entry)) {
        Some(replica) => Arc::clone(replica),
        None => Arc::new(TrackedReplica::new(Arc::clone(entry))),
    };
    let replicas = entries.iter().map(replica).collect();
    let index = RouteIndex::build(entries.iter().map(|it| &it.spec));
    let models = entries.iter().map(|it| (it.spec.model.clone(), TypicalLoad::default()));
    let typical_loads = models.collect();
    let fleet = Fleet { index, replicas, typical_loads, entries };
    fleet.update_reports();
    fleet
}

#[cfg(test)]
mod tests;
