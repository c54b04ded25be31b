//! Model server as a process of its own: `review-case engine ID IP STORE`.
//!
//! Its answers have no length and end with their connection. It answers when it has read the
//! prompt. After a line on its standard input it truncates some answers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Request, request_bytes, response_bytes},
    json::{self, Json},
    site,
};

/// Time to read a prompt.
const PREFILL: Duration = Duration::from_millis(100);
/// Events of a stream, and the time between them.
pub const EVENTS: u64 = 8;
const GAP: Duration = Duration::from_millis(30);
/// Of so many answers of a server in trouble, one is truncated after its head. The largest
/// dose of `garble` with `unframed` on lengueta-gw is 0.05, for 5 s.
const ONE_IN: u64 = 20;
pub const TROUBLE_TIME: Duration = Duration::from_secs(5);

#[derive(Default)]
struct State {
    staged: Vec<String>,
    /// Name, epoch, rank and state of the group.
    group: Option<(String, u64, usize, &'static str)>,
    model: Option<String>,
    sequence: u64,
}

struct Engine {
    id: String,
    addr: Mutex<Option<SocketAddr>>,
    store: SocketAddr,
    born: u64,
    state: Mutex<State>,
    troubled_at: OnceLock<Instant>,
    answers: AtomicU64,
}

/// Serves until the process is killed.
pub fn run(id: &str, ip: &str, store: &str) -> i32 {
    let Ok(store) = store.parse() else { return 2 };
    let engine = Arc::new(Engine {
        id: id.into(),
        addr: Mutex::default(),
        store,
        born: site::unix_ms(),
        state: Mutex::default(),
        troubled_at: OnceLock::new(),
        answers: AtomicU64::new(0),
    });
    let told = Arc::clone(&engine);
    std::thread::spawn(move || {
        if std::io::stdin().lines().next().is_some() {
            told.troubled_at.get_or_init(Instant::now);
        }
    });
    let serving = Arc::clone(&engine);
    let addr = http::listen(ip, move |connection| serving.serve(connection));
    *engine.addr.lock().unwrap() = Some(addr);
    loop {
        engine.register();
        std::thread::sleep(Duration::from_millis(1_200));
    }
}

impl Engine {
    fn fields(&self, state: &State) -> String {
        let names = |names: &mut dyn Iterator<Item = &String>| -> String {
            names.map(|it| json::quote(it)).collect::<Vec<_>>().join(",")
        };
        let model = state.model.iter().filter(|_| state.group.is_some());
        let models = model
            .map(|it| format!("{{\"name\":{},\"version\":1,\"adapters\":[]}}", json::quote(it)));
        let group = state.group.as_ref().map_or(String::new(), |(name, epoch, rank, state)| {
            format!(",\"group\":{{\"name\":{},\"epoch\":{epoch},\"rank\":{rank},\"state\":\"{state}\"}}", json::quote(name))
        });
        format!(
            "\"stage\":\"both\",\"sequence\":{},\"born\":{},\"domain\":\"d0\",\"staged\":[{}],\"models\":[{}]{group}",
            state.sequence,
            self.born,
            names(&mut state.staged.iter()),
            models.collect::<Vec<_>>().join(",")
        )
    }

    /// Writes its entry, as all servers do, by the store's port for them.
    fn register(&self) {
        let Some(addr) = *self.addr.lock().unwrap() else { return };
        let entry = format!(
            "{{\"service\":\"reed-model\",\"address\":\"{addr}\",\"zone\":\"cantabria-a\",\"version\":\"1\",\"slots\":26,\"state\":\"ready\",\"cold_left_ms\":0,{}}}",
            self.fields(&self.state.lock().unwrap())
        );
        let target = format!("/servers/{}", self.id);
        let Ok(mut connection) = http::connect(self.store) else { return };
        let _ = connection.write(&request_bytes(
            "POST",
            &target,
            &[("Host", "store")],
            entry.as_bytes(),
        ));
        let _ = connection.response(Duration::from_secs(1));
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.request() {
            let is_open = match request.path() {
                "/v1/report" => {
                    let fields = self.fields(&self.state.lock().unwrap());
                    let body = format!(
                        "{{{fields},\"busy\":false,\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":2470000,\"handles\":0}}"
                    );
                    connection.write(&response_bytes(200, &[], body.as_bytes())).is_ok()
                }
                "/v1/order" => {
                    let order =
                        json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                    let status = self.execute(&order);
                    self.register();
                    connection.write(&response_bytes(status, &[], b"{}")).is_ok()
                }
                _ => self.stream(&mut connection, &request),
            };
            if !is_open {
                return;
            }
        }
    }

    fn execute(&self, order: &Json) -> u16 {
        let mut state = self.state.lock().unwrap();
        let name = order.get("group").text().unwrap_or_default().to_owned();
        let epoch = order.get("epoch").number().unwrap_or(0.0) as u64;
        let model = order.get("model").text().map(str::to_owned);
        let is_own = state.group.as_ref().is_some_and(|it| it.0 == name && it.1 == epoch);
        let set = |state: &mut State, to| {
            state.sequence += 1;
            if let Some(group) = &mut state.group {
                group.3 = to;
            }
            202
        };
        match order.get("operation").text().unwrap_or_default() {
            "stage" => {
                state.sequence += 1;
                state.staged = model.into_iter().collect();
                202
            }
            "join" if is_own => 200,
            "join" => {
                if state.group.as_ref().is_some_and(|it| epoch < it.1) {
                    return 412;
                }
                let members = order.get("members").list();
                let rank = members.iter().position(|it| it.text() == Some(&self.id));
                let Some(rank) = rank else { return 409 };
                state.sequence += 1;
                state.staged = model.iter().cloned().collect();
                state.model = model;
                state.group = Some((name, epoch, rank, "ready"));
                202
            }
            "open" if is_own => {
                println!("open");
                set(&mut state, "open")
            }
            "close" if is_own => set(&mut state, "ready"),
            "open" | "close" => 409,
            "leave" => {
                if is_own {
                    state.sequence += 1;
                    state.group = None;
                }
                200
            }
            _ => 400,
        }
    }

    /// Streams events, or rejects the request. False, as each answer ends its connection.
    fn stream(&self, connection: &mut Connection, request: &Request) -> bool {
        let is_open =
            self.state.lock().unwrap().group.as_ref().is_some_and(|it| it.3 == "open" && it.2 == 0);
        let attempt = request.header("x-request-attempt-id").unwrap_or_default();
        let is_target = request.header("x-target-instance").is_none_or(|it| it == self.id);
        if !is_open || !is_target {
            let headers = [("X-Not-Executed", "1"), ("X-Request-Attempt-Id", attempt)];
            let _ = connection.write(&response_bytes(421, &headers, b""));
            return false;
        }
        let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Attempt-Id: {attempt}\r\nX-Response-Seal: {}.{attempt}\r\n\r\n",
            self.id
        );
        std::thread::sleep(PREFILL);
        if connection.write(head.as_bytes()).is_err() {
            return false;
        }
        let is_troubled = self.troubled_at.get().is_some_and(|it| it.elapsed() < TROUBLE_TIME);
        if is_troubled && self.answers.fetch_add(1, Ordering::Relaxed) % ONE_IN == ONE_IN - 1 {
            println!("truncated {attempt}");
            return false;
        }
        for event in after + 1..=EVENTS {
            if connection.write(format!("id: {event}\ndata: word {event}\n\n").as_bytes()).is_err()
            {
                return false;
            }
            std::thread::sleep(GAP);
        }
        println!("whole {attempt}");
        false
    }
}
