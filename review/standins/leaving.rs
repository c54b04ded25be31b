//! A replica is taken away while the store is down, and says in its answers that it
//! leaves.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    gateway::{self, loopback},
    http::Client,
    kv::Kv,
    record::Record,
    replica,
};

const KEY: &str = "key-of-acme";
/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Length of the outage of the store.
const OUTAGE: Duration = Duration::from_secs(8);
/// Time from the begin of the outage until the replica begins to leave.
const LEAVING_AFTER: Duration = Duration::from_secs(1);
/// Time from then until it is taken away.
const NOTICE: Duration = Duration::from_millis(2_500);
/// Time from the begin of the outage until the last request.
const REQUESTS_FOR: Duration = Duration::from_secs(9);
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const CLIENTS: usize = 8;
const STAGGER: Duration = Duration::from_millis(18);
/// Work of a request, within the distribution of `deposit-charge`.
const WORK: Duration = Duration::from_millis(100);

const CONFIG: &str = r#"{
    "version": 7,
    "routes": [{
        "name": "deposit", "host": "a.example", "path_prefix": "/deposit/",
        "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 100,
        "priority": 2, "service": "orders", "traffic_split": [], "max_attempts": 1,
        "skip_auth": false, "stream_resume": false
    }],
    "services": [{ "name": "orders", "health_path": "/health", "max_connections": 105 }],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000
    },
    "tenants": [{ "name": "acme", "api_keys": ["key-of-acme"], "priority": 2 }]
}"#;

/// Request of a client.
struct Sent {
    attempt: String,
    at: Duration,
    status: u16,
    /// When the client got an answer that said that its replica leaves.
    told_at: Option<Duration>,
}

/// Sends one request after the other until `until`.
fn send_requests(name: usize, to: SocketAddr, until: Duration, record: &Record) -> Vec<Sent> {
    let (mut connection, mut all) = (None, Vec::new());
    // The clients are out of step.
    thread::sleep(STAGGER * name as u32);
    while record.now() < until {
        let attempt = format!("attempt-{name}-{}", all.len() + 1);
        let at = record.now();
        record.add(&format!("client sends {attempt}"));
        let headers = [
            ("X-Request-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Remaining-Ms", "1000"),
            ("X-Api-Key", KEY),
        ];
        let opened = match connection.take() {
            Some(connection) => Ok(connection),
            None => Client::connect(to, "a.example", Duration::from_secs(2)),
        };
        let sent = opened.and_then(|mut it| {
            let response = it.send("POST", "/deposit/1", &headers, "{}")?;
            connection = Some(it);
            Ok(response)
        });
        let (mut status, mut told_at) = (0, None);
        match sent {
            Ok(response) => {
                status = response.status();
                let is_leaving = response.header("server-leaving") == Some("1");
                told_at = is_leaving.then(|| record.now());
                record.add(&format!(
                    "client gets {status} for {attempt}, Server-Leaving {is_leaving}: {}",
                    response.text()
                ));
            }
            Err(error) => record.add(&format!("client gets no answer to {attempt}: {error}")),
        }
        all.push(Sent { attempt, at, status, told_at });
        thread::sleep(REQUEST_INTERVAL);
    }
    all
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let folder = gateway::temporary_folder()?;
    let kv = Kv::open(loopback(0))?;
    kv.put("op/config", CONFIG);
    let open = |id, zone| replica::open(loopback(1), id, ("orders", zone), WORK, &kv, record);
    let (leaving, _staying) =
        (open("i-leaving", "cantabria-b")?, open("i-staying", "cantabria-a")?);
    let gateway = gateway::spawn(&folder, "front-1", 2, kv.addr)?;
    // More than `contact_ms`: the machine is in touch.
    thread::sleep(Duration::from_secs(4));
    let began_at = record.now();
    if has_trouble {
        record.add("the store is down");
        kv.set_down(true);
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients = (0..CLIENTS).map(|name| {
        let (sent, record, callers) = (Arc::clone(&sent), record.clone(), gateway.callers);
        thread::spawn(move || {
            let of_client = send_requests(name, callers, began_at + REQUESTS_FOR, &record);
            sent.lock().unwrap_or_else(PoisonError::into_inner).extend(of_client);
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(LEAVING_AFTER);
    leaving.leave();
    record.add("i-leaving begins to leave");
    thread::sleep(NOTICE);
    leaving.end();
    record.add("i-leaving is taken away");
    thread::sleep(OUTAGE - LEAVING_AFTER - NOTICE);
    kv.set_down(false);
    record.add("the store is up");
    // The platform removes it after three heartbeats of silence, once the store is up.
    leaving.expire();
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))?;
    }
    drop(gateway);
    // What is left there is of no use.
    let _ = std::fs::remove_dir_all(&folder);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(told_at) = sent.iter().filter_map(|it| it.told_at).min() else {
        return Err(io::Error::other("no answer said that the replica leaves"));
    };
    let ran = leaving.runs();
    let is_late =
        |it: &&Sent| told_at + DRAIN < it.at && ran.iter().any(|run| run.attempt == it.attempt);
    let late: Vec<&Sent> = sent.iter().filter(is_late).collect();
    let lost = late.iter().filter(|it| it.status != 200).count();
    record.add(&format!(
        "the gateway passed on an answer with Server-Leaving at {:.3} s; {} requests that were \
         sent over {} ms later reached i-leaving, and {lost} of them were lost there",
        told_at.as_secs_f64(),
        late.len(),
        DRAIN.as_millis(),
    ));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
