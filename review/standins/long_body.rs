//! Two of twelve replicas crash while one of two gateways is stopped. Clients of the
//! other gateway send short requests and, now and then, one with a long body.

use std::{io, net::SocketAddr, thread, time::Duration};

use crate::{
    Verdict,
    gateway::{self, loopback},
    http::Client,
    kv::Kv,
    record::Record,
    replica::{self, Replica},
};

const KEY: &str = "key-of-acme";
const REPLICAS: usize = 12;
/// Replicas that crash: 0.17 of them.
const CRASHED: usize = 2;
/// Time from a crash until the platform removes the entries: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Size of a long body, within `max_body_bytes` of the site.
const BODY_BYTES: usize = 100_000;
/// Work of a request.
const WORK: Duration = Duration::from_millis(3_000);
/// Work of the request that the stopping gateway finishes.
const LONG_WORK: Duration = Duration::from_secs(6);

/// Interval between the rounds of requests.
const ROUND: Duration = Duration::from_millis(1_300);
const ROUNDS: u32 = 7;
/// Short requests of a round, which keep all replicas busy.
const SHORT_REQUESTS: u32 = 14;
const SHORT_INTERVAL: Duration = Duration::from_millis(10);
/// Time from the begin of a round to its request with a long body.
const LONG_BODY_AT: Duration = Duration::from_millis(1_100);
/// Round in which the other gateway is stopped and the replicas crash.
const TROUBLE_ROUND: u32 = 2;
const TERM_AT: Duration = Duration::from_millis(300);
const CRASH_AT: Duration = Duration::from_millis(400);

const CONFIG: &str = r#"{
    "version": 7,
    "routes": [{
        "name": "deposit", "host": "a.example", "path_prefix": "/deposit/",
        "kind": "non_idempotent", "timeout_ms": 7000, "target_latency_ms": 4000,
        "priority": 2, "service": "orders", "traffic_split": [], "max_attempts": 1,
        "skip_auth": false, "stream_resume": false
    }, {
        "name": "digest", "host": "a.example", "path_prefix": "/digest/",
        "kind": "idempotent", "timeout_ms": 8000, "target_latency_ms": 8000,
        "priority": 1, "service": "digests", "traffic_split": [], "max_attempts": 1,
        "skip_auth": false, "stream_resume": false
    }],
    "services": [
        { "name": "orders", "health_path": "/health", "max_connections": 105 },
        { "name": "digests", "health_path": "/health", "max_connections": 105 }
    ],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000
    },
    "tenants": [{ "name": "acme", "api_keys": ["key-of-acme"], "priority": 2 }]
}"#;

/// Body of a request, which no other request has.
fn body_of(attempt: &str) -> String {
    let mut body = format!("body of {attempt}\n");
    if attempt.starts_with("long") {
        for line in 1.. {
            if BODY_BYTES <= body.len() {
                break;
            }
            body.push_str(&format!("{attempt} line {line}\n"));
        }
    }
    body
}

/// Sends one request on a new connection and reads its answer.
fn send(to: SocketAddr, path: &str, attempt: &str, record: &Record) {
    let body = body_of(attempt);
    record.add(&format!("client sends {attempt} with {} bytes", body.len()));
    let headers = [
        ("X-Request-Attempt-Id", attempt),
        ("X-Deadline-Remaining-Ms", "7000"),
        ("X-Api-Key", KEY),
    ];
    let sent = Client::connect(to, "a.example", Duration::from_secs(8))
        .and_then(|mut it| it.send("POST", path, &headers, &body));
    match sent {
        Ok(response) => record.add(&format!("client gets {} for {attempt}", response.status())),
        Err(error) => record.add(&format!("client gets no answer to {attempt}: {error}")),
    }
}

/// Sends a request at a time.
fn send_at(
    at: Duration,
    to: SocketAddr,
    path: &'static str,
    attempt: String,
    record: &Record,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(at.saturating_sub(record.now()));
        send(to, path, &attempt, &record);
    })
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let folder = gateway::temporary_folder()?;
    let kv = Kv::open(loopback(0))?;
    kv.put("op/config", CONFIG);
    let replicas = (1..=REPLICAS).map(|number| {
        replica::open(
            loopback(1),
            &format!("i-{number:02}"),
            ("orders", "cantabria-a"),
            WORK,
            &kv,
            record,
        )
    });
    let replicas: Vec<Replica> = replicas.collect::<io::Result<_>>()?;
    let _digests =
        replica::open(loopback(1), "i-digest", ("digests", "cantabria-a"), LONG_WORK, &kv, record)?;
    let gateway = gateway::spawn(&folder, "front-1", 2, kv.addr)?;
    let mut other = gateway::spawn(&folder, "front-2", 3, kv.addr)?;
    // More than `contact_ms`: the machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let began_at = record.now();
    let mut clients = Vec::new();
    for round in 0..ROUNDS {
        let at = began_at + ROUND * round;
        for number in 0..SHORT_REQUESTS {
            let attempt = format!("short-{round}-{number}");
            let at = at + SHORT_INTERVAL * number;
            clients.push(send_at(at, gateway.callers, "/deposit/1", attempt, record));
        }
        let (at, attempt) = (at + LONG_BODY_AT, format!("long-{round}"));
        clients.push(send_at(at, gateway.callers, "/deposit/1", attempt, record));
    }
    let trouble_at = began_at + ROUND * TROUBLE_ROUND;
    let attempt = "other".to_owned();
    clients.push(send_at(trouble_at, other.callers, "/digest/1", attempt, record));
    thread::sleep((trouble_at + TERM_AT).saturating_sub(record.now()));
    record.add("front-2 gets SIGTERM");
    other.terminate();
    if has_trouble {
        thread::sleep((trouble_at + CRASH_AT).saturating_sub(record.now()));
        for crashed in &replicas[..CRASHED] {
            record.add(&format!("{} crashes", crashed.id()));
            crashed.end();
        }
        thread::sleep(EXPIRY);
        replicas[..CRASHED].iter().for_each(Replica::expire);
        record.add("the entries of the crashed replicas are removed");
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))?;
    }
    drop((gateway, other));
    let log = std::fs::read_to_string(folder.join("front-1.log")).unwrap_or_default();
    let relayed = log.lines().filter(|it| it.contains("request is relayed")).count();
    record.add(&format!("front-1 relayed {relayed} requests"));
    // What is left there is of no use.
    let _ = std::fs::remove_dir_all(&folder);
    let mut changed = 0;
    for replica in &replicas {
        for run in replica.runs() {
            let sent = body_of(&run.attempt);
            if run.body != sent.as_bytes() {
                changed += 1;
                record.add(&format!(
                    "{} ran {} with {} bytes instead of {}",
                    replica.id(),
                    run.attempt,
                    run.body.len(),
                    sent.len(),
                ));
            }
        }
    }
    record.add(&format!("{changed} requests ran with another body than their clients sent"));
    Ok(if changed == 0 { Verdict::Held } else { Verdict::Broken })
}
