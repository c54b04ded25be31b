//! Another writer writes an entry without most of its fields under the id of a replica
//! of one service, and names another service in it.

use std::{io, thread, time::Duration};

use crate::{
    Verdict,
    gateway::{self, loopback},
    http::Client,
    json::table,
    kv::Kv,
    record::Record,
    replica,
};

const KEY: &str = "key-of-acme";
const REQUESTS: u32 = 120;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Requests between two writes of the other writer: one each heartbeat interval.
const REQUESTS_PER_ENTRY: u32 = 24;
const WORK: Duration = Duration::from_millis(15);

const CONFIG: &str = r#"{
    "version": 7,
    "routes": [{
        "name": "deposit", "host": "a.example", "path_prefix": "/deposit/",
        "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 100,
        "priority": 2, "service": "orders", "traffic_split": [], "max_attempts": 1,
        "skip_auth": false, "stream_resume": false
    }, {
        "name": "search", "host": "a.example", "path_prefix": "/search/",
        "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 100,
        "priority": 2, "service": "searches", "traffic_split": [], "max_attempts": 2,
        "skip_auth": false, "stream_resume": false
    }],
    "services": [
        { "name": "orders", "health_path": "/health", "max_connections": 105 },
        { "name": "searches", "health_path": "/health", "max_connections": 105 }
    ],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000
    },
    "tenants": [{ "name": "acme", "api_keys": ["key-of-acme"], "priority": 2 }]
}"#;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let folder = gateway::temporary_folder()?;
    let kv = Kv::open(loopback(0))?;
    kv.put("op/config", CONFIG);
    let open =
        |id, service| replica::open(loopback(1), id, (service, "cantabria-a"), WORK, &kv, record);
    let (_order, search) = (open("i-order", "orders")?, open("i-search", "searches")?);
    let gateway = gateway::spawn(&folder, "front-1", 2, kv.addr)?;
    // More than `contact_ms`: the machine is in touch.
    thread::sleep(Duration::from_secs(4));
    let mut client = Client::connect(gateway.callers, "a.example", Duration::from_secs(2))?;
    for number in 0..REQUESTS {
        if has_trouble && number % REQUESTS_PER_ENTRY == 0 {
            let entry = table([
                ("service", "orders".into()),
                ("address", search.addr().to_string().as_str().into()),
                ("zone", "cantabria-a".into()),
                ("slots", 6.into()),
                ("state", "ready".into()),
            ]);
            record.add(&format!("another writer writes servers/i-search: {entry}"));
            kv.put("servers/i-search", &entry.to_string());
        }
        let attempt = format!("deposit-{number}");
        let headers = [
            ("X-Request-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Remaining-Ms", "1000"),
            ("X-Api-Key", KEY),
        ];
        record.add(&format!("client sends {attempt}"));
        let response = client.send("POST", "/deposit/1", &headers, "{}")?;
        record.add(&format!(
            "client gets {} for {attempt}: {}",
            response.status(),
            response.text()
        ));
        thread::sleep(REQUEST_INTERVAL);
    }
    drop(gateway);
    // What is left there is of no use.
    let _ = std::fs::remove_dir_all(&folder);
    let foreign = search.runs().iter().filter(|it| it.attempt.starts_with("deposit")).count();
    record.add(&format!("{foreign} requests of the service orders ran at the service searches"));
    Ok(if foreign == 0 { Verdict::Held } else { Verdict::Broken })
}
