//! The policy "rebuild on first fit" over the same trace and engines.
//!
//! It knows everything at once, pays nothing for agreement and has no outages:
//! only its decisions are compared.

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

use super::{DOMAINS, INSTANCES, LENGTH, WARM_UP, config, engines, trace};
use crate::control_world::{
    engine::{self, EngineModel, Loads, NextEnd},
    fault::Fault,
    measure::Measures,
};

/// Pause between two looks at the instances.
const TICK: Duration = Duration::from_secs(1);

struct Baseline {
    engines: Vec<EngineModel>,
    loads: Loads,
    next_end: NextEnd,
    specs: Vec<ReplicaSpec>,
    silent_for: Vec<u32>,
    epoch: u64,
    measures: Measures,
    now: Time,
}

/// Replays the trace.
pub fn replay() -> Measures {
    let engines = engines(DOMAINS, INSTANCES);
    let mut baseline = Baseline {
        silent_for: vec![0; engines.len()],
        engines,
        loads: engine::loads(super::WEIGHT_RATE_BYTES_PER_S),
        next_end: None,
        specs: Vec::new(),
        epoch: 0,
        measures: Measures::default(),
        now: Time::START,
    };
    let mut events = trace::read().into_iter().peekable();
    let end = Time::START + WARM_UP + LENGTH;
    while baseline.now < end {
        let next = baseline.now + TICK;
        baseline.pass(next);
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
    /// Lets time pass, with the loads that end meanwhile.
    fn pass(&mut self, until: Time) {
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
        self.renew_load(place);
    }

    fn decide(&mut self) {
        for (place, silent_for) in self.silent_for.iter_mut().enumerate() {
            *silent_for = if self.engines[place].answers() { 0 } else { *silent_for + 1 };
        }
        let broken: Vec<usize> =
            (0..self.specs.len()).filter(|idx| self.is_broken(&self.specs[*idx])).collect();
        for idx in broken.into_iter().rev() {
            let spec = self.specs.remove(idx);
            for member in &spec.members {
                self.order(self.place(member), OrderKind::Release);
            }
        }
        // An instance that returned from a pause still holds its old replica.
        for place in 0..self.engines.len() {
            let replica = self.engines[place].orders.report.replica;
            if replica.is_some() && !self.is_held(place) {
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
        /// Looks without an answer after which a member is lost.
        const LOST_AFTER: u32 = 2;
        spec.members.iter().any(|member| {
            let place = self.place(member);
            let engine = &self.engines[place];
            LOST_AFTER <= self.silent_for[place]
                || engine.orders.report.incarnation != member.incarnation
                || engine.listed.state == InstanceState::Leaving
        })
    }

    fn form(&mut self, deployment: &Deployment) -> bool {
        let wanted = deployment.instances_per_replica as usize;
        let free: Vec<usize> = (0..self.engines.len()).filter(|it| self.is_free(*it)).collect();
        let whole =
            free.chunk_by(|a, b| self.engines[*a].listed.domain == self.engines[*b].listed.domain);
        let fitting = whole.into_iter().find(|it| wanted <= it.len()).unwrap_or(&free);
        if fitting.len() < wanted {
            return false;
        }
        self.epoch += 1;
        let places = fitting[..wanted].to_vec();
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
        engine.answers()
            && engine.listed.state == InstanceState::Live
            && engine.orders.report.replica.is_none()
    }

    fn is_held(&self, place: usize) -> bool {
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
        if !engine.answers() {
            return;
        }
        let incarnation = engine.orders.report.incarnation;
        let order = Order { epoch: Epoch(self.epoch), incarnation, kind };
        engine.orders.execute(&order);
        self.renew_load(place);
    }

    fn renew_load(&mut self, place: usize) {
        let engine = &self.engines[place];
        let report = engine.orders.report;
        let next = if engine.answers() && report.replica.is_some() && !report.ready {
            let weights = engine.orders.weights.clone();
            self.loads.begin(place, weights, super::WEIGHT_BYTES, self.now)
        } else {
            self.loads.end(place, self.now)
        };
        self.next_end = next.or(self.next_end);
    }
}
