//! Task that controls one domain while this node owns it.

use std::{
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use citrongw_protocol::store::{
    Change, Expected, LeaseId, StoreError, StoreResult, Write, WriteResult,
};
use citrongw_state::{
    id::{AttemptId, AvailabilityZone, Epoch, Incarnation, InstanceId, ReplicaId, Revision},
    time::Time,
};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep, timeout},
};

use super::{
    campaign::listed_domains,
    lease::{self, RenewedLease},
    loads::WeightLoadBudget,
    ownership,
    plan::{DomainKey, DomainPlan},
    reports::Reports,
    step::{self, ControlState, Hosts, StepConfig},
    suspension::SuspensionDetector,
};
use crate::{
    adapter::{InstanceError, Order, OrderReply},
    gateway_config::EngineSpec,
    instance::InstanceReport,
    node::Gateway,
    peers::{
        ReplicaEpoch,
        message::{OpenReplica, PeerMessage},
    },
};

/// Interval between steps of a domain without new events.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a poll of an instance. Responses take milliseconds.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum number of attempts to acquire a domain again after the key-value service was
/// restored.
const MAX_ACQUIRE_ATTEMPTS: usize = 4;
/// Delay between these attempts.
const ACQUIRE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Result of a task that polled an instance or sent an order.
enum Outcome {
    Report {
        instance: InstanceId,
        incarnation: Incarnation,
        requested_at: Time,
        outcome: Result<InstanceReport, InstanceError>,
        /// Whether a failure is that of the instance and not of this gateway's links.
        is_confirmed: bool,
    },
    Order {
        instance: InstanceId,
        order: Order,
        outcome: Result<OrderReply, InstanceError>,
    },
}

/// Plan of a domain with the revision of the record that held it.
pub(super) type KnownPlan = (DomainPlan, Revision);

/// Controls one domain while this node owns it.
pub(super) struct DomainController {
    gateway: Arc<Gateway>,
    domain: DomainKey,
    lease: RenewedLease,
    plan: Option<(DomainPlan, Revision)>,
    /// Plan as last written or read, which the record may lack after the key-value service was
    /// restored.
    last_known: Option<KnownPlan>,
    /// Whether the domain had no plan when this node became the owner.
    is_new_domain: bool,
    control_state: ControlState,
    reports: Reports,
    load_budget: WeightLoadBudget,
    tasks: JoinSet<Outcome>,
    /// Replicas that gateways reported as suspected.
    suspects_rx: mpsc::Receiver<ReplicaEpoch>,
    /// Replicas that take requests, as last published to the other gateways.
    published_up: HashSet<ReplicaEpoch>,
    /// Zones of the domain's instances, as last listed.
    zones: BTreeSet<AvailabilityZone>,
    /// Whether the domain is in a zone under evacuation.
    is_evacuated: bool,
}

impl DomainController {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        domain: DomainKey,
        last_known: Option<KnownPlan>,
        lease: LeaseId,
        requested_at: Time,
    ) -> Self {
        let lease =
            lease::start_renewal(lease, &gateway.adapter.store, gateway.clock, requested_at);
        let suspects_rx = gateway.peers.register_domain(&domain);
        Self {
            gateway: Arc::clone(gateway),
            domain,
            lease,
            plan: None,
            last_known,
            is_new_domain: false,
            control_state: ControlState::default(),
            reports: Reports::default(),
            load_budget: WeightLoadBudget::open(gateway.clock.now(), 0.0),
            tasks: JoinSet::new(),
            suspects_rx,
            published_up: HashSet::new(),
            zones: BTreeSet::new(),
            is_evacuated: false,
        }
    }

    /// Controls the domain until the lease is lost or the gateway stops. Returns the last
    /// plan that this node knows.
    pub(super) async fn run(mut self) -> Option<KnownPlan> {
        let mut ticks = interval(STEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let era = self.gateway.era.clone();
        let mut suspension = SuspensionDetector::new(self.gateway.clock.now());
        loop {
            let changed = tokio::select! {
                _ = ticks.tick() => true,
                Some(replica) = self.suspects_rx.recv() => self.handle_suspect(replica),
                () = era.wait_after(self.lease.era()) => {
                    if !self.acquire_again().await {
                        break;
                    }
                    true
                }
                Some(done) = self.tasks.join_next(), if !self.tasks.is_empty() => match done {
                    Ok(outcome) => self.handle_outcome(outcome),
                    Err(error) => {
                        tracing::error!(domain = %self.domain, %error, "task of a domain failed");
                        false
                    }
                },
            };
            let now = self.gateway.clock.now();
            if suspension.was_suspended(now, STEP_INTERVAL) {
                tracing::warn!(domain = %self.domain, "process was suspended; failed polls of instances are reset");
                self.reports.reset_failures();
                if self.lease.renew_now().await.is_err() {
                    break;
                }
            }
            if !self.lease.is_valid() || self.must_hand_over() {
                break;
            }
            if self.gateway.links.is_cut() {
                continue;
            }
            if changed && let Err(error) = self.step().await {
                tracing::info!(domain = %self.domain, %error, "step of a domain failed; retrying");
                self.plan = None;
            }
        }
        self.gateway.peers.unregister_domain(&self.domain);
        tracing::info!(domain = %self.domain, node = %self.gateway.node, "released ownership of a domain");
        if self.must_hand_over() {
            // Ends the lease before it expires, so that another node takes over
            // sooner.
            match timeout(ORDER_TIMEOUT, self.lease.end()).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    tracing::info!(domain = %self.domain, %error, "could not end a lease");
                }
                Err(_) => tracing::info!(domain = %self.domain, "timed out ending a lease"),
            }
        }
        self.last_known
    }

    /// Whether another gateway should own the domain: this one stops, or does not reach
    /// the instances.
    fn must_hand_over(&self) -> bool {
        let is_cut = self.gateway.links.is_cut();
        self.gateway.is_stopping() || (is_cut && self.gateway.peers.has_others())
    }

    /// Acquires the domain again after the key-value service was restored from a
    /// backup, which may lack the lease and the last changes of the record. False if another node
    /// owns the domain.
    async fn acquire_again(&mut self) -> bool {
        let gateway = Arc::clone(&self.gateway);
        for _ in 0..MAX_ACQUIRE_ATTEMPTS {
            let requested_at = gateway.clock.now();
            let store = &gateway.adapter.store;
            match ownership::acquire(&**store, &self.domain, gateway.node).await {
                Ok(Some(lease)) => {
                    tracing::info!(domain = %self.domain, era = lease.era.0, "acquired a domain again in a new era");
                    self.lease = lease::start_renewal(lease, store, gateway.clock, requested_at);
                    self.plan = None;
                    return true;
                }
                Ok(None) => return false,
                Err(error) => {
                    tracing::info!(domain = %self.domain, %error, "could not acquire a domain again");
                    sleep(ACQUIRE_RETRY_DELAY).await;
                }
            }
        }
        false
    }

    /// Records the outcome of a task. True if a step is due.
    fn handle_outcome(&mut self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Report { instance, incarnation, requested_at, outcome, is_confirmed } => {
                if let Err(error) = &outcome {
                    tracing::info!(domain = %self.domain, %instance, %error, is_confirmed, "poll of an instance failed");
                }
                if !is_confirmed {
                    self.reports.add_unconfirmed(&instance, incarnation);
                    return false;
                }
                self.reports.add(&instance, incarnation, requested_at, outcome)
            }
            Outcome::Order { instance, order, outcome } => {
                match &outcome {
                    Ok(reply) => {
                        tracing::info!(domain = %self.domain, %instance, %order, %reply, "order response received");
                    }
                    Err(error) => {
                        tracing::info!(domain = %self.domain, %instance, %order, %error, "order failed");
                    }
                }
                match (order, outcome) {
                    (
                        Order::Leave { replica, epoch },
                        Ok(OrderReply::Begun | OrderReply::Done | OrderReply::InvalidState),
                    ) => self.control_state.add_released(replica, epoch),
                    (Order::Open { replica, epoch }, Ok(OrderReply::Begun | OrderReply::Done)) => {
                        let opens_at = self.gateway.clock.now() + self.open_time();
                        self.control_state.add_opening(replica, epoch, opens_at);
                    }
                    (Order::Join { replica, epoch, .. }, Ok(OrderReply::OldEpoch)) => {
                        self.control_state.add_refused(&instance, replica, epoch);
                    }
                    (Order::Stage { .. }, Ok(OrderReply::Begun | OrderReply::Done)) => {
                        return false;
                    }
                    (Order::Stage { .. }, reply) => {
                        let is_refused = matches!(
                            reply,
                            Ok(OrderReply::InvalidState) | Err(InstanceError::InvalidResponse)
                        );
                        self.control_state.cancel_staging(&instance, is_refused);
                    }
                    _ => return false,
                }
                true
            }
        }
    }

    /// Time from an `Open` order until the head takes requests.
    fn open_time(&self) -> Duration {
        let gateway_config = self.gateway.routing.active_config.load();
        let service = gateway_config.as_ref().and_then(|it| it.services.get(&self.domain.service));
        let engine = service.and_then(|it| it.engine.as_ref());
        engine.map_or(Duration::ZERO, |it| it.open_time)
    }

    async fn step(&mut self) -> StoreResult<()> {
        let gateway = Arc::clone(&self.gateway);
        let Some(gateway_config) = gateway.routing.active_config.load_full() else { return Ok(()) };
        let service = gateway_config.services.get(&self.domain.service);
        let Some(engine) = service.and_then(|it| it.engine.as_ref()) else { return Ok(()) };
        if self.plan.is_none() {
            self.plan = Some(self.read_plan().await?);
        }
        let now = gateway.clock.now();
        let plan = self.plan.as_ref().map(|(plan, _)| plan);
        let mut hosts = self.reports.hosts(&gateway.routing.instances.load(), &self.domain, plan);
        let departures = gateway.departures.load();
        for host in hosts.values_mut() {
            host.leaving |= departures.contains(&host.id, host.incarnation);
        }
        gateway.routing.cold.mark_hosts(hosts.values_mut());
        self.poll_due(&hosts, now);
        self.update_evacuated();
        let config = StepConfig {
            engine,
            stall_time: gateway.settings.stall_time,
            is_evacuated: self.is_evacuated,
        };
        let Some((plan, revision)) = &self.plan else { return Ok(()) };
        let new_replica_id = || ReplicaId(rand::random::<u32>().into());
        let next =
            step::next_plan(plan, &hosts, &config, &mut self.control_state, now, new_replica_id);
        if let Some(next) = next {
            let revision = self.write_plan(next, Some(*revision)).await?;
            tracing::info!(domain = %self.domain, revision = revision.number, "record of a domain changed");
        }
        let now = gateway.clock.now();
        // The lease may have expired during the write.
        if !self.lease.is_valid() {
            return Ok(());
        }
        self.publish_changes(&hosts);
        self.send_orders(engine, &hosts, &config, now);
        Ok(())
    }

    /// Determines whether any instance of the domain is in a zone under evacuation. A
    /// domain of which none is listed any more is in the zones where it was.
    fn update_evacuated(&mut self) {
        let listed = self.gateway.routing.instances.load();
        let entries = listed.instances.values().map(|it| &it.entry);
        let zones: BTreeSet<AvailabilityZone> = entries
            .filter(|it| it.domain.as_ref() == Some(&self.domain.domain))
            .filter(|it| it.service == self.domain.service)
            .map(|it| it.zone.clone())
            .collect();
        if !zones.is_empty() {
            self.zones = zones;
        }
        let evacuated = self.gateway.routing.evacuations.zones();
        // A gateway that has just started may not know the evacuations yet.
        let is_evacuated =
            !self.gateway.knows_evacuations() || self.zones.iter().any(|it| evacuated.contains(it));
        if is_evacuated != self.is_evacuated {
            self.is_evacuated = is_evacuated;
            let revision = evacuated.revision.number;
            if is_evacuated {
                tracing::info!(domain = %self.domain, revision, "control of an evacuated domain is suspended");
            } else {
                tracing::info!(domain = %self.domain, revision, "control of a domain continues");
            }
        }
    }

    /// Polls the members of a suspected replica at once. True if at least one
    /// poll is due.
    fn handle_suspect(&mut self, (replica, epoch): ReplicaEpoch) -> bool {
        let Some((plan, _)) = &self.plan else { return false };
        let suspected = plan.replicas.iter().find(|it| (it.id, it.epoch) == (replica, epoch));
        let Some(suspected) = suspected else { return false };
        let now = self.gateway.clock.now();
        let members = suspected.members.iter();
        let requested = members
            .filter(|it| self.reports.request_poll(&it.instance, it.incarnation, now))
            .count();
        if 0 < requested {
            tracing::info!(domain = %self.domain, %replica, %epoch, "replica is suspected");
        }
        0 < requested
    }

    /// Publishes which replicas began or ceased to take requests to the other
    /// gateways.
    fn publish_changes(&mut self, hosts: &Hosts) {
        let Some((plan, _)) = &self.plan else { return };
        let up = step::serving(plan, hosts, &self.control_state, self.gateway.clock.now());
        let mut messages = Vec::new();
        for replica in plan.replicas.iter().filter(|it| up.contains(&(it.id, it.epoch))) {
            if self.published_up.contains(&(replica.id, replica.epoch)) {
                continue;
            }
            let Some(head) = replica.head() else { continue };
            messages.push(PeerMessage::Up(OpenReplica {
                service: self.domain.service.clone(),
                model: replica.model.clone(),
                replica: replica.id,
                epoch: replica.epoch,
                head: head.instance.clone(),
            }));
        }
        for (replica, epoch) in self.published_up.difference(&up) {
            messages.push(PeerMessage::Down { replica: *replica, epoch: *epoch });
        }
        self.published_up = up;
        for message in messages {
            tracing::info!(domain = %self.domain, change = ?message, "replica changed");
            self.gateway.routing.apply_message(&message, self.gateway.clock.now());
            let peers = Arc::clone(&self.gateway.peers);
            tokio::spawn(async move { peers.broadcast(&message).await });
        }
    }

    fn send_orders(
        &mut self,
        engine: &EngineSpec,
        hosts: &Hosts,
        config: &StepConfig<'_>,
        now: Time,
    ) {
        let Some((plan, _)) = &self.plan else { return };
        let domains = listed_domains(&self.gateway).len().max(1);
        let unlimited = self.is_new_domain && !self.gateway.routing.has_traffic();
        self.load_budget.refill(now, engine.loads_per_s / domains as f64, unlimited);
        let due =
            step::orders(plan, hosts, config, &mut self.control_state, &mut self.load_budget, now);
        for (instance, addr, order) in due {
            let gateway = Arc::clone(&self.gateway);
            self.tasks.spawn(async move {
                let call = gateway.adapter.instances.order(addr, order.clone());
                let outcome = timeout(ORDER_TIMEOUT, call).await;
                let outcome = outcome.unwrap_or(Err(InstanceError::NoResponse));
                Outcome::Order { instance, order, outcome }
            });
        }
    }

    /// Polls the instances that are due.
    fn poll_due(&mut self, hosts: &Hosts, now: Time) {
        let plan = self.plan.as_ref().map(|(plan, _)| plan);
        for host in self.reports.due(hosts, plan, now) {
            let gateway = Arc::clone(&self.gateway);
            self.tasks.spawn(async move {
                let call = gateway.adapter.instances.report(host.addr);
                let outcome = timeout(POLL_TIMEOUT, call).await;
                let outcome = outcome.unwrap_or(Err(InstanceError::NoResponse));
                let (instance, incarnation) = (host.id, host.incarnation);
                let is_confirmed = match outcome {
                    Ok(_) | Err(InstanceError::InvalidResponse) => {
                        gateway.links.record_heard();
                        true
                    }
                    Err(InstanceError::NotReached | InstanceError::NoResponse) => {
                        gateway.links.confirm_silence(&instance, now).await
                    }
                };
                Outcome::Report { instance, incarnation, requested_at: now, outcome, is_confirmed }
            });
        }
    }

    /// Reads the plan, and writes it with this node as the owner if it names
    /// another.
    async fn read_plan(&mut self) -> StoreResult<(DomainPlan, Revision)> {
        let store = &self.gateway.adapter.store;
        let read = store.get(self.domain.plan_key()).await?;
        let era = read.revision.era;
        let (mut plan, revision) = match read.into_entry() {
            Some(entry) => {
                let stored: DomainPlan = serde_json::from_slice(&entry.value).map_err(|error| {
                    StoreError::Refused { reason: format!("record cannot be read: {error}") }
                })?;
                (stored, Some(entry.revision))
            }
            None => (DomainPlan::default(), None),
        };
        self.control_state.add_read(&plan, era);
        if let Some((known, known_at)) = self.last_known.clone()
            && known_at.era < era
            && plan.epoch <= known.epoch
        {
            let mut known = known;
            self.control_state.add_read(&known, era);
            known.reserve_epochs(self.control_state.epoch_floor());
            let revision = self.write_plan(known.clone(), revision).await?;
            tracing::info!(
                domain = %self.domain, epoch = %known.epoch, stored = %plan.epoch, revision = revision.number,
                "record of a domain restored"
            );
            return Ok((known, revision));
        }
        if plan.owner == self.gateway.node
            && let Some(revision) = revision
        {
            self.last_known = Some((plan.clone(), revision));
            return Ok((plan, revision));
        }
        self.is_new_domain = plan.epoch == Epoch::default();
        plan.owner = self.gateway.node;
        plan.reserve_epochs(self.control_state.epoch_floor());
        let revision = self.write_plan(plan.clone(), revision).await?;
        Ok((plan, revision))
    }

    /// Writes the plan if it is unchanged since it was last read. A write without
    /// a response is an error; the plan is read again before the next step.
    async fn write_plan(
        &mut self,
        mut plan: DomainPlan,
        expected: Option<Revision>,
    ) -> StoreResult<Revision> {
        plan.attempt = AttemptId(rand::random());
        let value = serde_json::to_vec(&plan)
            .map_err(|error| StoreError::Refused { reason: error.to_string() })?;
        let write = Write {
            key: self.domain.plan_key(),
            expected: expected.map_or(Expected::Absent, Expected::Revision),
            change: Change::Put(Bytes::from(value)),
            lease: None,
        };
        match self.gateway.adapter.store.compare_and_swap(write).await? {
            WriteResult::Committed(revision) => {
                self.last_known = Some((plan.clone(), revision));
                self.plan = Some((plan, revision));
                Ok(revision)
            }
            WriteResult::Conflict(_) => {
                let reason = "record was changed by another node".to_owned();
                Err(StoreError::Refused { reason })
            }
        }
    }
}
