//! Tests of planned stops, and of nodes without the key-value service.

use std::{process::Stdio, time::Duration};

use citrongw::demo;
use citrongw_fakes::{engine::FakeEngine, kv::mem::Fault};
use citrongw_protocol::{record::CONFIG_KEY, store::Store};

use crate::rig::{self, CallerResponse, Exchange, PROMPT, expected, options, wait_for};

const STREAMS: usize = 100;

async fn open_streams(rig: &rig::Rig) -> Vec<Exchange> {
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        streams.push(rig.get_stream().await);
    }
    for stream in &mut streams {
        stream.read_until("climb0").await;
    }
    streams
}

async fn read_all(streams: Vec<Exchange>) -> Vec<CallerResponse> {
    futures::future::join_all(streams.into_iter().map(Exchange::read_all)).await
}

fn slow(between: Duration) -> citrongw::demo::FakesOptions {
    let mut options = options();
    options.engine.between_tokens = between;
    options
}

#[tokio::test]
async fn stop_during_a_hundred_streams_interrupts_none() {
    let rig = rig::open(slow(Duration::from_millis(100)), |_| {}).await;
    let streams = open_streams(&rig).await;
    // The key-value service is down during the whole stop.
    rig.fakes.store.set_fault(Fault::Down);
    let rig::Rig { node, fakes } = rig;
    let stopping = tokio::spawn(node.stop());
    for response in read_all(streams).await {
        assert_eq!(response.text(), expected(PROMPT), "{response:?}");
        assert!(response.is_done() && response.is_complete);
    }
    stopping.await.unwrap();
    drop(fakes);
}

#[tokio::test]
async fn node_becomes_unready_before_it_stops_listening() {
    let fakes = demo::start_fakes_with(options(), |_| {}).await.unwrap();
    let rig = rig::open_among(fakes, |settings| {
        settings.balancer_lag = Duration::from_secs(2);
    })
    .await;
    let ready = b"GET /ready HTTP/1.1\r\nconnection: close\r\n\r\n";
    let addr = rig.addr();
    assert_eq!(rig::send(addr, ready).await.read_all().await.status, 200);
    let mut keep_alive = rig::send(addr, b"GET /ready HTTP/1.1\r\n\r\n").await;
    keep_alive.read_until("ready").await;
    let shared = std::sync::Arc::clone(rig.node.shared());
    let rig::Rig { node, fakes } = rig;
    let stopping = tokio::spawn(node.stop());
    wait_for("stop", || shared.stopping.load(std::sync::atomic::Ordering::Relaxed)).await;
    let response = rig::send(addr, ready).await.read_all().await;
    assert_eq!((response.status, response.error()), (503, Some((2005, "not_run".to_owned()))));
    let response = rig::post_completion(addr, &rig::body(PROMPT, false)).await.read_all().await;
    assert_eq!((response.status, response.error()), (503, Some((2005, "not_run".to_owned()))));
    assert!(response.head.contains("retry-after: "), "{response:?}");
    stopping.await.unwrap();
    // A keep-alive connection does not delay the stop.
    assert_eq!(keep_alive.read_all().await.status, 200);
    drop(fakes);
}

#[tokio::test]
async fn second_signal_aborts_the_stop_and_each_caller_gets_an_error() {
    let rig = rig::open(slow(Duration::from_secs(60)), |profile| {
        profile.deadline_ms = 120_000;
        profile.between_tokens_ms = 120_000;
    })
    .await;
    let streams = open_streams(&rig).await;
    // An engine has received this request and has not responded.
    for engine in rig.heads() {
        engine.set_unresponsive(true);
    }
    let whole = rig::post_completion(rig.addr(), &rig::body(PROMPT, false)).await;
    wait_for("request", || rig.generated() == STREAMS as u64 + 1).await;
    let engines = rig.heads();
    let rig::Rig { node, fakes } = rig;
    let stopping = tokio::spawn(node.stop_until(std::future::ready(())));
    for response in read_all(streams).await {
        assert_eq!(response.error(), Some((3004, "unknown".to_owned())), "{response:?}");
        assert!(!response.is_done() && !response.is_complete);
    }
    let response = whole.read_all().await;
    assert_eq!((response.status, response.error()), (503, Some((3004, "unknown".to_owned()))));
    stopping.await.unwrap();
    let cancelled = || engines.iter().map(FakeEngine::cancelled).sum::<u64>();
    wait_for("cancellations", || cancelled() == STREAMS as u64 + 1).await;
    drop(fakes);
}

#[tokio::test]
async fn stop_does_not_wait_for_a_caller_that_reads_nothing() {
    let rig = rig::open(slow(Duration::ZERO), |profile| {
        profile.deadline_ms = 500;
        profile.first_token_ms = 500;
    })
    .await;
    let mut body = rig::body(&"long words ".repeat(4_000), true);
    body["max_tokens"] = 2_000_000.into();
    let unread = rig::post_completion(rig.addr(), &body).await;
    wait_for("request", || rig.generated() == 1).await;
    let rig::Rig { node, fakes } = rig;
    node.stop_until(tokio::time::sleep(Duration::from_secs(1))).await;
    drop((unread, fakes));
}

#[tokio::test]
async fn node_without_the_service_refuses_and_is_not_ready() {
    let fakes = demo::start_fakes_with(options(), |_| {}).await.unwrap();
    fakes.store.set_fault(Fault::Down);
    let node = rig::start(&fakes, |_| {}).await;
    let ready = b"GET /ready HTTP/1.1\r\nconnection: close\r\n\r\n";
    for sent in [
        ready.to_vec(),
        format!(
            "GET /v1/models HTTP/1.1\r\nauthorization: Bearer {}\r\nconnection: close\r\n\r\n",
            demo::DEMO_KEY
        )
        .into_bytes(),
    ] {
        let response = rig::send(node.caller_addr(), &sent).await.read_all().await;
        assert_eq!((response.status, response.error()), (503, Some((2006, "not_run".to_owned()))));
    }
    fakes.store.set_fault(Fault::None);
    let rig = rig::Rig { node, fakes };
    rig.wait_until_serving().await;
    assert_eq!(rig.get_buffered().await.status, 200);
    rig.fakes.store.set_fault(Fault::Down);
    let rig::Rig { node, fakes } = rig;
    node.stop().await;
    drop(fakes);
}

#[tokio::test]
async fn node_that_loses_the_service_continues_with_its_configuration() {
    let rig = rig::open(options(), |_| {}).await;
    for fault in [Fault::Down, Fault::None] {
        rig.fakes.store.set_fault(fault);
        for _ in 0..20 {
            let response = rig.get_buffered().await;
            assert_eq!((response.status, response.text()), (200, expected(PROMPT)), "{response:?}");
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }
}

#[tokio::test]
async fn deleted_configuration_is_not_an_empty_one() {
    use citrongw_protocol::store::{Change, Expected, Write};
    let rig = rig::open(options(), |_| {}).await;
    let store = &rig.fakes.store;
    let snapshot = store.get(CONFIG_KEY.into()).await.unwrap();
    let revision = snapshot.into_entry().unwrap().revision;
    let write = Write {
        key: CONFIG_KEY.into(),
        expected: Expected::Revision(revision),
        change: Change::Delete,
        lease: None,
    };
    store.compare_and_swap(write).await.unwrap();
    // Longer than the node's interval of reading the configuration.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(rig.get_buffered().await.status, 200);
}

#[tokio::test]
async fn node_process_ends_by_signals() {
    let fakes = demo::start_fakes_with(slow(Duration::from_secs(60)), |config| {
        config.profiles[0].between_tokens_ms = 120_000;
    })
    .await
    .unwrap();
    let path = std::env::temp_dir().join(format!("citrongw-stop-{}.ini", std::process::id()));
    let settings = format!(
        "[node]\nzone = a\nregion = r\ncaller-addr = 127.0.0.1:0\n\
         peer-addr = 127.0.0.1:0\nadmin-addr = 127.0.0.1:0\nbalancer-lag = 0s\n\
         [store]\naddr = {}\n[platform]\ninstance-list-addr = {p}\nweight-store-addr = {p}\n",
        fakes.store_addr,
        p = fakes.platform_addr,
    );
    std::fs::write(&path, settings).unwrap();
    let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_citrongw"))
        .args(["run", "--config"])
        .arg(&path)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines =
        tokio::io::AsyncBufReadExt::lines(tokio::io::BufReader::new(child.stdout.take().unwrap()));
    let line = lines.next_line().await.unwrap().unwrap();
    let addr = line.strip_prefix("callers on ").unwrap().parse().unwrap();
    let mut stream = loop {
        let mut exchange = rig::post_completion(addr, &rig::body(PROMPT, true)).await;
        exchange.read_until("\r\n").await;
        if exchange.has_seen("200 OK") {
            break exchange;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    stream.read_until("climb0").await;
    let pid = child.id().unwrap();
    signal_term(pid).await;
    while lines.next_line().await.unwrap().is_some_and(|it| !it.starts_with("stopping")) {}
    signal_term(pid).await;
    let response = stream.read_all().await;
    assert_eq!(response.error(), Some((3004, "unknown".to_owned())), "{response:?}");
    assert!(child.wait().await.unwrap().success());
    std::fs::remove_file(path).unwrap();
}

async fn signal_term(pid: u32) {
    let pid = pid.to_string();
    let res = tokio::process::Command::new("kill").args(["-TERM", &pid]).status().await;
    assert!(res.unwrap().success());
}
