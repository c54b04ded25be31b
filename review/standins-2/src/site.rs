//! Configuration and plain servers of a small deployment like lengueta-gw.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection, Request},
    kv::Store,
};

pub const HOST: &str = "wuny96.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
pub const CHARGE: &str = "/rapu33/";
pub const STATUS: &str = "/cuti104/";
pub const CHAT: &str = "/lohu930/";

/// First configuration.
pub fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"taller-orders","max_attempts":{attempts},"skip_auth":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{{"name":"taller-orders","health_path":"/health"}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"]}}]}}"#,
        route("deposit-charge", CHARGE, "non_idempotent", 1),
        route("status-check", STATUS, "idempotent", 2),
    )
}

/// Configuration with one route to a model whose groups have two members.
pub fn engine_config(version: u64, model: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"quote-chat","host":"{HOST}","path_prefix":"{CHAT}","kind":"streaming","stream_resume":true,"timeout_ms":8000,"target_latency_ms":400,"gap_target_ms":250,"priority":1,"service":"reed-model","max_attempts":2,"skip_auth":false}}],"services":[{{"name":"reed-model","health_path":"/health","engine":{{"slots":26,"loads_per_s":100.0,"loads_at_once":8,"form_ms":1.0,"step_ms":6.45,"per_seq_ms":0.0967,"context_per_k":0.00293,"read_per_s":56100.0,"pairs_per_m":0.309,"chunk":2048,"stride":6,"models":[{{"name":"{model}","size":2,"share":1.0,"pace":1.0,"load_s":1.0,"warm_s":0.2}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"]}}]}}"#
    )
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(0)
}

/// What a plain server ran and answered.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub target: String,
    pub answer: Vec<u8>,
}

/// Plain server. Clones share it.
#[derive(Clone)]
pub struct PlainServer {
    pub id: String,
    service: String,
    addr: SocketAddr,
    /// What it ran, by the signature of the answer.
    runs: Arc<Mutex<HashMap<String, Run>>>,
    seal: Arc<AtomicU64>,
}

impl PlainServer {
    /// Starts a server that handles each request with `serve`, which returns whether the
    /// connection stays open.
    pub fn spawn<C: Default>(
        ip: &str,
        store: &Store,
        service: &str,
        id: &str,
        serve: impl Fn(&PlainServer, &mut Connection, &Request, &mut C) -> bool + Send + Sync + 'static,
    ) -> Self {
        let cell: Arc<Mutex<Option<PlainServer>>> = Arc::default();
        let shared = Arc::clone(&cell);
        let addr = http::listen(ip, move |mut connection| {
            let Some(server) = shared.lock().unwrap().clone() else { return };
            let mut state = C::default();
            while let Ok(Some(request)) = connection.request() {
                if request.path() == "/v1/report" {
                    let report = br#"{"stage":"both","models":[],"busy":false,"sequence":0}"#;
                    if connection.write(&http::response_bytes(200, &[], report)).is_err() {
                        return;
                    }
                    continue;
                }
                if !serve(&server, &mut connection, &request, &mut state) {
                    return;
                }
            }
        });
        let server = Self {
            id: id.into(),
            service: service.into(),
            addr,
            runs: Arc::default(),
            seal: Arc::default(),
        };
        *cell.lock().unwrap() = Some(server.clone());
        server.register(store.clone());
        server
    }

    fn register(&self, store: Store) {
        let (server, born) = (self.clone(), unix_ms());
        std::thread::spawn(move || {
            for sequence in 1.. {
                let entry = format!(
                    r#"{{"service":"{}","address":"{}","zone":"cantabria-a","version":"1","slots":6,"state":"ready","cold_left_ms":0,"sequence":{sequence},"born":{born}}}"#,
                    server.service, server.addr
                );
                store.put(&format!("servers/{}", server.id), &entry);
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
    }

    /// What it ran, by the signature of the answer.
    pub fn runs(&self) -> HashMap<String, Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Runs a request and records it. Returns the signature and the body of the answer.
    fn run(&self, request: &Request, bytes: usize) -> (String, Vec<u8>) {
        let number = self.seal.fetch_add(1, Ordering::Relaxed);
        let seal = format!("{}.{number}", self.id);
        let attempt = request.header("x-request-attempt-id").unwrap_or_default().to_owned();
        let mut answer = format!("{seal} answers {attempt} ").into_bytes();
        let mut word = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        while answer.len() < bytes {
            word = word.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            answer.push(b'a' + (word >> 60) as u8);
        }
        let run = Run { attempt, target: request.target.clone(), answer: answer.clone() };
        self.runs.lock().unwrap().insert(seal.clone(), run);
        (seal, answer)
    }

    /// Complete answer of a sound server.
    pub fn answer(&self, request: &Request, bytes: usize) -> Vec<u8> {
        if request.header("x-target-instance").is_some_and(|it| it != self.id) {
            return http::response_bytes(421, &[("X-Not-Executed", "1")], b"");
        }
        let (seal, body) = self.run(request, bytes);
        let attempt = request.header("x-request-attempt-id").unwrap_or_default();
        let headers = [
            ("X-Request-Attempt-Id", attempt),
            ("X-Response-Seal", seal.as_str()),
            ("X-Server-Load", "1,0,6"),
        ];
        http::response_bytes(200, &headers, &body)
    }
}
