//! A replica leaves an order to join unanswered and carries it out seconds later.
//! Meanwhile the gateway that gave it is stopped, another replica crashes, and the next
//! gateway makes the first one a member of a group.

use std::{
    fs, io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::{self, Engine, Fleet},
    gateway::{self, loopback},
    kv::Kv,
    record::Record,
};

/// Time that a crashed replica is down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time from a late order to its execution; the pages allow 2 to 12 s.
const LATE: Duration = Duration::from_secs(8);
const EXPIRY: Duration = Duration::from_millis(3_600);

const CONFIG: &str = r#"{
    "version": 7,
    "routes": [{
        "name": "chat", "host": "a.example", "path_prefix": "/chat/", "kind": "streaming",
        "timeout_ms": 8000, "target_latency_ms": 400, "gap_target_ms": 250, "priority": 1,
        "service": "llm", "traffic_split": [], "max_attempts": 2, "skip_auth": false,
        "stream_resume": true
    }],
    "services": [{ "name": "llm", "health_path": "/health", "max_connections": 823, "engine": {
        "slots": 26, "loads_per_s": 5.5, "loads_at_once": 8, "form_ms": 100,
        "models": [
            { "name": "m", "size": 3, "share": 1.0, "pace": 1.0, "load_s": 12.0, "warm_s": 0.3 }
        ]
    } }],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000
    },
    "tenants": [{ "name": "acme", "api_keys": ["key-of-acme"], "priority": 2 }]
}"#;

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(20);
    while !holds() {
        if until < Instant::now() {
            return Err(io::Error::other(format!("waited in vain until {what}")));
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// Head that is open with the other members in its group, and the members.
fn open_group(engines: &[Engine]) -> Option<Vec<Engine>> {
    let head = engines.iter().find(|it| it.group().is_some_and(|it| it.state == "open"))?;
    let group = head.group()?;
    let find = |id: &String| {
        let is_member = |it: &Engine| {
            let theirs = it.group();
            it.id() == id
                && theirs.is_some_and(|it| it.name == group.name && it.epoch == group.epoch)
        };
        engines.iter().find(|it| is_member(it)).cloned()
    };
    group.members.iter().map(find).collect()
}

fn owns(folder: &Path, name: &str) -> bool {
    let log = fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
    log.contains("acquired ownership of a domain")
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let folder = gateway::temporary_folder()?;
    let kv = Kv::open(loopback(0))?;
    kv.put("op/config", CONFIG);
    let fleet = Fleet::default();
    let open = |id: &str, is_staged| engine::open(loopback(1), id, is_staged, &kv, &fleet, record);
    let ids = ["i-a", "i-b", "i-c", "i-d"];
    let mut engines: Vec<Engine> =
        ids.iter().map(|id| open(id, false)).collect::<io::Result<_>>()?;
    let mut first = gateway::spawn(&folder, "front-1", 2, kv.addr)?;
    wait_until("front-1 owns the domain", || owns(&folder, "front-1"))?;
    let second = gateway::spawn(&folder, "front-2", 3, kv.addr)?;
    wait_until("a group is open", || open_group(&engines).is_some())?;
    // More than `contact_ms`, and the spare is warm.
    thread::sleep(Duration::from_secs(4));
    let members = open_group(&engines).ok_or_else(|| io::Error::other("no group is open"))?;
    let member_ids: Vec<&str> = members.iter().map(Engine::id).collect();
    record.add(&format!("{} are an open group", member_ids.join(", ")));
    let spare = engines.iter().position(|it| !member_ids.contains(&it.id()));
    let spare = spare.ok_or_else(|| io::Error::other("there is no spare"))?;
    let spare_id = engines[spare].id().to_owned();
    record.add(&format!("{spare_id} crashes"));
    engines[spare].end();
    thread::sleep(DOWN);
    let back = open(&spare_id, true)?;
    back.delay_joins(has_trouble);
    engines[spare] = back.clone();
    record.add(&format!("{spare_id} is back"));
    let was_ordered = || !back.delayed().is_empty() || back.group().is_some();
    wait_until("the spare is ordered to join", was_ordered)?;
    let ordered_at = record.now();
    back.delay_joins(false);
    record.add("front-1 gets SIGTERM");
    first.terminate();
    let crashed = &members[2];
    record.add(&format!("{} crashes", crashed.id()));
    crashed.end();
    let expiring = crashed.clone();
    thread::spawn(move || {
        thread::sleep(EXPIRY);
        expiring.expire();
    });
    thread::sleep((ordered_at + LATE).saturating_sub(record.now()));
    let delayed = back.delayed();
    if has_trouble && delayed.is_empty() {
        return Err(io::Error::other("no order was delayed"));
    }
    for order in delayed {
        record.add(&format!("{spare_id} carries out late what it left unanswered"));
        back.carry_out(&order);
    }
    thread::sleep(Duration::from_secs(2));
    drop((first, second));
    // What is left there is of no use.
    let _ = fs::remove_dir_all(&folder);
    let breaches = fleet.breaches();
    record.add(&format!("{} joins were taken against the rule", breaches.len()));
    Ok(if breaches.is_empty() { Verdict::Held } else { Verdict::Broken })
}
