//! Driver of the controls of all domains that this node owns or is to own: it
//! passes events to them and executes their actions.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use citrongw_protocol::{
    decision::Decision, engine::Engine, instance_list::ListedInstance, store::Store,
};
use citrongw_state::{
    id::{FabricDomainId, InstanceId, NodeId},
    ownership,
    self_suspicion::SelfSuspicion,
};
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::{
    task::JoinHandle,
    time::{Instant, MissedTickBehavior},
};

use super::{
    call::{ActionExecutor, CallOutcome, PendingCall},
    context::{Context, ControlSettings, FleetPlan},
    domain::{self, Action, DomainControl, Event},
    plan::{self, PlanInput, Records},
    summary::{self, ControlView},
};
use crate::{
    clock::Clock,
    config::{ConfigCell, VersionedConfig},
    decision_log::DecisionLog,
    gossip_bus::GossipBus,
    instance_watch::InstancesCell,
    node_view::NodeView,
    record_watch::RecordsCell,
};

/// Interval between two ticks.
const TICK: Duration = Duration::from_millis(250);
/// Minimum interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Inputs and outputs of the driver.
pub struct ControlDriver {
    /// Settings of replica control.
    pub settings: ControlSettings,
    /// Client of the key-value service.
    pub store: Arc<dyn Store>,
    /// Client of the engines.
    pub engine: Arc<dyn Engine>,
    /// Configuration in force.
    pub config: Arc<ConfigCell>,
    /// Latest instance list of the platform.
    pub instances: Arc<InstancesCell>,
    /// Latest domain records.
    pub records: Arc<RecordsCell>,
    /// Publishes updates to the other nodes.
    pub gossip: Arc<GossipBus>,
    /// View of the live nodes.
    pub nodes: Arc<NodeView>,
    /// Log of control decisions.
    pub decisions: Arc<DecisionLog>,
    /// Summary of all replicas for operators.
    pub view: Arc<ControlView>,
    /// Clock of the node.
    pub clock: Clock,
}

/// Spawns the driver.
pub fn spawn(driver: ControlDriver) -> JoinHandle<()> {
    tokio::spawn(new_driver(driver).run())
}

struct RunningDriver {
    driver: ControlDriver,
    executor: ActionExecutor,
    controls: BTreeMap<FabricDomainId, DomainControl>,
    calls: FuturesUnordered<PendingCall>,
    fleet: FleetPlan,
    planned_at: Option<Instant>,
    planned_inputs: Inputs,
    sent_list: Option<Arc<Vec<ListedInstance>>>,
    self_suspicion: SelfSuspicion,
    polls_in_flight: BTreeSet<InstanceId>,
}

/// Inputs of a plan, compared to detect that the plan is stale.
#[derive(Default)]
struct Inputs {
    records: Option<Arc<Records>>,
    instances: Option<Arc<Vec<ListedInstance>>>,
    config: Option<Arc<VersionedConfig>>,
}

fn new_driver(driver: ControlDriver) -> RunningDriver {
    let executor = ActionExecutor {
        store: Arc::clone(&driver.store),
        engine: Arc::clone(&driver.engine),
        clock: driver.clock,
    };
    RunningDriver {
        driver,
        executor,
        controls: BTreeMap::new(),
        calls: FuturesUnordered::new(),
        fleet: FleetPlan::default(),
        planned_at: None,
        planned_inputs: Inputs::default(),
        sent_list: None,
        self_suspicion: SelfSuspicion::default(),
        polls_in_flight: BTreeSet::new(),
    }
}

impl RunningDriver {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let records = Arc::clone(&self.driver.records);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                () = records.changed() => self.refresh(),
                Some((domain, outcome)) = self.calls.next() => self.handle_outcome(&domain, outcome),
            }
        }
    }

    fn tick(&mut self) {
        let now = self.driver.clock.now();
        self.self_suspicion.record_alive(self.driver.nodes.alive().len(), now);
        self.refresh();
        self.send_instance_list();
        for domain in self.domains() {
            self.step(&domain, Event::Tick);
            self.poll_instances(&domain);
        }
        let now = self.driver.clock.now();
        summary::refresh(
            &self.driver.view,
            &self.driver.records.records(),
            &self.driver.instances,
            now,
        );
    }

    /// Updates the set of controlled domains, the plan, and the record in each
    /// control.
    fn refresh(&mut self) {
        let records = self.driver.records.records();
        self.update_domains(&records);
        self.plan(&records);
        for domain in self.domains() {
            let Some((record, revision)) = records.get(&domain) else { continue };
            let event = Event::RecordReceived(Arc::clone(record), *revision);
            self.step(&domain, event);
        }
    }

    fn domains(&self) -> Vec<FabricDomainId> {
        self.controls.keys().cloned().collect()
    }

    /// Keeps a control for each domain that this node owns or is to own.
    fn update_domains(&mut self, records: &Records) {
        let this = self.driver.nodes.this().id;
        let alive = self.alive();
        let instances = self.driver.instances.load_full();
        let listed = instances.iter().flat_map(|it| it.iter()).map(|it| &it.domain);
        let known: BTreeSet<&FabricDomainId> = listed.chain(records.keys()).collect();
        let is_own = |domain: &FabricDomainId| {
            let owner = records.get(domain).and_then(|(record, _)| record.owner);
            owner == Some(this) || ownership::domain_owner(domain, &alive) == Some(this)
        };
        let own: BTreeSet<&FabricDomainId> = known.into_iter().filter(|it| is_own(it)).collect();
        self.controls.retain(|domain, control| own.contains(domain) || control.has_open_write());
        for domain in own {
            if !self.controls.contains_key(domain) {
                let settings = self.driver.settings;
                let control = domain::open(domain.clone(), this, settings, rand::random());
                self.controls.insert(domain.clone(), control);
                self.sent_list = None;
            }
        }
    }

    /// Recomputes the plan if any of its inputs has changed.
    fn plan(&mut self, records: &Arc<Records>) {
        let instances = self.driver.instances.load_full();
        let Some(config) = self.driver.config.load_full() else { return };
        let from = Inputs {
            records: Some(Arc::clone(records)),
            instances,
            config: Some(Arc::clone(&config)),
        };
        let early = self.planned_at.is_some_and(|it| it.elapsed() < PLAN_INTERVAL);
        if self.controls.is_empty() || early || from.is_same(&self.planned_inputs) {
            return;
        }
        let Some(listed) = &from.instances else { return };
        self.fleet = plan::compute(&PlanInput {
            objective: self.driver.settings.objective,
            loads_at_once: self.driver.settings.loads_at_once,
            config: &config.config,
            records,
            listed,
        });
        self.planned_at = Some(Instant::now());
        self.planned_inputs = from;
    }

    fn send_instance_list(&mut self) {
        let Some(instances) = self.driver.instances.load_full() else { return };
        if self.sent_list.as_ref().is_some_and(|it| Arc::ptr_eq(it, &instances)) {
            return;
        }
        for domain in self.domains() {
            let of_domain = instances.iter().filter(|it| it.domain == domain);
            let listed = of_domain.cloned().collect();
            self.step(&domain, Event::Listed(listed));
        }
        self.sent_list = Some(instances);
    }

    fn poll_instances(&mut self, domain: &FabricDomainId) {
        let Some(control) = self.controls.get(domain) else { return };
        for (instance, addr) in control.poll_targets() {
            if self.polls_in_flight.insert(instance.clone()) {
                self.calls.push(self.executor.poll_status(domain.clone(), instance, addr));
            }
        }
    }

    fn handle_outcome(&mut self, domain: &FabricDomainId, outcome: CallOutcome) {
        let event = match outcome {
            CallOutcome::Event(event) => event,
            CallOutcome::Status(instance, status) => {
                self.polls_in_flight.remove(&instance);
                let Some((status, requested_at)) = status else { return };
                Event::Status(instance, status, requested_at)
            }
            CallOutcome::NoEvent => return,
        };
        if matches!(event, Event::Read(_) | Event::Written(..)) {
            self.self_suspicion.record_store_response(self.driver.clock.now());
        }
        self.step(domain, event);
    }

    fn step(&mut self, domain: &FabricDomainId, event: Event) {
        let now = self.driver.clock.now();
        let alive = self.alive();
        let config = self.driver.config.load_full();
        let deployments = config.as_ref().map(|it| it.config.deployments.as_slice());
        let ctx = Context {
            alive: &alive,
            is_view_suspect: self.self_suspicion.suspects_self(),
            deployments: deployments.unwrap_or_default(),
            fleet: &self.fleet,
        };
        let Some(control) = self.controls.get_mut(domain) else { return };
        let before = control.record_revision();
        let actions = control.step(&ctx, event, now);
        if control.record_revision() != before
            && let (Some(record), Some(revision)) = (control.record(), control.record_revision())
        {
            self.driver.records.update(domain, record, revision);
        }
        for action in actions {
            self.act(domain, action);
        }
    }

    fn act(&mut self, domain: &FabricDomainId, action: Action) {
        match action {
            Action::Publish(item) => self.driver.gossip.publish(item),
            Action::LogDecision(decision) => {
                tracing::info!(%decision, "decided");
                self.driver.decisions.add(Decision::Control(decision));
            }
            call => self.calls.extend(self.executor.call(domain.clone(), call)),
        }
    }

    fn alive(&self) -> Vec<NodeId> {
        self.driver.nodes.alive().iter().map(|it| it.id).collect()
    }
}

impl Inputs {
    fn is_same(&self, other: &Self) -> bool {
        fn same<T>(a: Option<&Arc<T>>, b: Option<&Arc<T>>) -> bool {
            match (a, b) {
                (Some(a), Some(b)) => Arc::ptr_eq(a, b),
                (None, None) => true,
                _ => false,
            }
        }
        same(self.records.as_ref(), other.records.as_ref())
            && same(self.instances.as_ref(), other.instances.as_ref())
            && same(self.config.as_ref(), other.config.as_ref())
    }
}
