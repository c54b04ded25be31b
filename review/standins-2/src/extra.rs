//! A server sends additional bytes after a complete answer: they arrive where the answer
//! to the next request on the connection is expected.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    gateway,
    http::{self, Connection, End, Request, request_bytes, response_bytes},
    kv::Store,
    record::Record,
    site::{self, PlainServer, Run},
};

/// Of so many answers of the faulty server, one is followed by additional bytes. The
/// largest dose of `garble` with `extra late` on lengueta-gw is 0.03 of the answers of 0.6
/// of the servers, for 5 s.
const ONE_IN: u64 = 40;
const TROUBLE_AFTER: Duration = Duration::from_secs(2);
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const PLAY_TIME: Duration = Duration::from_secs(8);
const CLIENTS: usize = 6;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(5);
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What the faulty server counts.
#[derive(Default)]
struct Counts {
    answers: AtomicU64,
    extras: AtomicU64,
    begun_at: OnceLock<Instant>,
}

impl Counts {
    fn is_in_trouble(&self) -> bool {
        let age = self.begun_at.get().map(Instant::elapsed).unwrap_or_default();
        TROUBLE_AFTER <= age && age < TROUBLE_AFTER + TROUBLE_TIME
    }
}

/// Result of one request at its client.
struct Got {
    attempt: String,
    /// Status of a complete answer, or 0.
    status: u16,
    seal: Option<String>,
    body: Vec<u8>,
}

pub fn run(folder: &Path, work: &Path, is_troubled: bool) -> i32 {
    let record = Arc::new(Record::open(folder));
    let (gateway_ip, ip) = (gateway::free_ip(1), gateway::free_ip(2));
    let store = Store::default();
    store.put("op/config", &site::config(7));
    let counts: Arc<Counts> = Arc::default();
    let spawn_server = |idx: usize| {
        let (record, counts) = (Arc::clone(&record), Arc::clone(&counts));
        let is_faulty = is_troubled && idx == 0;
        let serve = move |server: &PlainServer,
                          connection: &mut Connection,
                          request: &Request,
                          has_extra: &mut bool| {
            let attempt = request.header("x-request-attempt-id").unwrap_or_default();
            if std::mem::take(has_extra) && counts.is_in_trouble() {
                let number = counts.extras.fetch_add(1, Ordering::Relaxed);
                let bytes = match number % 2 {
                    0 => response_bytes(200, &[], b"left over from another run"),
                    _ => response_bytes(503, &[("X-Not-Executed", "1")], b""),
                };
                record.add(format!(
                    "{} sends additional bytes ({}) when it has read {attempt}",
                    server.id,
                    String::from_utf8_lossy(&bytes).lines().next().unwrap_or_default()
                ));
                if connection.write(&bytes).is_err() {
                    return false;
                }
            }
            std::thread::sleep(Duration::from_millis(15));
            let answer = server.answer(request, 800);
            record.add(format!("{} ran {attempt} ({})", server.id, request.target));
            *has_extra =
                is_faulty && counts.answers.fetch_add(1, Ordering::Relaxed) % ONE_IN == ONE_IN - 1;
            connection.write(&answer).is_ok()
        };
        PlainServer::spawn(&ip, &store, "taller-orders", &format!("i-40e75c26{idx}0"), serve)
    };
    let servers: Vec<PlainServer> = (0..3).map(spawn_server).collect();
    let gateway = gateway::spawn(work, "front-1", &gateway_ip, store.listen(&ip));
    if !gateway.wait_until_ready() {
        record.add("the gateway did not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(3));
    let until = *counts.begun_at.get_or_init(Instant::now) + PLAY_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, addr) = (Arc::clone(&record), gateway.callers);
            std::thread::spawn(move || play(client, addr, until, &record))
        })
        .collect();
    let got: Vec<Got> = clients.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect();
    std::thread::sleep(Duration::from_millis(200));
    let mut runs: HashMap<String, Run> = HashMap::new();
    for server in &servers {
        runs.extend(server.runs());
    }
    let broken = check(&got, &runs, &record);
    let ok = got.iter().filter(|it| it.status == 200).count();
    let extras = counts.extras.load(Ordering::Relaxed);
    record.add(format!(
        "{} requests, {ok} answered 200, additional bytes {extras} times, rule broken {broken} times, gateway ended: {}",
        got.len(),
        gateway::has_any_ended()
    ));
    if ok == 0 || (is_troubled && extras == 0) {
        return 2;
    }
    i32::from(0 < broken)
}

/// Counts what breaks MIXED, REFUSED or TWICE.
fn check(got: &[Got], runs: &HashMap<String, Run>, record: &Record) -> usize {
    let mut broken = 0;
    let mut ran: HashMap<&str, u32> = HashMap::new();
    for run in runs.values().filter(|it| it.target.starts_with(site::CHARGE)) {
        *ran.entry(&run.attempt).or_default() += 1;
    }
    for it in got {
        let run = it.seal.as_ref().and_then(|seal| runs.get(seal));
        let is_own = run.is_some_and(|run| run.attempt == it.attempt && run.answer == it.body);
        if (200..300).contains(&it.status) && !is_own {
            broken += 1;
            record.add(format!(
                "MIXED: {} got {} with signature {:?} and the body {:?}",
                it.attempt,
                it.status,
                it.seal,
                String::from_utf8_lossy(&it.body)
            ));
        }
        if PROMISES.contains(&it.status) && ran.contains_key(it.attempt.as_str()) {
            broken += 1;
            record.add(format!("REFUSED: {} got {} and has run", it.attempt, it.status));
        }
    }
    for (attempt, count) in ran.iter().filter(|(_, count)| 1 < **count) {
        broken += 1;
        record.add(format!("TWICE: {attempt} ran {count} times"));
    }
    broken
}

fn play(client: usize, addr: SocketAddr, until: Instant, record: &Record) -> Vec<Got> {
    let mut got = Vec::new();
    let mut kept = None;
    for number in 0u64.. {
        if until <= Instant::now() {
            break;
        }
        std::thread::sleep(PAUSE);
        let Some(mut connection) = kept.take().or_else(|| http::connect(addr).ok()) else {
            continue;
        };
        let attempt = format!("{client:02x}{number:014x}");
        let headers = [
            ("Host", site::HOST),
            ("X-Request-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Remaining-Ms", "1000"),
            ("X-Api-Key", site::KEY),
        ];
        let (method, target, body) = match number % 3 {
            0 => ("GET", format!("{}{number}", site::STATUS), Vec::new()),
            _ => ("POST", format!("{}{number}", site::CHARGE), vec![b'x'; 600]),
        };
        if connection.write(&request_bytes(method, &target, &headers, &body)).is_err() {
            continue;
        }
        let answer = connection.response(Duration::from_millis(1_500));
        let seal = answer.header("x-response-seal").map(str::to_owned);
        record.add(format!(
            "client {client}: {attempt} {method} {target} -> {} {seal:?} {:?}",
            answer.status, answer.end
        ));
        let is_complete = answer.end == End::Complete;
        if is_complete && answer.header("connection") != Some("close") {
            kept = Some(connection);
        }
        let status = if is_complete { answer.status } else { 0 };
        got.push(Got { attempt, status, seal, body: answer.body });
    }
    got
}
