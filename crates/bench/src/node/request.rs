//! Cost of the request path: compares the same load sent directly to the
//! engines and through a node process, and measures the memory of a node during
//! a long stream.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use citrongw::demo::{self, Fakes, FakesOptions};
use citrongw_fakes::engine::EngineSettings;
use citrongw_protocol::{engine::Engine, engine::EngineStatus};
use citrongw_state::replica::MemberReport;
use citrongw_transport::{engine_client, http_client};
use http_body_util::BodyExt;

use super::{
    child::{self, NodeProcess},
    load::{self, LoadResult, Target},
};
use crate::report::Report;

/// Tokens of a short response.
const SHORT_TOKENS: u32 = 8;
/// Tokens of a long response.
const LONG_TOKENS: u32 = 256;
/// Tokens of a response that the engine generates at a fixed rate.
const PACED_TOKENS: u32 = 50;
/// Time between tokens of that response; each token arrives in a separate
/// event.
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
/// Number of concurrent requests.
const WORKERS: usize = 32;
/// Duration of one load run.
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Duration of one load run with `--full`.
const FULL_LOAD_DURATION: Duration = Duration::from_secs(30);
/// Duration of the warm-up load before each measurement.
const WARM_UP_DURATION: Duration = Duration::from_secs(1);
/// Tokens of the stream during which memory is sampled.
const STREAM_TOKENS: u32 = 200_000;
/// Divisor of the stream length: memory must not grow after the first quarter
/// of the stream.
const SETTLED_SHARE: u32 = 4;
/// Lines of one server-sent event.
const LINES_PER_EVENT: usize = 2;
/// Target for the CPU time of a short request, in microseconds.
const CPU_TARGET_US: f64 = 150.0;
/// Maximum memory growth after the first quarter of the stream.
const GROWTH_TARGET_BYTES: u64 = 4 * 1024 * 1024;
/// Polling interval while a node or an engine starts.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the request path measurements; `full` selects the longer load runs.
pub fn run(report: &Report, full: bool) {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(measure(report, if full { FULL_LOAD_DURATION } else { LOAD_DURATION }));
}

async fn measure(report: &Report, duration: Duration) {
    let fast = open(Duration::ZERO).await;
    for (kind, stream, tokens) in [
        ("short", false, SHORT_TOKENS),
        ("short_stream", true, SHORT_TOKENS),
        ("long_stream", true, LONG_TOKENS),
    ] {
        compare(report, &fast, kind, stream, tokens, duration).await;
    }
    watch_memory(report, &fast.node).await;
    drop(fast);
    let paced = open(TOKEN_INTERVAL).await;
    compare(report, &paced, "paced_stream", true, PACED_TOKENS, duration).await;
}

/// A node process with the simulated services that it uses.
struct Fixture {
    node: NodeProcess,
    engines: Vec<Target>,
    _fakes: Fakes,
}

async fn open(between_tokens: Duration) -> Fixture {
    let engine =
        EngineSettings { first_token: Duration::ZERO, between_tokens, ..EngineSettings::default() };
    let options = FakesOptions { engine, ..FakesOptions::default() };
    let fakes = demo::start_fakes_with(options, |_| {}).await.expect("simulated services");
    let node = child::open(&fakes);
    wait_until_serving(&node).await;
    let engines = engine_targets(&fakes).await;
    Fixture { node, engines, _fakes: fakes }
}

/// Runs the same load directly against the engines and through the node.
async fn compare(
    report: &Report,
    fixture: &Fixture,
    kind: &str,
    stream: bool,
    tokens: u32,
    duration: Duration,
) {
    let via_node = [Target::Node { addr: fixture.node.addr(), stream }];
    load::run(&fixture.engines, WORKERS, tokens, WARM_UP_DURATION).await;
    let direct = load::run(&fixture.engines, WORKERS, tokens, duration).await;
    load::run(&via_node, WORKERS, tokens, WARM_UP_DURATION).await;
    let before = fixture.node.cpu_time();
    let measured = load::run(&via_node, WORKERS, tokens, duration).await;
    let cpu = fixture.node.cpu_time() - before;
    report_load(report, "direct", kind, &direct);
    report_load(report, "node", kind, &measured);
    let cpu_us = cpu.as_secs_f64() * 1e6 / measured.requests as f64;
    report.add("node", &format!("{kind}_cpu_per_request"), cpu_us, "us");
    if kind == "short" {
        report.add("node", "short_cpu_target", CPU_TARGET_US, "us");
    }
    report.add("node", &format!("{kind}_cpu_per_token"), cpu_us / f64::from(tokens), "us");
    let share = measured.requests as f64 / direct.requests as f64;
    report.add("node", &format!("{kind}_rate_to_direct"), share, "ratio");
}

fn report_load(report: &Report, policy: &str, kind: &str, measured: &LoadResult) {
    let rate = measured.requests as f64 / measured.elapsed.as_secs_f64();
    report.add(policy, &format!("{kind}_requests_per_s"), rate, "1/s");
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let time_us = measured.times_us.value_at_quantile(quantile) as f64;
        report.add(policy, &format!("{kind}_time_{name}"), time_us, "us");
    }
}

/// Measures the memory of the node while it forwards one long stream.
async fn watch_memory(report: &Report, node: &NodeProcess) {
    let http = http_client::open();
    let target = Target::Node { addr: node.addr(), stream: true };
    let request = load::request(target, "a long stream", STREAM_TOKENS);
    let mut body = http.send(request).await.expect("response").into_body();
    let (mut lines, mut tokens, mut settled_bytes, mut peak_bytes) = (0, 0, 0, 0);
    let mut next_sample_at = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.expect("complete response").into_data().unwrap_or_default();
        lines += data.iter().filter(|it| **it == b'\n').count();
        tokens = lines / LINES_PER_EVENT;
        if tokens < next_sample_at {
            continue;
        }
        next_sample_at = tokens + 2000;
        let resident_bytes = node.resident_bytes();
        if tokens < (STREAM_TOKENS / SETTLED_SHARE) as usize {
            settled_bytes = settled_bytes.max(resident_bytes);
        }
        peak_bytes = peak_bytes.max(resident_bytes);
    }
    let growth_bytes = peak_bytes.saturating_sub(settled_bytes);
    report.add("node", "resident", peak_bytes as f64, "B");
    report.add("node", "stream_growth", growth_bytes as f64, "B");
    report.add("node", "stream_growth_target", GROWTH_TARGET_BYTES as f64, "B");
    assert!((STREAM_TOKENS as usize) <= tokens, "{tokens} tokens received");
    assert!(growth_bytes <= GROWTH_TARGET_BYTES, "memory grew by {growth_bytes} B");
}

async fn wait_until_serving(node: &NodeProcess) {
    let http = http_client::open();
    let target = Target::Node { addr: node.addr(), stream: false };
    loop {
        let response = http.send(load::request(target, "warm", 1)).await;
        if response.is_ok_and(|it| it.status() == 200) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns one engine of each replica with the identity that a node would use,
/// once all are ready.
async fn engine_targets(fakes: &Fakes) -> Vec<Target> {
    let client = Arc::new(engine_client::open(Duration::from_secs(1)));
    let mut targets = BTreeMap::new();
    for server in fakes.servers.iter().take(fakes.engines.len()) {
        let addr = server.local_addr();
        let member = wait_until_ready(client.as_ref(), addr).await;
        let Some(replica) = member.replica else { continue };
        let MemberReport { epoch, incarnation, .. } = member;
        targets.entry(replica).or_insert(Target::Engine { addr, replica, epoch, incarnation });
    }
    targets.into_values().collect()
}

async fn wait_until_ready(client: &dyn Engine, addr: SocketAddr) -> MemberReport {
    loop {
        let EngineStatus { member, .. } = client.status(addr).await.expect("status");
        if member.ready {
            return member;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
