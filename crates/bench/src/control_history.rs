//! One seeded history of replica control under random faults.

use std::{collections::BTreeSet, time::Duration};

use citrongw_coordination::control::context::ControlSettings;
use citrongw_state::{
    config::{Config, Deployment},
    id::{FabricDomainId, NodeId},
    objective::Objective,
    time::Time,
};
use rand::{Rng, rngs::SmallRng};

use crate::control_world::{
    self, World, WorldSettings,
    engine::{self, EngineModel},
    fault::Fault,
    random,
    variant::Variant,
};

/// Number of nodes.
const NODES: u64 = 3;
/// Number of fabric domains.
const DOMAINS: u64 = 3;
/// Instances per domain.
const INSTANCES: u64 = 3;
/// Period in which faults occur.
const DURATION: Duration = Duration::from_secs(90);
/// Fault-free period at the end, in which everything repairable must be
/// repaired.
const FAULT_FREE_TAIL: Duration = Duration::from_secs(30);

/// Runs the history of a seed.
pub fn run(seed: u64, variant: Variant) -> World {
    let mut rng = random::open(seed ^ 0x5eed);
    let honours_fencing = rng.random_bool(0.5);
    let settings = settings(&mut rng, honours_fencing, variant);
    let mut world = control_world::open(settings, engines(honours_fencing), seed);
    schedule_faults(&mut world, &mut rng);
    world.run_until(Time::START + DURATION + FAULT_FREE_TAIL);
    world
}

fn settings(rng: &mut SmallRng, honours_fencing: bool, variant: Variant) -> WorldSettings {
    let objective = match rng.random_bool(0.5) {
        true => Objective::GroupDowntime,
        false => Objective::StrandedAccelerators,
    };
    WorldSettings {
        control: ControlSettings {
            objective,
            load_time: Duration::from_secs(3),
            max_member_wait: Duration::from_secs(5),
            disband_after: Duration::from_secs(8),
            mass_outage_hold: Duration::from_secs(8),
            abandon_after: Duration::from_secs(15),
            drain_deadline: Duration::from_secs(4),
            change_deadline: Duration::from_secs(15),
            loads_at_once: 4,
            ..ControlSettings::default()
        },
        config: config(rng, honours_fencing),
        nodes: NODES,
        tick: Duration::from_secs(1),
        weight_rate_bytes_per_s: 10e9,
        weight_bytes: 10e9,
        late_orders: 0.05,
        variant,
        checked: true,
        measured: false,
    }
}

fn config(rng: &mut SmallRng, honours_fencing: bool) -> Config {
    let deployment = |name: &str, replicas, instances_per_replica| Deployment {
        id: name.into(),
        model: name.into(),
        version: "1".into(),
        adapters: Vec::new(),
        replicas,
        instances_per_replica,
        honours_fencing,
    };
    let small = deployment("small", rng.random_range(1..=2), 2);
    // Spans two domains.
    let large = deployment("large", 1, 4);
    Config { deployments: vec![small, large], ..Config::default() }
}

fn engines(honours_fencing: bool) -> Vec<EngineModel> {
    let places = (0..DOMAINS).flat_map(|domain| (0..INSTANCES).map(move |idx| (domain, idx)));
    let open = |(domain, idx): (u64, u64)| {
        let name = FabricDomainId::from(format!("domain-{domain}"));
        engine::open(domain * INSTANCES + idx, &name, 8, honours_fencing)
    };
    places.map(open).collect()
}

fn schedule_faults(world: &mut World, rng: &mut SmallRng) {
    let faults = rng.random_range(2..14);
    let engines = (DOMAINS * INSTANCES) as usize;
    for _ in 0..faults {
        let at = Time::START + Duration::from_millis(rng.random_range(5_000..85_000));
        let until = at + Duration::from_millis(rng.random_range(500..25_000));
        let until = until.min(Time::START + DURATION);
        let place = rng.random_range(0..engines);
        let idx = rng.random_range(0..NODES as usize);
        let (begin, end) = match rng.random_range(0..13) {
            0 => (Fault::Die(place), Fault::Restart(place)),
            1 => (Fault::Pause(place), Fault::Resume(place)),
            2 => (Fault::Restart(place), Fault::Restart(place)),
            3 => (Fault::Leave(place), Fault::Relist(place)),
            4 => (Fault::StoreDown(true), Fault::StoreDown(false)),
            5 => (Fault::StoreSlow(true), Fault::StoreSlow(false)),
            6 => (Fault::LostReplies(rng.random_range(0.1..0.6)), Fault::LostReplies(0.0)),
            7 | 8 => {
                // The other nodes consider a paused node dead after three
                // seconds.
                declare_dead(world, idx, at + Duration::from_secs(3), until);
                (Fault::NodePause(idx, until), Fault::NodeView(idx, all_nodes()))
            }
            9 => {
                let (store, engines) = (rng.random_bool(0.7), rng.random_bool(0.5));
                declare_dead(world, idx, at + Duration::from_secs(3), until);
                world.schedule(at, Fault::NodeView(idx, vec![NodeId(idx as u64 + 1)]));
                world.schedule(until, Fault::NodeView(idx, all_nodes()));
                (Fault::NodeCut(idx, store, engines), Fault::NodeCut(idx, false, false))
            }
            // The other nodes consider a node dead although it is alive.
            10 => {
                declare_dead(world, idx, at, until);
                (Fault::NodeView(idx, all_nodes()), Fault::NodeView(idx, all_nodes()))
            }
            11 => (Fault::Unlist(place), Fault::Relist(place)),
            _ => {
                let domain = place / INSTANCES as usize * INSTANCES as usize;
                for place in domain..domain + INSTANCES as usize {
                    world.schedule(at, Fault::Pause(place));
                    world.schedule(until, Fault::Resume(place));
                }
                (Fault::Pause(place), Fault::Resume(place))
            }
        };
        world.schedule(at, begin);
        world.schedule(until, end);
    }
}

fn all_nodes() -> Vec<NodeId> {
    (1..=NODES).map(NodeId).collect()
}

/// Makes the other nodes consider one node dead between `at` and `until`.
fn declare_dead(world: &mut World, idx: usize, at: Time, until: Time) {
    let without: Vec<NodeId> =
        all_nodes().into_iter().filter(|it| *it != NodeId(idx as u64 + 1)).collect();
    for other in (0..NODES as usize).filter(|it| *it != idx) {
        world.schedule(at, Fault::NodeView(other, without.clone()));
        world.schedule(until, Fault::NodeView(other, all_nodes()));
    }
}

/// Lists the deployments with a missing replica although enough usable instances are
/// free. Must be empty after the fault-free period.
pub fn unformed(world: &World) -> Vec<String> {
    let records = world.store.records().values();
    let held: BTreeSet<_> =
        records.clone().flat_map(|(it, _)| it.allocated_members().map(|it| &it.instance)).collect();
    let usable =
        |it: &&EngineModel| it.is_responsive() && !it.unlisted && !it.orders.report.leaving;
    let free = world.engines.iter().filter(usable);
    let free = free.filter(|it| !held.contains(&it.listed.id)).count();
    let mut unformed = Vec::new();
    for deployment in &world.settings.config.deployments {
        let of = records.clone().flat_map(|(it, _)| &it.replicas);
        let formed = of.filter(|it| it.deployment == deployment.id).count();
        let room = deployment.instances_per_replica as usize <= free;
        if formed < deployment.replicas as usize && room {
            unformed.push(format!("{}: {formed} of {}", deployment.id, deployment.replicas));
        }
    }
    unformed
}
