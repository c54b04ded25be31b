//! An instance's engine: what orders make of it, whether it answers, and the
//! weight loads that share the store's rate.

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

/// What a member vouched for at some time.
pub type Vouched = (ReplicaId, Epoch, Incarnation);

/// Engine of one instance.
#[derive(Debug, Clone)]
pub struct EngineModel {
    /// What the platform knows of it.
    pub listed: ListedInstance,
    /// What orders made of it.
    pub orders: EngineOrders,
    /// Whether the process runs.
    pub up: bool,
    /// Whether it is paused.
    pub paused: bool,
    /// Whether the platform took it off the list.
    pub unlisted: bool,
    /// Time of its steps.
    pub step_ms: f32,
    /// Requests that it runs.
    pub running: u32,
    /// Version whose weights it never gets ready with.
    pub bad_version: Option<ModelVersion>,
    /// When each thing that it vouched for was last true.
    pub vouched_at: BTreeMap<Vouched, Time>,
    /// When each of its starts was last alive.
    pub alive_at: BTreeMap<Incarnation, Time>,
    /// Newest epoch that each of its starts carried out.
    pub carried_out: BTreeMap<Incarnation, Epoch>,
}

/// Opens an engine that serves nothing.
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
        vouched_at: BTreeMap::new(),
        alive_at: BTreeMap::new(),
        carried_out: BTreeMap::new(),
    }
}

impl EngineModel {
    /// Whether it answers calls.
    pub fn answers(&self) -> bool {
        self.up && !self.paused
    }

    /// Its answer to a status call.
    pub fn status(&self) -> Option<EngineStatus> {
        self.answers().then(|| EngineStatus {
            member: self.orders.report,
            load: LoadReport { running: self.running, ..LoadReport::default() },
            step_ms: if self.orders.report.ready { self.step_ms } else { 0.0 },
        })
    }

    /// Whether the weights that it is to load never become ready.
    pub fn refuses_load(&self) -> bool {
        let version = self.orders.weights.as_ref().map(|it| &it.version);
        self.bad_version.is_some() && self.bad_version.as_ref() == version
    }

    /// Notes what is true of it until now. Called before each change.
    pub fn touch(&mut self, now: Time) {
        if !self.answers() {
            return;
        }
        let report = self.orders.report;
        self.alive_at.insert(report.incarnation, now);
        if let Some(replica) = report.replica
            && report.ready
        {
            self.vouched_at.insert((replica, report.epoch, report.incarnation), now);
        }
    }

    /// Starts the process anew.
    pub fn restart(&mut self) {
        let incarnation = Incarnation(self.orders.report.incarnation.0 + 1);
        self.orders.restart(incarnation);
        self.listed.incarnation = incarnation;
        self.up = true;
        self.paused = false;
    }
}

/// When the first load ends, and the number that tells whether this still
/// holds.
pub type NextEnd = Option<(Time, u64)>;

/// Weight loads under way. All share the store's rate evenly.
#[derive(Debug)]
pub struct Loads {
    rate_bytes_per_s: f64,
    left: BTreeMap<usize, (Option<Weights>, f64)>,
    at: Time,
    generation: u64,
}

/// Opens the loads.
pub fn loads(rate_bytes_per_s: f64) -> Loads {
    Loads { rate_bytes_per_s, left: BTreeMap::new(), at: Time::START, generation: 0 }
}

impl Loads {
    /// Begins a load, unless the same is under way. Gives the next end.
    pub fn begin(
        &mut self,
        place: usize,
        weights: Option<Weights>,
        bytes: f64,
        now: Time,
    ) -> NextEnd {
        self.progress(now);
        if self.left.get(&place).is_none_or(|it| it.0 != weights) {
            self.left.insert(place, (weights, bytes));
        }
        self.next()
    }

    /// Ends a load before it is done. Gives the next end.
    pub fn end(&mut self, place: usize, now: Time) -> NextEnd {
        self.progress(now);
        self.left.remove(&place)?;
        self.next()
    }

    /// Takes those out that are done, with the next end.
    pub fn finish(&mut self, generation: u64, now: Time) -> Option<(Vec<usize>, NextEnd)> {
        /// What rounding may leave.
        const DONE_BYTES: f64 = 1e3;
        if generation != self.generation {
            return None;
        }
        self.progress(now);
        let done: Vec<usize> = self
            .left
            .iter()
            .filter(|(_, it)| it.1 <= DONE_BYTES)
            .map(|(place, _)| *place)
            .collect();
        for place in &done {
            self.left.remove(place);
        }
        Some((done, self.next()))
    }

    fn progress(&mut self, now: Time) {
        let share = self.rate_bytes_per_s / self.left.len().max(1) as f64;
        let bytes = share * now.since(self.at).as_secs_f64();
        for (_, left) in self.left.values_mut() {
            *left -= bytes;
        }
        self.at = now;
    }

    fn next(&mut self) -> NextEnd {
        self.generation += 1;
        let least = self.left.values().map(|it| it.1).min_by(f64::total_cmp)?;
        let seconds = least.max(0.0) * self.left.len() as f64 / self.rate_bytes_per_s;
        Some((self.at + Duration::from_secs_f64(seconds), self.generation))
    }
}
