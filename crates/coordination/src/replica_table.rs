//! Table of the known replicas, read on the request path.
//!
//! The list is replaced as a whole; member reports and in-flight counts are
//! updated in place by atomics and read-copy-update. No lock is taken.
//! A replica with a leaving member is not routable as soon as the departure is
//! recorded in the table.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use citrongw_protocol::{engine::LoadReport, gossip_item::LeavingInstance};
use citrongw_state::{
    id::{Incarnation, InstanceId, ReplicaId},
    replica::{self, NotRoutable, ReceivedReport, ReplicaSpec},
    time::Time,
};

/// A load report with the time of its request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReceivedLoad {
    /// Load as reported by the first member.
    pub report: LoadReport,
    /// When the report was requested.
    pub requested_at: Time,
}

/// A known replica with its latest reports.
#[derive(Debug)]
pub struct ReplicaEntry {
    /// Replica as described by the domain record.
    pub spec: ReplicaSpec,
    member_reports: ArcSwap<Vec<Option<ReceivedReport>>>,
    load: ArcSwap<ReceivedLoad>,
    in_flight: AtomicU32,
    leaving: AtomicBool,
}

impl ReplicaEntry {
    fn new(spec: ReplicaSpec) -> Self {
        let member_reports = vec![None; spec.members.len()];
        Self {
            spec,
            member_reports: ArcSwap::from_pointee(member_reports),
            load: ArcSwap::default(),
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// Checks that no member is leaving and every member recently confirmed that
    /// it serves the replica.
    pub fn check_routable(&self, now: Time, freshness: Duration) -> Result<(), NotRoutable> {
        if self.leaving.load(Ordering::Relaxed) {
            return Err(NotRoutable::MemberLeaving);
        }
        replica::check_routable(&self.spec, &self.member_reports.load(), now, freshness)
    }

    /// Latest reports of the members, in the record's order.
    pub fn member_reports(&self) -> Arc<Vec<Option<ReceivedReport>>> {
        self.member_reports.load_full()
    }

    /// Latest load report.
    pub fn load(&self) -> ReceivedLoad {
        **self.load.load()
    }

    /// Requests from this node in flight on the replica.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { entry: Arc::clone(self) }
    }

    /// Stores the report of the member at `idx`.
    pub fn set_report(&self, idx: usize, report: ReceivedReport) {
        self.member_reports.rcu(|old| {
            let mut reports = Vec::clone(old);
            if let Some(slot) = reports.get_mut(idx) {
                *slot = Some(report);
            }
            reports
        });
    }

    /// Stores the load report of the replica.
    pub fn set_load(&self, load: ReceivedLoad) {
        self.load.store(Arc::new(load));
    }
}

/// Guard that counts one request as in flight on a replica.
#[derive(Debug)]
pub struct InFlight {
    entry: Arc<ReplicaEntry>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All known replicas.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    snapshot: ArcSwap<Snapshot>,
    leaving_instances: ArcSwap<LeavingInstances>,
}

/// Replicas in the order of the records, and by id.
#[derive(Debug, Default)]
struct Snapshot {
    entries: Arc<Vec<Arc<ReplicaEntry>>>,
    by_id: HashMap<ReplicaId, Arc<ReplicaEntry>>,
}

/// Instances, with their incarnation, that accept no new work.
#[derive(Debug, Clone, Default)]
struct LeavingInstances {
    by_gossip: BTreeSet<(InstanceId, Incarnation)>,
    by_records: BTreeSet<(InstanceId, Incarnation)>,
    returned: BTreeSet<(InstanceId, Incarnation)>,
}

impl LeavingInstances {
    fn contains(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let key = (instance.clone(), incarnation);
        let announced = self.by_gossip.contains(&key) || self.by_records.contains(&key);
        announced && !self.returned.contains(&key)
    }

    fn is_empty(&self) -> bool {
        self.by_gossip.is_empty() && self.by_records.is_empty()
    }

    fn affects(&self, spec: &ReplicaSpec) -> bool {
        !self.is_empty()
            && spec.members.iter().any(|it| self.contains(&it.instance, it.incarnation))
    }
}

impl ReplicaTable {
    /// Current replicas, in the order of the records.
    pub fn entries(&self) -> Arc<Vec<Arc<ReplicaEntry>>> {
        Arc::clone(&self.snapshot.load().entries)
    }

    /// Looks up a replica by id.
    pub fn entry(&self, id: ReplicaId) -> Option<Arc<ReplicaEntry>> {
        self.snapshot.load().by_id.get(&id).cloned()
    }

    /// Replaces the replicas by those of the records. Reports of an unchanged
    /// replica are kept.
    pub fn replace(&self, specs: Vec<ReplicaSpec>) {
        let old = self.snapshot.load();
        let entry = |spec: ReplicaSpec| match old.by_id.get(&spec.id) {
            Some(same) if same.spec == spec => Arc::clone(same),
            _ => Arc::new(ReplicaEntry::new(spec)),
        };
        let entries: Vec<Arc<ReplicaEntry>> = specs.into_iter().map(entry).collect();
        let by_id = entries.iter().map(|it| (it.spec.id, Arc::clone(it))).collect();
        self.snapshot.store(Arc::new(Snapshot { entries: Arc::new(entries), by_id }));
        self.refresh_leaving();
    }

    /// Marks an instance as accepting no new work. Takes effect immediately, and
    /// only for this incarnation of the instance.
    pub fn mark_leaving(&self, leaving: &LeavingInstance) {
        let key = (leaving.instance.clone(), leaving.incarnation);
        if self.leaving_instances.load().by_gossip.contains(&key) {
            return;
        }
        self.leaving_instances.rcu(|leaving_instances| {
            let mut leaving_instances = LeavingInstances::clone(leaving_instances);
            leaving_instances.by_gossip.insert(key.clone());
            leaving_instances
        });
        self.refresh_leaving();
    }

    /// Sets the leaving instances listed in the records, and those that operators
    /// returned to service.
    pub fn set_leaving<'a>(
        &self,
        leaving: impl Iterator<Item = (&'a InstanceId, Incarnation)>,
        returned: impl Iterator<Item = (&'a InstanceId, Incarnation)>,
    ) {
        let by_records = leaving.map(|(id, incarnation)| (id.clone(), incarnation)).collect();
        let returned = returned.map(|(id, incarnation)| (id.clone(), incarnation)).collect();
        let by_gossip = self.leaving_instances.load().by_gossip.clone();
        self.leaving_instances.store(Arc::new(LeavingInstances {
            by_gossip,
            by_records,
            returned,
        }));
        self.refresh_leaving();
    }

    fn refresh_leaving(&self) {
        let leaving_instances = self.leaving_instances.load();
        for entry in self.snapshot.load().entries.iter() {
            entry.leaving.store(leaving_instances.affects(&entry.spec), Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests;
