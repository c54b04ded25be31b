//! The policy "rebuild on first fit" on the same trace and engines.
//!
//! It has immediate global knowledge, no coordination cost and no outages, so
//! that only its decisions are compared.

use std::time::Duration;

use citrongw_protocol::{
    engine::{Order, OrderKind},
    instance_list::InstanceState,
};
use citrongw_state::{
    config::Deployment,
    id::{Epoch, ReplicaId},
    replica::{Member, ReplicaSpec},
    time::Time,
};

use super::{DOMAINS, DURATION, INSTANCES, WARM_UP, config, engines, trace};
use crate::control_world::{
    engine::{self, EngineModel, Loads, NextEnd},
    fault::Fault,
    measure::Measures,
};

/// Interval between two polls of the instances.
const TICK: Duration = Duration::from_secs(1);

struct Baseline {
    engines: Vec<EngineModel>,
    loads: Loads,
    next_end: NextEnd,
    specs: Vec<ReplicaSpec>,
    unanswered_polls: Vec<u32>,
    epoch: u64,
    measures: Measures,
    now: Time,
}

/// Replays the trace with the baseline policy.
pub fn replay() -> Measures {
    let engines = engines(DOMAINS, INSTANCES);
    let mut baseline = Baseline {
        unanswered_polls: vec![0; engines.len()],
        engines,
        loads: engine::loads(super::WEIGHT_RATE_BYTES_PER_S),
        next_end: None,
        specs: Vec::new(),
        epoch: 0,
        measures: Measures::default(),
        now: Time::START,
    };
    let mut events = trace::read().into_iter().peekable();
    let end = Time::START + WARM_UP + DURATION;
    while baseline.now < end {
        let next = baseline.now + TICK;
        baseline.advance(next);
        if next <= Time::START + WARM_UP {
            baseline.measures = Measures::default();
        }
        let due = |at_ms: u64| Time::START + WARM_UP + Duration::from_millis(at_ms) <= next;
        while let Some(event) = events.next_if(|it| due(it.at_ms)) {
            baseline.fail(&event.fault);
        }
        baseline.decide();
    }
    baseline.measures
}

impl Baseline {
    /// Advances time to `until` and completes the loads that end before.
    fn advance(&mut self, until: Time) {
        while let Some((at, generation)) = self.next_end.filter(|it| it.0 <= until) {
            self.measure(at);
            let Some((done, next)) = self.loads.finish(generation, at) else { break };
            for place in done {
                self.engines[place].orders.finish_load();
            }
            self.next_end = next;
        }
        self.measure(until);
    }

    fn measure(&mut self, at: Time) {
        let specs: Vec<&ReplicaSpec> = self.specs.iter().collect();
        self.measures.add_specs(&config(), &specs, &self.engines, at.since(self.now));
        self.now = at;
    }

    fn fail(&mut self, fault: &Fault) {
        let place = match fault {
            Fault::Die(place) => {
                self.engines[*place].up = false;
                *place
            }
            Fault::Restart(place) | Fault::Relist(place) => {
                self.engines[*place].listed.state = InstanceState::Live;
                self.engines[*place].restart();
                *place
            }
            Fault::Pause(place) => {
                self.engines[*place].paused = true;
                *place
            }
            Fault::Resume(place) => {
                self.engines[*place].paused = false;
                *place
            }
            Fault::Leave(place) => {
                self.engines[*place].listed.state = InstanceState::Leaving;
                return;
            }
            _ => return,
        };
        self.update_load(place);
    }

    fn decide(&mut self) {
        for (place, unanswered_polls) in self.unanswered_polls.iter_mut().enumerate() {
            *unanswered_polls =
                if self.engines[place].is_responsive() { 0 } else { *unanswered_polls + 1 };
        }
        let broken: Vec<usize> =
            (0..self.specs.len()).filter(|idx| self.is_broken(&self.specs[*idx])).collect();
        for idx in broken.into_iter().rev() {
            let spec = self.specs.remove(idx);
            for member in &spec.members {
                self.order(self.place(member), OrderKind::Release);
            }
        }
        // An instance that resumes after a pause still has its old replica
        // loaded.
        for place in 0..self.engines.len() {
            let replica = self.engines[place].orders.report.replica;
            if replica.is_some() && !self.is_member(place) {
                self.order(place, OrderKind::Release);
            }
        }
        for deployment in config().deployments {
            while self.count(&deployment) < deployment.replicas as usize {
                if !self.form(&deployment) {
                    break;
                }
            }
        }
    }

    fn is_broken(&self, spec: &ReplicaSpec) -> bool {
        /// Consecutive polls without a response after which a member is
        /// considered lost.
        const LOST_AFTER: u32 = 2;
        spec.members.iter().any(|member| {
            let place = self.place(member);
            let engine = &self.engines[place];
            LOST_AFTER <= self.unanswered_polls[place]
                || engine.orders.report.incarnation != member.incarnation
                || engine.listed.state == InstanceState::Leaving
        })
    }

    fn form(&mut self, deployment: &Deployment) -> bool {
        let needed = deployment.instances_per_replica as usize;
        let free: Vec<usize> = (0..self.engines.len()).filter(|it| self.is_free(*it)).collect();
        let whole =
            free.chunk_by(|a, b| self.engines[*a].listed.domain == self.engines[*b].listed.domain);
        let fitting = whole.into_iter().find(|it| needed <= it.len()).unwrap_or(&free);
        if fitting.len() < needed {
            return false;
        }
        self.epoch += 1;
        let places = fitting[..needed].to_vec();
        let spec = self.spec(deployment, &places);
        for place in places {
            let kind = OrderKind::Load {
                replica: spec.id,
                model: spec.model.clone(),
                version: spec.version.clone(),
                adapters: Vec::new(),
                members: Vec::new(),
            };
            self.order(place, kind);
        }
        self.specs.push(spec);
        true
    }

    fn spec(&self, deployment: &Deployment, places: &[usize]) -> ReplicaSpec {
        let first = &self.engines[places[0]].listed;
        let member = |place: &usize| Member {
            instance: self.engines[*place].listed.id.clone(),
            incarnation: self.engines[*place].orders.report.incarnation,
            engine_addr: self.engines[*place].listed.engine_addr,
        };
        ReplicaSpec {
            id: ReplicaId(self.epoch),
            epoch: Epoch(self.epoch),
            deployment: deployment.id.clone(),
            model: deployment.model.clone(),
            version: deployment.version.clone(),
            adapters: Vec::new(),
            domain: first.domain.clone(),
            zone: first.zone.clone(),
            members: places.iter().map(member).collect(),
        }
    }

    fn is_free(&self, place: usize) -> bool {
        let engine = &self.engines[place];
        engine.is_responsive()
            && engine.listed.state == InstanceState::Live
            && engine.orders.report.replica.is_none()
    }

    fn is_member(&self, place: usize) -> bool {
        let id = &self.engines[place].listed.id;
        self.specs.iter().any(|spec| spec.members.iter().any(|it| it.instance == *id))
    }

    fn count(&self, deployment: &Deployment) -> usize {
        self.specs.iter().filter(|it| it.deployment == deployment.id).count()
    }

    fn place(&self, member: &Member) -> usize {
        let place = self.engines.binary_search_by(|it| it.listed.id.cmp(&member.instance));
        place.unwrap_or_default()
    }

    fn order(&mut self, place: usize, kind: OrderKind) {
        let engine = &mut self.engines[place];
        if !engine.is_responsive() {
            return;
        }
        let incarnation = engine.orders.report.incarnation;
        let order = Order { epoch: Epoch(self.epoch), incarnation, kind };
        engine.orders.execute(&order);
        self.update_load(place);
    }

    fn update_load(&mut self, place: usize) {
        let engine = &self.engines[place];
        let report = engine.orders.report;
        let next = if engine.is_responsive() && report.replica.is_some() && !report.ready {
            let weights = engine.orders.weights.clone();
            self.loads.begin(place, weights, super::WEIGHT_BYTES, self.now)
        } else {
            self.loads.end(place, self.now)
        };
        self.next_end = next.or(self.next_end);
    }
}
