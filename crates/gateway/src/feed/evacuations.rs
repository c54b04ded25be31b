//! Follows the availability zones that the operators evacuate, for this gateway or for
//! all. [`citrongw_state::evacuation`] decides.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use citrongw_protocol::store::Snapshot;
use citrongw_state::{
    evacuation::{Applied, EvacuatedZones, Evacuations, ReadRole, ReadSchedule},
    id::{AvailabilityZone, NodeId},
    time::Time,
};
use tokio::{
    task::JoinHandle,
    time::{MissedTickBehavior, interval},
};

use super::{RoutingState, unreadable::UnreadableRecords};
use crate::{fleet::Fleet, lock::lock, node::Gateway, peers::message::EvacuationUpdate};

/// Interval between checks of whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Zones under evacuation as this gateway knows them.
#[derive(Debug, Default)]
pub struct KnownEvacuations {
    state: Mutex<Evacuations>,
    /// Newest set, which each choice of a server reads.
    newest: ArcSwap<EvacuatedZones>,
    /// When the evacuation of each zone took effect.
    begun_at: Mutex<BTreeMap<AvailabilityZone, Time>>,
}

impl KnownEvacuations {
    /// Zones under evacuation; none before the first read.
    pub fn zones(&self) -> Arc<EvacuatedZones> {
        self.newest.load_full()
    }

    /// Whether requests may be served: the zones were read after this gateway started.
    pub fn is_known(&self) -> bool {
        lock(&self.state).is_known()
    }

    /// Newest set for a gateway that asks; none if it is too old to be relied on.
    pub(crate) fn fresh(&self, now: Time) -> Option<EvacuationUpdate> {
        let state = lock(&self.state);
        let (evacuated, age) = state.fresh(now)?;
        Some(EvacuationUpdate { evacuated: evacuated.clone(), age, must_forward: false })
    }

    /// Applies a set. True if it has other zones than the last known one. `before_return` is called for each zone whose evacuation ended, before
    /// requests may be sent there.
    fn apply(
        &self,
        read: EvacuatedZones,
        read_at: Time,
        source: Option<NodeId>,
        fleet: &Fleet,
        now: Time,
        before_return: impl Fn(&AvailabilityZone),
    ) -> bool {
        let mut state = lock(&self.state);
        let is_first = state.newest().is_none();
        let last_age_ms = state.age(now).map(|it| it.as_millis());
        let revision = read.revision;
        let applied = state.apply(read.clone(), read_at, now);
        if applied == Applied::Outdated {
            return false;
        }
        if let Applied::Changed { ended, .. } = &applied {
            ended.iter().for_each(before_return);
        }
        self.newest.store(Arc::new(read));
        let Applied::Changed { begun, ended } = applied else { return false };
        let (era, age_ms) = (revision.era.0, now.since(read_at).as_millis());
        let source = source.map(|it| it.to_string());
        let source = source.as_deref().unwrap_or("own read");
        let mut begun_at = lock(&self.begun_at);
        for zone in begun {
            tracing::info!(
                %zone, era, revision = revision.number, source, age_ms, last_age_ms,
                requests = count_requests(fleet, &zone), "evacuation of a zone took effect"
            );
            begun_at.insert(zone, now);
        }
        for zone in &ended {
            let lasted = begun_at.remove(zone).map(|it| now.since(it));
            tracing::info!(
                %zone, era, revision = revision.number, source, age_ms, last_age_ms,
                lasted_ms = lasted.map(|it| it.as_millis()), servers = fleet.servers_in(zone).count(),
                "evacuation of a zone ended"
            );
        }
        !is_first
    }
}

/// Requests of this gateway in flight at the servers of a zone.
fn count_requests(fleet: &Fleet, zone: &AvailabilityZone) -> u32 {
    fleet.servers_in(zone).map(|it| it.stats.in_flight()).sum()
}

impl RoutingState {
    /// Applies the zones under evacuation that another gateway sent.
    pub(crate) fn apply_evacuations(&self, update: EvacuationUpdate, from: NodeId, now: Time) {
        let read_at = update.read_at(now);
        self.apply_evacuated_zones(update.evacuated, read_at, Some(from), now);
    }

    /// Applies a set of zones under evacuation. True if it has other zones than the last
    /// known one. Servers of a zone that returns are taken as cold: all gateways would
    /// otherwise send their requests to these idle servers at the same moment.
    fn apply_evacuated_zones(
        &self,
        read: EvacuatedZones,
        read_at: Time,
        source: Option<NodeId>,
        now: Time,
    ) -> bool {
        let fleet = self.fleet.load();
        self.evacuations.apply(read, read_at, source, &fleet, now, |it| self.record_returned(it))
    }
}

/// Spawns the task that follows the zones under evacuation.
pub(crate) fn spawn(gateway: &Arc<Gateway>) -> JoinHandle<()> {
    let feed = EvacuationFeed {
        gateway: Arc::clone(gateway),
        unreadable: UnreadableRecords::new(&gateway.metrics),
        schedule: ReadSchedule::default(),
        emptied: BTreeSet::new(),
        requests: BTreeMap::new(),
    };
    tokio::spawn(feed.follow())
}

struct EvacuationFeed {
    gateway: Arc<Gateway>,
    unreadable: UnreadableRecords,
    schedule: ReadSchedule,
    /// Zones under evacuation without requests of this gateway.
    emptied: BTreeSet<AvailabilityZone>,
    /// Requests of this gateway in flight at each zone under evacuation.
    requests: BTreeMap<AvailabilityZone, u32>,
}

impl EvacuationFeed {
    /// Follows the zones; never returns.
    async fn follow(mut self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let newest_era = self.gateway.era.clone();
        let mut era = newest_era.get();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = newest_era.wait_after(era) => {}
            }
            era = newest_era.get();
            self.read_if_due().await;
            self.ask_if_due().await;
            self.report_requests();
        }
    }

    fn role(&self) -> ReadRole {
        let peers = &self.gateway.peers;
        let known_era = self.gateway.routing.evacuations.zones().revision.era;
        if known_era < self.gateway.era.get() && !peers.has_others() {
            // No other gateway reads the new era.
            return ReadRole::Substitute;
        }
        match (peers.is_reader(), peers.is_substitute_reader()) {
            (true, _) => ReadRole::Reader,
            (false, true) => ReadRole::Substitute,
            (false, false) => ReadRole::Follower,
        }
    }

    async fn read_if_due(&mut self) {
        let (now, role, era) = (self.gateway.clock.now(), self.role(), self.gateway.era.get());
        let is_due = {
            let mut known = lock(&self.gateway.routing.evacuations.state);
            // A check may come slightly before the interval has passed.
            self.schedule.is_due(&mut known, role, era, now, CHECK_INTERVAL / 2)
        };
        if !is_due {
            return;
        }
        self.schedule.begin(now);
        let adapter = &self.gateway.adapter;
        let listed = adapter.store.list(adapter.codec.evacuations_prefix()).await;
        let error = listed.as_ref().err().map(ToString::to_string);
        if self.schedule.end(error.is_none()) {
            match &error {
                Some(error) => {
                    tracing::warn!(%error, %role, dependency = "store", "could not read the zones under evacuation");
                }
                None => {
                    tracing::info!(%role, dependency = "store", "zones under evacuation are readable again");
                }
            }
        }
        if let Ok(snapshot) = listed {
            self.apply_read(&snapshot, role, now).await;
        }
    }

    async fn apply_read(&self, snapshot: &Snapshot, role: ReadRole, read_at: Time) {
        let gateway = &self.gateway;
        let read = self.decode(snapshot);
        let now = gateway.clock.now();
        let has_news = gateway.routing.apply_evacuated_zones(read.clone(), read_at, None, now);
        let age = now.since(read_at);
        let update = EvacuationUpdate { evacuated: read, age, must_forward: false };
        // The substitute of a zone may be refused by the key-value service, and the
        // reporter that forwards to it gone, so news goes to each gateway directly.
        if has_news {
            gateway.peers.broadcast_evacuations(&update).await;
            return;
        }
        match role {
            ReadRole::Reader => gateway.peers.publish_evacuations(&update).await,
            ReadRole::Substitute => gateway.peers.publish_evacuations_to_zone(&update).await,
            ReadRole::Follower => {}
        }
    }

    fn decode(&self, snapshot: &Snapshot) -> EvacuatedZones {
        let codec = &self.gateway.adapter.codec;
        let zones = snapshot.entries.iter().filter_map(|entry| {
            let decoded = codec.decode_evacuation(&entry.key);
            decoded.inspect_err(|error| self.unreadable.add(entry, error)).ok()
        });
        let zones = zones.collect();
        self.unreadable.retain(&codec.evacuations_prefix(), |key| {
            snapshot.entries.iter().any(|entry| entry.key == *key)
        });
        EvacuatedZones { revision: snapshot.revision, zones }
    }

    /// Asks other gateways while this one is refused by the key-value service and hears
    /// none that reads. It may not be listed any more, and so get no updates.
    async fn ask_if_due(&mut self) {
        let now = self.gateway.clock.now();
        let must_ask = {
            let known = lock(&self.gateway.routing.evacuations.state);
            self.schedule.must_ask(&known, now)
        };
        if must_ask {
            self.gateway.peers.request_evacuations(self.gateway.settings.peer_addr).await;
        }
    }

    /// Logs each zone that has no requests of this gateway left.
    fn report_requests(&mut self) {
        let evacuations = &self.gateway.routing.evacuations;
        let evacuated = evacuations.zones();
        let fleet = self.gateway.routing.fleet.load();
        let count = |zone: &AvailabilityZone| (zone.clone(), count_requests(&fleet, zone));
        let requests: BTreeMap<_, _> = evacuated.zones.iter().map(count).collect();
        self.emptied.retain(|it| evacuated.contains(it));
        for (zone, _) in requests.iter().filter(|(_, requests)| **requests == 0) {
            if self.emptied.insert(zone.clone()) {
                let begun_at = lock(&evacuations.begun_at).get(zone).copied();
                let took = begun_at.map(|it| self.gateway.clock.now().since(it));
                tracing::info!(
                    %zone, took_ms = took.map(|it| it.as_millis()),
                    "evacuated zone has no requests left"
                );
            }
        }
        if requests != self.requests {
            self.gateway.metrics.set_evacuated_zones(&requests);
            self.requests = requests;
        }
    }
}

#[cfg(test)]
mod tests;
