//! Scaling of replica control: store calls by number of domains, and the time
//! to plan the whole fleet.

use std::{sync::Arc, time::Duration};

use citrongw_coordination::control::plan::{self, PlanInput, Records};
use citrongw_protocol::{
    instance_list::ListedInstance,
    record::{DomainRecord, WeightLoad},
};
use citrongw_state::{
    config::{Config, Deployment},
    id::{Epoch, FabricDomainId, ReplicaId, Revision},
    objective::Objective,
    replica::{Member, ReplicaSpec},
    time::Time,
};
use rand::Rng;

use super::{engines, settings};
use crate::control_world::{self, fault::Fault, random};

/// Instances per domain.
const INSTANCES: u64 = 20;
/// Instances per replica.
const MEMBERS: u32 = 4;
/// Time allowed for the replicas to form.
const FORMING: Duration = Duration::from_secs(200);
/// Restarts per instance and hour, far above a normal day.
const RESTARTS_PER_INSTANCE_HOUR: f64 = 0.05;

/// Rates of store calls.
#[derive(Debug, Clone, Copy)]
pub struct Calls {
    /// Reads per hour.
    pub reads_per_h: f64,
    /// Writes per hour.
    pub writes_per_h: f64,
    /// Instance restarts per hour.
    pub restarts_per_h: f64,
}

fn config(domains: u64) -> Config {
    let deployment = Deployment {
        id: "plans".into(),
        model: "plans".into(),
        version: "1".into(),
        adapters: Vec::new(),
        replicas: u32::try_from(domains * 4).unwrap_or(u32::MAX),
        instances_per_replica: MEMBERS,
        honours_fencing: false,
    };
    Config { deployments: vec![deployment], ..Config::default() }
}

/// Counts the store calls of a fleet with `domains` domains during `span`.
pub fn count_calls(domains: u64, span: Duration, seed: u64) -> Calls {
    let mut settings = settings(Objective::GroupDowntime, config(domains), 1);
    settings.measured = false;
    settings.tick = Duration::from_secs(2);
    settings.control.freshness = Duration::from_secs(5);
    // Loading scales with the fleet so that every fleet forms in time; only the
    // calls after that are counted.
    settings.weight_rate_bytes_per_s *= domains as f64;
    settings.control.loads_at_once = u32::try_from(domains * 16).unwrap_or(u32::MAX);
    let mut world = control_world::open(settings, engines(domains, INSTANCES), seed);
    let begin = Time::START + FORMING;
    world.run_until(begin);
    let (reads, writes) = (world.store.reads, world.store.writes);
    let hours = span.as_secs_f64() / 3600.0;
    let instances = domains * INSTANCES;
    let restarts = (instances as f64 * RESTARTS_PER_INSTANCE_HOUR * hours).ceil() as u64;
    let mut rng = random::open(seed);
    for _ in 0..restarts {
        let at = begin + Duration::from_millis(rng.random_range(0..span.as_millis() as u64));
        let place = rng.random_range(0..instances as usize);
        world.schedule(at, Fault::Die(place));
        world.schedule(at + Duration::from_secs(30), Fault::Restart(place));
    }
    world.run_until(begin + span);
    Calls {
        reads_per_h: (world.store.reads - reads) as f64 / hours,
        writes_per_h: (world.store.writes - writes) as f64 / hours,
        restarts_per_h: restarts as f64 / hours,
    }
}

/// Input of the planner at full fleet size.
#[derive(Debug)]
pub struct Fleet {
    config: Config,
    records: Records,
    listed: Vec<ListedInstance>,
}

/// Creates a fleet of `domains` domains with ten replicas each, some of them
/// missing or loading.
pub fn open_fleet(domains: u64) -> Fleet {
    /// Instances of a full-size domain, including spares.
    const INSTANCES: u64 = 44;
    /// Replicas per domain.
    const REPLICAS: u64 = 10;
    let listed: Vec<ListedInstance> =
        engines(domains, INSTANCES).into_iter().map(|it| it.listed).collect();
    let mut config = config(domains);
    config.deployments[0].replicas = u32::try_from(domains * REPLICAS).unwrap_or(u32::MAX);
    let mut records = Records::new();
    for (number, of_domain) in listed.chunks(INSTANCES as usize).enumerate() {
        let mut record = DomainRecord { epoch: Epoch(1), ..DomainRecord::default() };
        // One domain in ten lacks a replica.
        let replicas = if number % 10 == 0 { REPLICAS - 1 } else { REPLICAS };
        let groups = of_domain.chunks(MEMBERS as usize).take(replicas as usize);
        for (idx, group) in groups.enumerate() {
            let id = ReplicaId(number as u64 * REPLICAS + idx as u64);
            record.replicas.push(spec(id, group));
        }
        if number % 20 == 1 {
            let replica = record.replicas[0].id;
            let load = WeightLoad { replica, members: 1, accelerators: 32, running: false };
            record.loads.push(load);
        }
        let domain: FabricDomainId = of_domain[0].domain.clone();
        records.insert(domain, (Arc::new(record), Revision::new(number as u64 + 1)));
    }
    Fleet { config, records, listed }
}

fn spec(id: ReplicaId, group: &[ListedInstance]) -> ReplicaSpec {
    let member = |it: &ListedInstance| Member {
        instance: it.id.clone(),
        incarnation: it.incarnation,
        engine_addr: it.engine_addr,
    };
    ReplicaSpec {
        id,
        epoch: Epoch(1),
        deployment: "plans".into(),
        model: "plans".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: group[0].domain.clone(),
        zone: group[0].zone.clone(),
        members: group.iter().map(member).collect(),
    }
}

impl Fleet {
    /// Computes one plan. Returns the number of replicas to form.
    pub fn plan(&self) -> usize {
        let plan = plan::compute(&PlanInput {
            objective: Objective::GroupDowntime,
            loads_at_once: 16,
            config: &self.config,
            records: &self.records,
            listed: &self.listed,
        });
        plan.domains.values().map(|it| it.formations.len()).sum()
    }
}
