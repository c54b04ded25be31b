//! Individual cases of replica control: a store outage, planned changes, and
//! stragglers.

use std::time::Duration;

use citrongw_bench::{
    control_world::{self, World, WorldSettings, engine, fault::Fault, variant::Variant},
    formation,
};
use citrongw_protocol::record::LeavingCause;
use citrongw_state::{
    config::{Config, Deployment, Profile},
    id::FabricDomainId,
    objective::Objective,
    time::Time,
};

const INSTANCES: u64 = 4;

fn deployment(replicas: u32) -> Deployment {
    Deployment {
        id: "plans".into(),
        model: "plans".into(),
        version: "1".into(),
        adapters: Vec::new(),
        replicas,
        instances_per_replica: 2,
        honours_fencing: true,
    }
}

fn open(replicas: u32, domains: u64, min_serving: u32) -> World {
    let profile = format!(r#"{{"id":"p","model":"plans","min_serving":{min_serving}}}"#);
    let profile: Profile = serde_json::from_str(&profile).unwrap();
    let config = Config {
        deployments: vec![deployment(replicas)],
        profiles: vec![profile],
        ..Config::default()
    };
    let mut settings: WorldSettings = formation::settings(Objective::GroupDowntime, config, 2);
    settings.variant = Variant::None;
    settings.checked = true;
    settings.control.change_deadline = Duration::from_secs(60);
    settings.weight_bytes = 10e9;
    let engines = (0..domains * INSTANCES).map(|number| {
        let domain = FabricDomainId::from(format!("domain-{}", number / INSTANCES));
        engine::open(number, &domain, 8, true)
    });
    control_world::open(settings, engines.collect(), 1)
}

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1000)
}

/// Versions of the complete replicas, according to their engines.
fn serving(world: &World) -> Vec<String> {
    let specs = world.store.records().values().flat_map(|(it, _)| &it.replicas);
    let whole = specs.filter(|spec| {
        spec.members.iter().all(|member| {
            let engine = world.engines.iter().find(|it| it.listed.id == member.instance).unwrap();
            let report = engine.orders.report;
            engine.is_responsive()
                && report.ready
                && report.replica == Some(spec.id)
                && report.epoch == spec.epoch
                && report.incarnation == member.incarnation
        })
    });
    let mut versions: Vec<String> = whole.map(|it| it.version.to_string()).collect();
    versions.sort();
    versions
}

#[test]
fn an_outage_forms_and_moves_nothing_and_ends_with_repair() {
    let mut world = open(2, 2, 1);
    world.run_until(at(60));
    assert_eq!(serving(&world).len(), 2);
    let member = world.store.records().values().find_map(|(it, _)| it.replicas.first());
    let instance = member.unwrap().members[1].instance.clone();
    let place = world.engines.iter().position(|it| it.listed.id == instance).unwrap();
    world.schedule(at(61), Fault::StoreDown(true));
    world.schedule(at(65), Fault::Die(place));
    let before = world.store.records().clone();
    for hour in 1..=3 {
        let routes = world.checker.routes;
        world.run_until(at(61 + hour * 3600));
        assert_eq!(*world.store.records(), before, "hour {hour}");
        assert_eq!(serving(&world).len(), 1, "hour {hour}");
        assert!(routes + 3000 < world.checker.routes, "hour {hour}");
    }
    world.schedule(at(61 + 3 * 3600), Fault::StoreDown(false));
    world.run_until(at(61 + 3 * 3600 + 120));
    assert_eq!(serving(&world).len(), 2);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
}

#[test]
fn a_planned_change_keeps_the_stated_number_serving() {
    for (replicas, domains, min_serving) in [(3, 2, 2), (4, 2, 2), (1, 1, 1)] {
        let mut world = open(replicas, domains, min_serving);
        world.run_until(at(100));
        assert_eq!(serving(&world).len(), replicas as usize);
        world.settings.config.deployments[0].version = "2".into();
        for second in 100..1000 {
            world.run_until(at(second));
            let count = serving(&world).len();
            assert!(min_serving as usize <= count, "{replicas} replicas, {second} s: {count}");
        }
        assert_eq!(serving(&world), vec!["2"; replicas as usize]);
    }
}

#[test]
fn a_planned_change_that_fails_is_halted_and_rolled_back() {
    let mut world = open(4, 3, 3);
    world.run_until(at(100));
    assert_eq!(serving(&world).len(), 4);
    for engine in &mut world.engines {
        engine.bad_version = Some("2".into());
    }
    world.settings.config.deployments[0].version = "2".into();
    for second in 100..700 {
        world.run_until(at(second));
        assert!(3 <= serving(&world).len(), "{second} s");
    }
    assert_eq!(serving(&world), vec!["1"; 4]);
    let marks =
        world.store.records().values().map(|(it, _)| it.failed_changes.len()).sum::<usize>();
    assert_eq!(marks, 1);
}

#[test]
fn a_drain_waits_for_every_request_that_may_still_run() {
    const LONGEST_S: u64 = 300;
    for (running, released_by) in [(1, LONGEST_S + 30), (0, 30)] {
        let mut world = open(2, 2, 1);
        world.settings.config.profiles[0].deadline_ms = LONGEST_S * 1000;
        world.run_until(at(100));
        assert_eq!(serving(&world).len(), 2);
        for engine in &mut world.engines {
            engine.running = running;
        }
        world.settings.config.deployments[0].replicas = 1;
        world.run_until(at(115));
        let joined = |world: &World| {
            world.engines.iter().filter(|it| it.orders.report.replica.is_some()).count()
        };
        if 0 < running {
            world.run_until(at(100 + LONGEST_S));
            assert_eq!(joined(&world), 4, "requests in flight were aborted");
        }
        world.run_until(at(100 + released_by));
        assert_eq!(joined(&world), 2, "running {running}");
    }
}

#[test]
fn a_straggling_member_is_replaced() {
    let mut world = open(3, 2, 1);
    world.run_until(at(100));
    let records = world.store.records().values();
    let full = records.map(|(it, _)| it).find(|it| it.replicas.len() == 2).unwrap();
    let instance = full.replicas[0].members[1].instance.clone();
    let place = world.engines.iter().position(|it| it.listed.id == instance).unwrap();
    world.schedule(at(101), Fault::Slow(place, 100.0));
    world.run_until(at(200));
    let records = || world.store.records().values().map(|(it, _)| it);
    let mut marks = records().flat_map(|it| &it.leaving);
    assert!(marks.any(|it| it.instance == instance && it.cause == LeavingCause::Straggler));
    let mut members = records().flat_map(|it| &it.replicas).flat_map(|it| &it.members);
    assert!(members.all(|it| it.instance != instance));
    assert_eq!(serving(&world).len(), 3);
}
