//! Cost of the control plane on an idle node: CPU time and memory of membership
//! by number of nodes, and of the replica table by number of replicas.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use citrongw_bench::{
    args::Bench,
    memory,
    report::{self, Report},
    spread::{
        fleet,
        measure::{self, Scenario},
    },
};
use citrongw_coordination::replica_table::ReplicaTable;
use citrongw_state::{
    id::{Epoch, Incarnation, ReplicaId},
    replica::{Member, ReplicaSpec},
    time::Time,
};

const NODES: [usize; 5] = [5, 10, 20, 40, 80];
const REPLICAS: [u64; 4] = [70, 700, 3000, 10_000];
const ZONES: usize = 3;
const EDITS: u32 = 4;
const MEMBERS: u64 = 4;
const CONVERGENCE_TIME: Duration = Duration::from_secs(10);
const PRESENT: &str = "present";

fn main() {
    let args = Bench::from_env_or_exit();
    let report = report::open("node_control", args.seed());
    for nodes in NODES {
        by_nodes(&report, nodes, args.seed());
    }
    for replicas in REPLICAS {
        by_replicas(&report, replicas);
    }
}

fn by_nodes(report: &Report, nodes: usize, seed: u64) {
    let before = memory::resident_bytes();
    let mut fleet = fleet::open(measure::settings(nodes, ZONES, seed));
    measure::seed_config(&mut fleet);
    fleet.run_until(Time(CONVERGENCE_TIME), &mut |_, _| {});
    let grown = memory::resident_bytes().saturating_sub(before);
    let add = |measure: &str, value: f64, unit: &str| {
        report.add(PRESENT, &format!("nodes/{nodes}/{measure}"), value, unit);
    };
    add("resident", grown as f64 / nodes as f64, "B");
    let figures = measure::run(Scenario::Loss, measure::settings(nodes, ZONES, seed), EDITS);
    add("cpu", figures.cpu_share, "share");
    add("sent_mean", figures.bytes_per_s, "B/s");
    add("service_calls", figures.calls_per_min, "1/min");
}

fn by_replicas(report: &Report, replicas: u64) {
    let before = memory::resident_bytes();
    let table = ReplicaTable::default();
    let specs: Vec<ReplicaSpec> = (1..=replicas).map(spec).collect();
    let transfer_bytes = postcard::to_stdvec(&specs).map_or(0, |it| it.len());
    let clock = Instant::now();
    table.replace(specs);
    let took = clock.elapsed();
    let grown = memory::resident_bytes().saturating_sub(before);
    let add = |measure: &str, value: f64, unit: &str| {
        report.add(PRESENT, &format!("replicas/{replicas}/{measure}"), value, unit);
    };
    add("resident", grown as f64, "B");
    add("transfer_to_joiner", transfer_bytes as f64, "B");
    add("replace", took.as_secs_f64() * 1000.0, "ms");
}

fn spec(id: u64) -> ReplicaSpec {
    let member = |member: u64| Member {
        instance: format!("instance-{id}-{member}").into(),
        incarnation: Incarnation(id * MEMBERS + member),
        engine_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
    };
    ReplicaSpec {
        id: ReplicaId(id),
        epoch: Epoch(1),
        deployment: "plans".into(),
        model: "plans".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: format!("domain-{}", id / 4).into(),
        zone: format!("zone-{}", id % 14).into(),
        members: (0..MEMBERS).map(member).collect(),
    }
}
