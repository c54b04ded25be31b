//! Simulated domain whose instances carry out orders at once.

use std::net::SocketAddr;

use citrongw_state::id::{Incarnation, InstanceId};

use super::*;
use crate::testing::{engine, model};

/// Simulated domain whose instances carry out orders at once.
pub(super) struct TestDomain {
    pub(super) hosts: Hosts,
    pub(super) plan: DomainPlan,
    pub(super) control_state: ControlState,
    pub(super) budget: WeightLoadBudget,
    pub(super) engine: EngineSpec,
    pub(super) now: Time,
    pub(super) next_replica: u64,
    /// Whether requests have arrived, so that loads take their full time and are
    /// limited.
    pub(super) has_traffic: bool,
    /// Whether the zone of the domain is under evacuation.
    pub(super) is_evacuated: bool,
    /// Loads in progress, and when each is done.
    staging: Vec<(InstanceId, ModelId, Time)>,
    /// Loads that belong to a join, which the next join ends.
    joining: Vec<(InstanceId, ModelId, Time)>,
    /// Orders in the order in which they were sent.
    pub(super) sent: Vec<(String, Order)>,
}

/// Duration of a load.
pub(super) const LOAD: Duration = Duration::from_secs(16);
pub(super) const STALL: Duration = Duration::from_secs(6);

pub(super) fn open(hosts: usize) -> TestDomain {
    let mut domain = TestDomain {
        hosts: Hosts::new(),
        plan: DomainPlan::default(),
        control_state: ControlState::default(),
        budget: WeightLoadBudget::open(Time::START, 100.0),
        engine: engine(vec![model("l", 3, 1.0, 0.7), model("s", 2, 1.0, 0.3)]),
        now: Time::START,
        next_replica: 1,
        has_traffic: false,
        is_evacuated: false,
        staging: Vec::new(),
        joining: Vec::new(),
        sent: Vec::new(),
    };
    for idx in 0..hosts {
        domain.add_host(&format!("h{idx}"), 1);
    }
    domain
}

impl TestDomain {
    pub(super) fn add_host(&mut self, id: &str, incarnation: u64) {
        let host = Host {
            id: id.into(),
            incarnation: Incarnation(incarnation),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            liveness: Liveness::Alive,
            leaving: false,
            is_listed: true,
            is_cold: false,
            staged: Vec::new(),
            membership: None,
        };
        self.hosts.insert(host.id.clone(), host);
    }

    pub(super) fn host(&mut self, id: &str) -> &mut Host {
        self.hosts.get_mut(&InstanceId::from(id)).unwrap()
    }

    pub(super) fn step(&mut self) {
        self.end_loads();
        let config =
            StepConfig { engine: &self.engine, stall_time: STALL, is_evacuated: self.is_evacuated };
        let next_replica = &mut self.next_replica;
        let new_replica_id = || {
            *next_replica += 1;
            ReplicaId(*next_replica)
        };
        let (control_state, now) = (&mut self.control_state, self.now);
        if let Some(next) =
            next_plan(&self.plan, &self.hosts, &config, control_state, now, new_replica_id)
        {
            self.plan = next;
        }
        self.budget.refill(self.now, 100.0, !self.has_traffic);
        let due = orders(&self.plan, &self.hosts, &config, control_state, &mut self.budget, now);
        for (id, _, order) in due {
            if let Order::Join { epoch, .. } = &order {
                assert!(*epoch <= self.plan.epoch, "{order} is in no record: {:?}", self.plan);
            }
            self.carry_out(id.as_str(), &order);
            self.sent.push((id.to_string(), order));
        }
        self.now = self.now + Duration::from_millis(1_300);
    }

    pub(super) fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    fn end_loads(&mut self) {
        let now = self.now;
        let is_done = |(_, _, at): &(InstanceId, ModelId, Time)| *at <= now;
        let (mut done, staging): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.staging).into_iter().partition(is_done);
        self.staging = staging;
        let (joined, joining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.joining).into_iter().partition(is_done);
        self.joining = joining;
        done.extend(joined);
        for (id, model, _) in done {
            let Some(host) = self.hosts.get_mut(&id) else { continue };
            host.staged = vec![model];
            if let Some(membership) = &mut host.membership {
                membership.state = MemberState::Ready;
            }
        }
    }

    fn carry_out(&mut self, id: &str, order: &Order) {
        let has_traffic = self.has_traffic;
        let host = self.host(id);
        if host.liveness != Liveness::Alive {
            return;
        }
        match order.clone() {
            Order::Stage { model } => {
                self.staging.push((id.into(), model, self.now + LOAD));
            }
            Order::Join { replica, epoch, model, members } => {
                let rank = members.iter().position(|it| *it == host.id).unwrap();
                let is_staged = !has_traffic || host.staged.contains(&model);
                let state = if is_staged { MemberState::Ready } else { MemberState::Joining };
                host.membership = Some(Membership { replica: Some(replica), epoch, rank, state });
                if !has_traffic {
                    host.staged = vec![model];
                    return;
                }
                self.joining.retain(|(joining, _, _)| joining.as_str() != id);
                if !is_staged {
                    self.joining.push((id.into(), model, self.now + LOAD));
                }
            }
            Order::Open { replica, epoch } => host.set_state(replica, epoch, MemberState::Open),
            Order::Close { replica, epoch } => host.set_state(replica, epoch, MemberState::Closing),
            Order::Leave { replica, epoch } => {
                if host.membership.is_some_and(|it| it.matches(replica, epoch)) {
                    host.membership = None;
                }
                self.control_state.add_released(replica, epoch);
            }
        }
    }

    /// Models of the replicas whose head is open and whose members all report the
    /// planned epoch and rank.
    pub(super) fn open_models(&self) -> Vec<String> {
        let is_whole = |replica: &&PlannedReplica| {
            replica.members.iter().enumerate().all(|(rank, member)| {
                find_host(&self.hosts, member).is_some_and(|host| {
                    host.is_alive()
                        && host.membership.is_some_and(|it| {
                            it.matches(replica.id, replica.epoch)
                                && it.rank == rank
                                && (rank != 0 || it.state == MemberState::Open)
                        })
                })
            })
        };
        let mut models: Vec<String> =
            self.plan.replicas.iter().filter(is_whole).map(|it| it.model.to_string()).collect();
        models.sort();
        models
    }

    pub(super) fn spares(&self) -> Vec<&Host> {
        self.hosts.values().filter(|it| !self.plan.contains(&it.id)).collect()
    }

    pub(super) fn members(&self, model: &str) -> Vec<String> {
        let replica = self.plan.replicas.iter().find(|it| it.model.as_str() == model).unwrap();
        replica.members.iter().map(|it| it.instance.to_string()).collect()
    }
}

impl Host {
    fn set_state(&mut self, replica: ReplicaId, epoch: Epoch, state: MemberState) {
        if let Some(membership) = &mut self.membership
            && membership.matches(replica, epoch)
        {
            membership.state = state;
        }
    }
}
