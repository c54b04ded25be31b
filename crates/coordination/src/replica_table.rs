//! The replicas that this node knows, as the path of a request reads them.
//!
//! The list is replaced as a whole; what members report and what is in flight
//! changes in place by atomics and read-copy-update. No lock is taken.
//! A replica with a leaving member is not routable from the moment that the
//! table is told.

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

/// Load as last heard.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReceivedLoad {
    /// The report.
    pub report: LoadReport,
    /// When it was asked for.
    pub requested_at: Time,
}

/// One replica.
#[derive(Debug)]
pub struct ReplicaEntry {
    /// What the record says.
    pub spec: ReplicaSpec,
    heard: ArcSwap<Vec<Option<ReceivedReport>>>,
    load: ArcSwap<ReceivedLoad>,
    in_flight: AtomicU32,
    leaving: AtomicBool,
}

impl ReplicaEntry {
    fn new(spec: ReplicaSpec) -> Self {
        let heard = vec![None; spec.members.len()];
        Self {
            spec,
            heard: ArcSwap::from_pointee(heard),
            load: ArcSwap::default(),
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// Checks that every member vouches for the replica.
    pub fn check_routable(&self, now: Time, freshness: Duration) -> Result<(), NotRoutable> {
        if self.leaving.load(Ordering::Relaxed) {
            return Err(NotRoutable::MemberLeaving);
        }
        replica::check_routable(&self.spec, &self.heard.load(), now, freshness)
    }

    /// What the members reported, in the record's order.
    pub fn member_reports(&self) -> Arc<Vec<Option<ReceivedReport>>> {
        self.heard.load_full()
    }

    /// Load as last heard.
    pub fn load(&self) -> ReceivedLoad {
        **self.load.load()
    }

    /// Requests of this node on the replica.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { entry: Arc::clone(self) }
    }

    /// Takes in the report of the member at `idx`.
    pub fn set_report(&self, idx: usize, heard: ReceivedReport) {
        self.heard.rcu(|old| {
            let mut reports = Vec::clone(old);
            if let Some(place) = reports.get_mut(idx) {
                *place = Some(heard);
            }
            reports
        });
    }

    /// Takes in the load of the replica.
    pub fn set_load(&self, load: ReceivedLoad) {
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
    snapshot: ArcSwap<Snapshot>,
    told: ArcSwap<Leaving>,
}

/// Replicas in the order of the records, and by id.
#[derive(Debug, Default)]
struct Snapshot {
    entries: Arc<Vec<Arc<ReplicaEntry>>>,
    by_id: HashMap<ReplicaId, Arc<ReplicaEntry>>,
}

/// Which starts of instances take no new work.
#[derive(Debug, Clone, Default)]
struct Leaving {
    by_news: BTreeSet<(InstanceId, Incarnation)>,
    by_records: BTreeSet<(InstanceId, Incarnation)>,
    returned: BTreeSet<(InstanceId, Incarnation)>,
}

impl Leaving {
    fn has(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let start = (instance.clone(), incarnation);
        let told = self.by_news.contains(&start) || self.by_records.contains(&start);
        told && !self.returned.contains(&start)
    }

    fn is_empty(&self) -> bool {
        self.by_news.is_empty() && self.by_records.is_empty()
    }

    fn marks(&self, spec: &ReplicaSpec) -> bool {
        !self.is_empty() && spec.members.iter().any(|it| self.has(&it.instance, it.incarnation))
    }
}

impl ReplicaTable {
    /// Replicas now known.
    pub fn entries(&self) -> Arc<Vec<Arc<ReplicaEntry>>> {
        Arc::clone(&self.snapshot.load().entries)
    }

    /// Replica by id.
    pub fn entry(&self, id: ReplicaId) -> Option<Arc<ReplicaEntry>> {
        self.snapshot.load().by_id.get(&id).cloned()
    }

    /// Takes in the replicas that the records tell. What is known of an
    /// unchanged replica stays.
    pub fn replace(&self, specs: Vec<ReplicaSpec>) {
        let old = self.snapshot.load();
        let entry = |spec: ReplicaSpec| match old.by_id.get(&spec.id) {
            Some(same) if same.spec == spec => Arc::clone(same),
            _ => Arc::new(ReplicaEntry::new(spec)),
        };
        let entries: Vec<Arc<ReplicaEntry>> = specs.into_iter().map(entry).collect();
        let by_id = entries.iter().map(|it| (it.spec.id, Arc::clone(it))).collect();
        self.snapshot.store(Arc::new(Snapshot { entries: Arc::new(entries), by_id }));
        self.mark_all();
    }

    /// Takes in that an instance takes no new work. Holds at once, and for this
    /// start of its process.
    pub fn mark_leaving(&self, leaving: &LeavingInstance) {
        let start = (leaving.instance.clone(), leaving.incarnation);
        if self.told.load().by_news.contains(&start) {
            return;
        }
        self.told.rcu(|told| {
            let mut told = Leaving::clone(told);
            told.by_news.insert(start.clone());
            told
        });
        self.mark_all();
    }

    /// Takes in what the records say of leaving instances, and of those that
    /// operators returned.
    pub fn set_leaving<'a>(
        &self,
        leaving: impl Iterator<Item = (&'a InstanceId, Incarnation)>,
        returned: impl Iterator<Item = (&'a InstanceId, Incarnation)>,
    ) {
        let by_records = leaving.map(|(id, start)| (id.clone(), start)).collect();
        let returned = returned.map(|(id, start)| (id.clone(), start)).collect();
        let by_news = self.told.load().by_news.clone();
        self.told.store(Arc::new(Leaving { by_news, by_records, returned }));
        self.mark_all();
    }

    fn mark_all(&self) {
        let told = self.told.load();
        for entry in self.snapshot.load().entries.iter() {
            entry.leaving.store(told.marks(&entry.spec), Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests;
