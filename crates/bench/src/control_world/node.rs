//! Model of one node: its domain controllers, the state it received, and the
//! reports that it routes by.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use citrongw_coordination::control::{
    context::{Context, FleetPlan},
    domain::{self, Action, DomainControl, Event},
    plan::{self, PlanInput, Records},
};
use citrongw_protocol::{instance_list::ListedInstance, record::DomainRecord};
use citrongw_state::{
    id::{FabricDomainId, InstanceId, NodeId, ReplicaId, Revision},
    replica::{Member, ReceivedReport},
    self_suspicion::SelfSuspicion,
    time::Time,
};

use super::{WorldSettings, engine::EngineModel, store::StoreModel};

/// Interval between two full reads of the records.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Simulated node.
#[derive(Debug, Default)]
pub struct NodeModel {
    /// Node id.
    pub id: NodeId,
    /// Whether the process is running.
    pub alive: bool,
    /// Time at which the current or last pause ends.
    pub paused: Option<Time>,
    /// Whether the node is partitioned from the store.
    pub cut_from_store: bool,
    /// Whether the node is partitioned from the engines.
    pub cut_from_engines: bool,
    /// Nodes that this node considers alive.
    pub view: Vec<NodeId>,
    /// Records as last received.
    pub records: Records,
    /// Reports of members as received by the routing side of the node.
    pub reports: BTreeMap<InstanceId, ReceivedReport>,
    controls: BTreeMap<FabricDomainId, DomainControl>,
    fleet: FleetPlan,
    self_suspicion: SelfSuspicion,
    read_at: Option<Time>,
    records_changed: bool,
    listed: Option<Arc<Vec<ListedInstance>>>,
}

/// Creates a node with one controller per domain.
pub fn open(
    id: NodeId,
    domains: &BTreeSet<FabricDomainId>,
    settings: &WorldSettings,
    seed: u64,
) -> NodeModel {
    let control = |(idx, it): (usize, &FabricDomainId)| {
        let seed = seed.wrapping_add(idx as u64);
        (it.clone(), domain::open(it.clone(), id, settings.control, seed))
    };
    NodeModel {
        id,
        alive: true,
        view: (1..=settings.nodes).map(NodeId).collect(),
        controls: domains.iter().enumerate().map(control).collect(),
        ..NodeModel::default()
    }
}

impl NodeModel {
    /// End of the pause if the node is paused at `now`.
    pub fn paused_until(&self, now: Time) -> Option<Time> {
        self.paused.filter(|it| now < *it)
    }

    /// Reads all records if the full read interval has elapsed.
    pub fn read_all(
        &mut self,
        store: &mut StoreModel,
        settings: &WorldSettings,
        now: Time,
    ) -> Vec<(FabricDomainId, Action)> {
        if self.read_at.is_some_and(|it| now.since(it) < FULL_READ_INTERVAL) {
            return Vec::new();
        }
        self.read_at = Some(now);
        self.self_suspicion.record_store_response(now);
        store.reads += 1;
        let mut actions = Vec::new();
        for (domain, (record, revision)) in store.records() {
            self.record_received(domain, Arc::clone(record), *revision);
            let event = Event::RecordReceived(Arc::clone(record), *revision);
            let found = self.deliver(domain, event, settings, now);
            actions.extend(found.into_iter().map(|it| (domain.clone(), it)));
        }
        actions
    }

    /// Stores a received record unless a newer one is known.
    pub fn record_received(
        &mut self,
        domain: &FabricDomainId,
        record: Arc<DomainRecord>,
        revision: Revision,
    ) {
        let newer = self.records.get(domain).is_none_or(|(_, it)| *it < revision);
        if newer {
            self.records.insert(domain.clone(), (record, revision));
            self.records_changed = true;
        }
    }

    /// Delivers an event to a domain controller.
    pub fn deliver(
        &mut self,
        domain: &FabricDomainId,
        event: Event,
        settings: &WorldSettings,
        now: Time,
    ) -> Vec<Action> {
        if matches!(event, Event::Read(_)) {
            self.self_suspicion.record_store_response(now);
        }
        let ctx = Context {
            alive: &self.view,
            is_view_suspect: self.self_suspicion.suspects_self(),
            deployments: &settings.config.deployments,
            fleet: &self.fleet,
        };
        let control = self.controls.get_mut(domain);
        control.map(|it| it.step(&ctx, event, now)).unwrap_or_default()
    }

    /// Runs one tick: polls the instances, recomputes the plan and ticks the
    /// controllers.
    pub fn tick(
        &mut self,
        engines: &[EngineModel],
        listed: &Arc<Vec<ListedInstance>>,
        settings: &WorldSettings,
        now: Time,
    ) -> Vec<(FabricDomainId, Action)> {
        self.self_suspicion.record_alive(self.view.len(), now);
        let list_is_new = self.listed.as_ref().is_none_or(|it| !Arc::ptr_eq(it, listed));
        if self.records_changed || list_is_new {
            self.listed = Some(Arc::clone(listed));
            self.records_changed = false;
            self.fleet = plan::compute(&PlanInput {
                objective: settings.control.objective,
                loads_at_once: settings.control.loads_at_once,
                config: &settings.config,
                records: &self.records,
                listed,
            });
        }
        let mut actions = Vec::new();
        for domain in self.controls.keys().cloned().collect::<Vec<_>>() {
            if list_is_new {
                let of_domain = listed.iter().filter(|it| it.domain == domain);
                let listed = Event::Listed(of_domain.cloned().collect());
                self.deliver(&domain, listed, settings, now);
            }
            self.poll(&domain, engines, settings, now);
            let found = self.deliver(&domain, Event::Tick, settings, now);
            actions.extend(found.into_iter().map(|it| (domain.clone(), it)));
        }
        if settings.checked && !self.cut_from_engines {
            for engine in engines {
                let Some(status) = engine.status() else { continue };
                let received = ReceivedReport { report: status.member, requested_at: now };
                self.reports.insert(engine.listed.id.clone(), received);
            }
        }
        actions
    }

    /// Members of a replica whose claims are still pending.
    pub fn pending_members(&self, domain: &FabricDomainId, replica: ReplicaId) -> Vec<Member> {
        let record = self.controls.get(domain).and_then(DomainControl::record);
        let spec = record.and_then(|it| it.replica(replica));
        spec.map(|it| it.members.clone()).unwrap_or_default()
    }

    fn poll(
        &mut self,
        domain: &FabricDomainId,
        engines: &[EngineModel],
        settings: &WorldSettings,
        now: Time,
    ) {
        if self.cut_from_engines {
            return;
        }
        let targets = self.controls.get(domain).map(DomainControl::poll_targets);
        for (instance, _) in targets.unwrap_or_default() {
            let place = engines.binary_search_by(|it| it.listed.id.cmp(&instance));
            let Some(status) = place.ok().and_then(|it| engines[it].status()) else { continue };
            self.deliver(domain, Event::Status(instance, status, now), settings, now);
        }
    }
}
