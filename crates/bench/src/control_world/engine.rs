//! Model of an instance's engine: the state that orders produce, whether it
//! responds, and the weight loads that share the throughput of the weight
//! store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use citrongw_fakes::engine::orders::{self, EngineOrders, Weights};
use citrongw_protocol::{
    engine::{EngineStatus, LoadReport},
    instance_list::{InstanceState, ListedInstance},
};
use citrongw_state::{
    id::{Epoch, FabricDomainId, Incarnation, ModelVersion, ReplicaId},
    time::Time,
};

/// Replica, epoch and incarnation under which a member reported ready.
pub type ReadyState = (ReplicaId, Epoch, Incarnation);

/// Simulated engine of one instance.
#[derive(Debug, Clone)]
pub struct EngineModel {
    /// Entry of the instance in the platform's list.
    pub listed: ListedInstance,
    /// State produced by the orders that it executed.
    pub orders: EngineOrders,
    /// Whether the process is running.
    pub up: bool,
    /// Whether the process is paused.
    pub paused: bool,
    /// Whether the platform removed the instance from its list.
    pub unlisted: bool,
    /// Duration of a decoding step, in milliseconds.
    pub step_ms: f32,
    /// Number of running requests.
    pub running: u32,
    /// Model version whose weights never finish loading.
    pub bad_version: Option<ModelVersion>,
    /// Last time at which the engine was ready, by reported state.
    pub last_ready_at: BTreeMap<ReadyState, Time>,
    /// Last time at which each incarnation was alive.
    pub last_alive_at: BTreeMap<Incarnation, Time>,
    /// Newest epoch that each incarnation executed.
    pub newest_epochs: BTreeMap<Incarnation, Epoch>,
}

/// Creates an engine without a replica.
pub fn open(
    number: u64,
    domain: &FabricDomainId,
    accelerators: u32,
    honours_fencing: bool,
) -> EngineModel {
    let incarnation = Incarnation(number * 1_000);
    let port = u16::try_from(number % 60_000).unwrap_or_default();
    let listed = ListedInstance {
        id: format!("instance-{number:05}").into(),
        domain: domain.clone(),
        zone: "zone".into(),
        region: "region".into(),
        accelerators,
        engine_addr: SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation,
        state: InstanceState::Live,
    };
    EngineModel {
        listed,
        orders: orders::open(incarnation, honours_fencing),
        up: true,
        paused: false,
        unlisted: false,
        step_ms: 20.0,
        running: 0,
        bad_version: None,
        last_ready_at: BTreeMap::new(),
        last_alive_at: BTreeMap::new(),
        newest_epochs: BTreeMap::new(),
    }
}

impl EngineModel {
    /// Whether the engine responds to calls.
    pub fn is_responsive(&self) -> bool {
        self.up && !self.paused
    }

    /// Response to a status call, if the engine responds.
    pub fn status(&self) -> Option<EngineStatus> {
        self.is_responsive().then(|| EngineStatus {
            member: self.orders.report,
            load: LoadReport { running: self.running, ..LoadReport::default() },
            step_ms: if self.orders.report.ready { self.step_ms } else { 0.0 },
        })
    }

    /// Whether the requested weights never finish loading.
    pub fn fails_load(&self) -> bool {
        let version = self.orders.weights.as_ref().map(|it| &it.version);
        self.bad_version.is_some() && self.bad_version.as_ref() == version
    }

    /// Records that the current state held until `now`. Must be called before
    /// each change.
    pub fn touch(&mut self, now: Time) {
        if !self.is_responsive() {
            return;
        }
        let report = self.orders.report;
        self.last_alive_at.insert(report.incarnation, now);
        if let Some(replica) = report.replica
            && report.ready
        {
            self.last_ready_at.insert((replica, report.epoch, report.incarnation), now);
        }
    }

    /// Restarts the process with a new incarnation.
    pub fn restart(&mut self) {
        let incarnation = Incarnation(self.orders.report.incarnation.0 + 1);
        self.orders.restart(incarnation);
        self.listed.incarnation = incarnation;
        self.up = true;
        self.paused = false;
    }
}

/// Completion time of the earliest load, and the generation in which it is
/// valid.
pub type NextEnd = Option<(Time, u64)>;

/// Weight loads in progress, which share the throughput of the weight store
/// evenly.
#[derive(Debug)]
pub struct Loads {
    rate_bytes_per_s: f64,
    remaining: BTreeMap<usize, (Option<Weights>, f64)>,
    updated_at: Time,
    generation: u64,
}

/// Creates an empty set of loads.
pub fn loads(rate_bytes_per_s: f64) -> Loads {
    Loads { rate_bytes_per_s, remaining: BTreeMap::new(), updated_at: Time::START, generation: 0 }
}

impl Loads {
    /// Starts a load unless the same one is in progress. Returns the next
    /// completion.
    pub fn begin(
        &mut self,
        place: usize,
        weights: Option<Weights>,
        bytes: f64,
        now: Time,
    ) -> NextEnd {
        self.progress(now);
        if self.remaining.get(&place).is_none_or(|it| it.0 != weights) {
            self.remaining.insert(place, (weights, bytes));
        }
        self.next()
    }

    /// Aborts a load. Returns the next completion.
    pub fn end(&mut self, place: usize, now: Time) -> NextEnd {
        self.progress(now);
        self.remaining.remove(&place)?;
        self.next()
    }

    /// Removes the completed loads and returns them with the next completion.
    pub fn finish(&mut self, generation: u64, now: Time) -> Option<(Vec<usize>, NextEnd)> {
        /// Remainder that rounding may leave.
        const DONE_BYTES: f64 = 1e3;
        if generation != self.generation {
            return None;
        }
        self.progress(now);
        let done: Vec<usize> = self
            .remaining
            .iter()
            .filter(|(_, it)| it.1 <= DONE_BYTES)
            .map(|(place, _)| *place)
            .collect();
        for place in &done {
            self.remaining.remove(place);
        }
        Some((done, self.next()))
    }

    fn progress(&mut self, now: Time) {
        let share = self.rate_bytes_per_s / self.remaining.len().max(1) as f64;
        let bytes = share * now.since(self.updated_at).as_secs_f64();
        for (_, left) in self.remaining.values_mut() {
            *left -= bytes;
        }
        self.updated_at = now;
    }

    fn next(&mut self) -> NextEnd {
        self.generation += 1;
        let least = self.remaining.values().map(|it| it.1).min_by(f64::total_cmp)?;
        let seconds = least.max(0.0) * self.remaining.len() as f64 / self.rate_bytes_per_s;
        Some((self.updated_at + Duration::from_secs_f64(seconds), self.generation))
    }
}
