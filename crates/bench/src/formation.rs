//! Group downtime and stranded accelerators over a recorded failure trace, for
//! replica control under both objectives and for the policy "rebuild on first
//! fit", which disbands a replica as soon as it loses a member and forms it
//! again in the first domain with enough capacity.

pub mod baseline;
pub mod scale;
pub mod trace;

use std::time::Duration;

use citrongw_coordination::control::context::ControlSettings;
use citrongw_state::{
    config::{Config, Deployment},
    id::FabricDomainId,
    objective::Objective,
    time::Time,
};

use crate::control_world::{
    self, World, WorldSettings,
    engine::{self, EngineModel},
    measure::Measures,
    variant::Variant,
};

/// Number of fabric domains in the trace.
pub const DOMAINS: u64 = 12;
/// Instances per domain.
pub const INSTANCES: u64 = 16;
/// Accelerators per instance.
const ACCELERATORS: u32 = 8;
/// Size of the weights of one instance.
const WEIGHT_BYTES: f64 = 100e9;
/// Throughput of the weight store.
const WEIGHT_RATE_BYTES_PER_S: f64 = 10e9;
/// Time before the trace in which all replicas form; not measured.
pub const WARM_UP: Duration = Duration::from_secs(3600);
/// Length of the trace.
pub const DURATION: Duration = Duration::from_secs(4 * 3600);

/// Configuration of the trace: replicas of three sizes, and one spare instance
/// for every eleven.
pub fn config() -> Config {
    let deployment = |name: &str, replicas, instances_per_replica| Deployment {
        id: name.into(),
        model: name.into(),
        version: "1".into(),
        adapters: Vec::new(),
        replicas,
        instances_per_replica,
        honours_fencing: false,
    };
    let deployments =
        vec![deployment("large", 5, 8), deployment("medium", 26, 4), deployment("small", 16, 2)];
    Config { deployments, ..Config::default() }
}

/// Engines of the trace.
pub fn engines(domains: u64, instances: u64) -> Vec<EngineModel> {
    let places = (0..domains).flat_map(|domain| (0..instances).map(move |idx| (domain, idx)));
    let open = |(domain, idx): (u64, u64)| {
        let name = FabricDomainId::from(format!("domain-{domain:04}"));
        engine::open(domain * instances + idx, &name, ACCELERATORS, false)
    };
    places.map(open).collect()
}

/// Simulation settings for an objective.
pub fn settings(objective: Objective, config: Config, nodes: u64) -> WorldSettings {
    WorldSettings {
        control: ControlSettings {
            objective,
            load_time: Duration::from_secs_f64(WEIGHT_BYTES / WEIGHT_RATE_BYTES_PER_S),
            loads_at_once: 8,
            ..ControlSettings::default()
        },
        config,
        nodes,
        tick: Duration::from_secs(1),
        weight_rate_bytes_per_s: WEIGHT_RATE_BYTES_PER_S,
        weight_bytes: WEIGHT_BYTES,
        late_orders: 0.0,
        variant: Variant::None,
        checked: false,
        measured: true,
    }
}

/// Replays the trace with replica control.
pub fn replay(objective: Objective, seed: u64) -> World {
    let settings = settings(objective, config(), 3);
    let mut world = control_world::open(settings, engines(DOMAINS, INSTANCES), seed);
    world.run_until(Time::START + WARM_UP);
    world.measures = Measures::default();
    for event in trace::read() {
        let at = Time::START + WARM_UP + Duration::from_millis(event.at_ms);
        world.schedule(at, event.fault);
    }
    world.run_until(Time::START + WARM_UP + DURATION);
    world
}
