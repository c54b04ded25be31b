//! Model servers truncate some of their answers after the head, before the first event.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    engine::{EVENTS, TROUBLE_TIME},
    gateway,
    http::{self, End, request_bytes},
    kv::Store,
    record::Record,
    site,
};

/// Model servers: four groups of two, and a spare. Two heads of the nine get into trouble.
const SERVERS: usize = 9;
const TROUBLED: usize = 2;
const CLIENTS: u64 = 30;
const MODEL: &str = "daka510000";

type Servers = Arc<Mutex<Vec<(String, Child)>>>;

pub fn run(folder: &Path, work: &Path, is_troubled: bool) -> i32 {
    let record = Arc::new(Record::open(folder));
    let (gateway_ip, ip) = (gateway::free_ip(1), gateway::free_ip(2));
    let store = Store::default();
    store.put("op/config", &site::engine_config(7, MODEL));
    let store_addr = store.listen(&ip);
    let servers: Servers = Arc::default();
    let heads = Arc::new(Mutex::new(Vec::<String>::new()));
    let truncated = Arc::new(AtomicUsize::new(0));
    for idx in 0..SERVERS {
        let id = format!("i-02d9e6b{idx}");
        let program = std::env::current_exe().expect("no program");
        let child = Command::new(program)
            .args(["engine", &id, &ip, &store_addr.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else { return end(&servers, 2) };
        let Some(output) = child.stdout.take() else { return end(&servers, 2) };
        servers.lock().unwrap().push((id.clone(), child));
        let (heads, truncated, record) =
            (Arc::clone(&heads), Arc::clone(&truncated), Arc::clone(&record));
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.add(format!("{id}: {line}"));
                if line == "open" {
                    heads.lock().unwrap().push(id.clone());
                }
                truncated.fetch_add(usize::from(line.starts_with("truncated")), Ordering::Relaxed);
            }
        });
    }
    let gateway = gateway::spawn(work, "front-1", &gateway_ip, store_addr);
    if !gateway.wait_until_ready() {
        record.add("the gateway did not become ready");
        return end(&servers, 2);
    }
    let until = Instant::now() + Duration::from_secs(20);
    while stream(gateway.callers, "warm-up", &record).0 != 200 {
        if until < Instant::now() {
            record.add("no group took requests");
            return end(&servers, 2);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut heads = heads.lock().unwrap().clone();
    heads.dedup();
    if is_troubled {
        for id in heads.iter().take(TROUBLED) {
            record.add(format!("{id} gets into trouble"));
            let mut servers = servers.lock().unwrap();
            let child = servers.iter_mut().find(|it| it.0 == *id);
            if let Some(input) = child.and_then(|it| it.1.stdin.as_mut()) {
                let _ = input.write_all(b"trouble\n");
            }
        }
    }
    let until = Instant::now() + TROUBLE_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, addr) = (Arc::clone(&record), gateway.callers);
            std::thread::spawn(move || {
                let (mut whole, mut broken) = (0, 0);
                for number in 0u64.. {
                    if until <= Instant::now() {
                        break;
                    }
                    let attempt = format!("{client:04x}{number:012x}");
                    let (status, end, events) = stream(addr, &attempt, &record);
                    let expected: Vec<u64> = (1..=EVENTS).collect();
                    let is_complete = (200..300).contains(&status) && end == End::Complete;
                    whole += usize::from(is_complete && events == expected);
                    if is_complete && events != expected {
                        broken += 1;
                        record.add(format!(
                            "ORDER: {attempt} ended as complete after the events {events:?}"
                        ));
                    }
                }
                (whole, broken)
            })
        })
        .collect();
    let (mut whole, mut broken) = (0, 0);
    for client in clients {
        let (more_whole, more_broken) = client.join().unwrap_or_default();
        whole += more_whole;
        broken += more_broken;
    }
    std::thread::sleep(Duration::from_millis(200));
    let truncated = truncated.load(Ordering::Relaxed);
    record.add(format!(
        "{whole} whole streams, {truncated} truncated after the head, {broken} ended as complete before the last event, gateway ended: {}",
        gateway::has_any_ended()
    ));
    if whole == 0 || (is_troubled && truncated == 0) {
        return end(&servers, 2);
    }
    end(&servers, i32::from(0 < broken))
}

fn end(servers: &Servers, code: i32) -> i32 {
    for (_, child) in servers.lock().unwrap().iter_mut() {
        let _ = (child.kill(), child.wait());
    }
    code
}

/// Requests a stream. Returns the status, how it ended, and the ids of its events.
fn stream(addr: SocketAddr, attempt: &str, record: &Record) -> (u16, End, Vec<u64>) {
    let failed = (0, End::Broken("not sent".into()), Vec::new());
    let Ok(mut connection) = http::connect(addr) else { return failed };
    let headers = [
        ("Host", site::HOST),
        ("X-Request-Attempt-Id", attempt),
        ("X-Model-Name", MODEL),
        ("X-Token-Counts", "1460,80"),
        ("X-Prompt-Prefix", "5c1e07a2:40,e4402b7d:1420"),
        ("X-Deadline-Remaining-Ms", "8000"),
        ("X-Api-Key", site::KEY),
    ];
    let target = format!("{}{attempt}", site::CHAT);
    if connection.write(&request_bytes("POST", &target, &headers, b"prompt")).is_err() {
        return failed;
    }
    let answer = connection.response(Duration::from_secs(9));
    let text = String::from_utf8_lossy(&answer.body);
    let events: Vec<u64> =
        text.lines().filter_map(|it| it.strip_prefix("id: ")?.trim().parse().ok()).collect();
    record.add(format!(
        "{attempt} POST {target} -> {} {:?}, events {events:?}, {:?}",
        answer.status,
        answer.header("x-response-seal"),
        answer.end
    ));
    (answer.status, answer.end, events)
}
