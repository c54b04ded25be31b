//! Model servers are killed while they read a prompt, before the first event.

use std::{
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    engine::EVENTS,
    gateway,
    http::{self, End, request_bytes},
    kv::Store,
    record::Record,
    site,
};

/// Model servers: two groups of two, and spares.
const SERVERS: usize = 9;
const KILLS: usize = 3;
const STREAMS: usize = 40;
/// After so many streams a server is killed.
const KILL_EVERY: usize = 10;
const MODEL: &str = "daka510000";

type Servers = Arc<Mutex<Vec<(String, Child)>>>;

pub fn run(folder: &Path, work: &Path, is_troubled: bool) -> i32 {
    let record = Arc::new(Record::open(folder));
    let (gateway_ip, ip) = (gateway::free_ip(1), gateway::free_ip(2));
    let store = Store::default();
    store.put("op/config", &site::engine_config(7, MODEL));
    let store_addr = store.listen(&ip);
    let servers: Servers = Arc::default();
    let must_kill = Arc::new(AtomicBool::new(false));
    let killed = Arc::new(Mutex::new(Vec::<String>::new()));
    for idx in 0..SERVERS {
        let id = format!("i-02d9e6b{idx}");
        let program = std::env::current_exe().expect("no program");
        let child = Command::new(program)
            .args(["engine", &id, &ip, &store_addr.to_string()])
            .stdout(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else { return end(&servers, 2) };
        let Some(output) = child.stdout.take() else { return end(&servers, 2) };
        servers.lock().unwrap().push((id.clone(), child));
        let (servers, must_kill, killed) =
            (Arc::clone(&servers), Arc::clone(&must_kill), Arc::clone(&killed));
        let (record, store) = (Arc::clone(&record), store.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.add(format!("{id} sent {line}"));
                let Some(attempt) = line.strip_prefix("head ") else { continue };
                if must_kill.swap(false, Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(100));
                    let mut servers = servers.lock().unwrap();
                    if let Some((_, child)) = servers.iter_mut().find(|it| it.0 == id) {
                        let _ = (child.kill(), child.wait());
                    }
                    killed.lock().unwrap().push(attempt.into());
                    record.add(format!("{id} is killed while it reads the prompt of {attempt}"));
                    // Its entry is removed after three heartbeats of silence.
                    let (store, id) = (store.clone(), id.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(3_600));
                        store.delete(&format!("servers/{id}"));
                    });
                }
            }
        });
    }
    let gateway = gateway::spawn(work, "front-1", &gateway_ip, store_addr);
    if !gateway.wait_until_ready() {
        record.add("the gateway did not become ready");
        return end(&servers, 2);
    }
    let until = Instant::now() + Duration::from_secs(20);
    while stream(&gateway, "warm-up", &record).0 != 200 {
        if until < Instant::now() {
            record.add("no group took requests");
            return end(&servers, 2);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    std::thread::sleep(Duration::from_secs(2));
    let (mut whole, mut broken) = (0, 0);
    for number in 0..STREAMS {
        let kills = killed.lock().unwrap().len();
        if is_troubled && kills < KILLS && number % KILL_EVERY == KILL_EVERY - 1 {
            must_kill.store(true, Ordering::SeqCst);
        }
        let attempt = format!("{number:016x}");
        let (status, end, events) = stream(&gateway, &attempt, &record);
        let expected: Vec<u64> = (1..=EVENTS).collect();
        let is_complete = (200..300).contains(&status) && end == End::Complete;
        whole += usize::from(is_complete && events == expected);
        if is_complete && events != expected {
            broken += 1;
            record.add(format!("ORDER: {attempt} ended as complete after the events {events:?}"));
        }
    }
    let kills = killed.lock().unwrap().len();
    record.add(format!(
        "{STREAMS} streams, {whole} whole, {kills} servers killed, {broken} ended as complete before the last event, gateway ended: {}",
        gateway::has_any_ended()
    ));
    if whole == 0 || (is_troubled && kills == 0) {
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
fn stream(gateway: &gateway::Gateway, attempt: &str, record: &Record) -> (u16, End, Vec<u64>) {
    let failed = (0, End::Broken("not sent".into()), Vec::new());
    let Ok(mut connection) = http::connect(gateway.callers) else { return failed };
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
