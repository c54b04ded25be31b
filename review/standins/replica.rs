//! Stand-in of a replica of a plain service.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message, Reply, Server},
    json::{Json, table},
    kv::Kv,
    record::Record,
};

/// Interval between the writes of an entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Request that a replica ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub body: Vec<u8>,
}

struct Shared {
    id: String,
    service: String,
    zone: String,
    work: Duration,
    born: u64,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    sequence: AtomicU64,
    running: AtomicU64,
    runs: Mutex<Vec<Run>>,
}

/// Running replica.
#[derive(Clone)]
pub struct Replica {
    shared: Arc<Shared>,
    server: Server,
    kv: Kv,
}

/// Starts a replica that registers itself.
pub fn open(
    ip: Ipv4Addr,
    id: &str,
    (service, zone): (&str, &str),
    work: Duration,
    kv: &Kv,
    record: &Record,
) -> io::Result<Replica> {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let shared = Arc::new(Shared {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        work,
        born: born.as_millis() as u64,
        is_leaving: AtomicBool::new(false),
        has_ended: AtomicBool::new(false),
        sequence: AtomicU64::new(0),
        running: AtomicU64::new(0),
        runs: Mutex::default(),
    });
    let (served, record) = (Arc::clone(&shared), record.clone());
    let server = http::serve(ip, Arc::new(move |request| Some(served.handle(&request, &record))))?;
    let replica = Replica { shared, server, kv: kv.clone() };
    replica.register();
    let beating = replica.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            if beating.shared.has_ended.load(Ordering::SeqCst) {
                return;
            }
            beating.register();
        }
    });
    Ok(replica)
}

impl Shared {
    fn handle(&self, request: &Message, record: &Record) -> Reply {
        let attempt = request.header("x-request-attempt-id").unwrap_or_default().to_owned();
        let reply = |status, body: String| {
            let reply = Reply::new(status, body)
                .with("X-Request-Attempt-Id", attempt.as_str())
                .with("X-Server-Load", format!("{},0,6", self.running.load(Ordering::SeqCst)));
            match self.is_leaving.load(Ordering::SeqCst) {
                true => reply.with("Server-Leaving", "1"),
                false => reply,
            }
        };
        if request.path() == "/v1/report" {
            let body = table([
                ("stage", "both".into()),
                ("models", Vec::new().into()),
                ("busy", false.into()),
                ("sequence", 0.into()),
                ("born", self.born.into()),
            ]);
            return reply(200, body.to_string());
        }
        if !request.is_complete {
            record.add(&format!("{} gets a part of {attempt} only, and doesn't run it", self.id));
            return reply(400, String::new());
        }
        if request.header("x-target-instance") != Some(self.id.as_str()) {
            record.add(&format!("{} answers 421 to {attempt}", self.id));
            return reply(421, String::new());
        }
        record.add(&format!(
            "{} of {} runs {attempt}: {}, tenant {}, {} bytes",
            self.id,
            self.service,
            request.start,
            request.header("x-tenant-name").unwrap_or("none"),
            request.body.len(),
        ));
        let run = Run { attempt: attempt.clone(), body: request.body.clone() };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        reply(200, format!("answer of {} to {attempt}", self.id))
            .with("X-Response-Seal", format!("{}.{attempt}", self.id))
    }
}

impl Replica {
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Begins to leave: its answers say so, and so does its entry as soon as the store
    /// accepts that.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
        self.register();
    }

    /// Ends as a process that is taken away.
    pub fn end(&self) {
        self.shared.has_ended.store(true, Ordering::SeqCst);
        self.server.end();
    }

    /// Removes its entry, as the platform does after three heartbeats of silence.
    pub fn expire(&self) {
        self.kv.remove(&format!("servers/{}", self.shared.id));
    }

    fn register(&self) -> bool {
        let shared = &self.shared;
        let is_leaving = shared.is_leaving.load(Ordering::SeqCst);
        let entry: Json = table([
            ("service", shared.service.as_str().into()),
            ("address", self.server.addr.to_string().as_str().into()),
            ("zone", shared.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 6.into()),
            ("state", if is_leaving { "draining" } else { "ready" }.into()),
            ("cold_left_ms", 0.into()),
            ("sequence", shared.sequence.fetch_add(1, Ordering::SeqCst).into()),
            ("born", shared.born.into()),
        ]);
        self.kv.put(&format!("servers/{}", shared.id), &entry.to_string())
    }
}
