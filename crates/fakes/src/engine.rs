//! Fake model engine. It generates tokens from the words of the prompt and keeps
//! its streams for resuming.

pub mod orders;
pub mod streams;

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use citrongw_protocol::engine::{
    EngineStatus, GenerateRequest, LoadReport, Order, OrderKind, OrderReply,
};
use citrongw_state::{
    id::{Epoch, Incarnation, ReplicaId, StreamId},
    replica::MemberReport,
};
use citrongw_transport::{
    engine_client::{CancelBody, RefusalBody, ResumeBody},
    http_server::{self, HttpServer},
};
use http_body_util::Full;
use tokio::sync::{Semaphore, watch};
use viz::{Body, Request, RequestExt, Response, ResponseExt, Router, StatusCode};

use self::orders::EngineOrders;
pub use self::streams::StreamFault;
use crate::http;

/// Maximum number of streams kept for resuming.
const MAX_STREAMS: usize = 4096;

/// Timing and behaviour of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSettings {
    /// Time until the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub between_tokens: Duration,
    /// Duration of a weight load.
    pub load_time: Duration,
    /// Maximum number of concurrent streams; others wait in FIFO order.
    pub slots: usize,
    /// Whether orders of an older epoch are refused.
    pub enforces_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(5),
            between_tokens: Duration::from_millis(1),
            load_time: Duration::ZERO,
            slots: Semaphore::MAX_PERMITS,
            enforces_fencing: true,
        }
    }
}

/// Handle of an engine. Clones share its state.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    slots: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    orders: EngineOrders,
    load: LoadReport,
    step_ms: f32,
    streams: BTreeMap<StreamId, StreamState>,
    streams_by_age: VecDeque<StreamId>,
    stream_fault: Option<StreamFault>,
    unresponsive: bool,
    poison: Option<String>,
    crashed: bool,
    generated: u64,
    cancelled: u64,
}

#[derive(Debug)]
struct StreamState {
    words: Arc<Vec<String>>,
    cancel_tx: watch::Sender<bool>,
}

/// Creates an engine that belongs to no replica.
pub fn open(incarnation: Incarnation, settings: EngineSettings) -> FakeEngine {
    let state = State {
        orders: orders::open(incarnation, settings.enforces_fencing),
        load: LoadReport::default(),
        step_ms: 0.0,
        streams: BTreeMap::new(),
        streams_by_age: VecDeque::new(),
        stream_fault: None,
        unresponsive: false,
        poison: None,
        crashed: false,
        generated: 0,
        cancelled: 0,
    };
    let slots = Arc::new(Semaphore::new(settings.slots));
    FakeEngine { shared: Arc::new(Shared { settings, slots, state: Mutex::new(state) }) }
}

impl FakeEngine {
    /// Makes the engine a ready member of a replica.
    pub fn join(&self, replica: ReplicaId, epoch: Epoch) {
        let mut state = self.state();
        state.orders.report.replica = Some(replica);
        state.orders.report.epoch = epoch;
        state.orders.report.ready = true;
    }

    /// Changes the member report.
    pub fn set_report(&self, change: impl FnOnce(&mut MemberReport)) {
        change(&mut self.state().orders.report);
    }

    /// Sets the reported step time in milliseconds.
    pub fn set_step_ms(&self, step_ms: f32) {
        self.state().step_ms = step_ms;
    }

    /// Current member report.
    pub fn report(&self) -> MemberReport {
        self.state().orders.report
    }

    /// Breaks the connection of the next stream after this many tokens; `None`
    /// clears the fault.
    pub fn break_next_stream_after(&self, tokens: Option<u64>) {
        self.state().stream_fault = tokens.map(StreamFault::Break);
    }

    /// Injects a fault into the next stream.
    pub fn set_stream_fault(&self, fault: StreamFault) {
        self.state().stream_fault = Some(fault);
    }

    /// Sets whether requests are accepted and never answered.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.state().unresponsive = unresponsive;
    }

    /// Makes the engine crash at a prompt that contains `text`.
    pub fn set_poison(&self, text: &str) {
        self.state().poison = Some(text.to_owned());
    }

    /// Whether the engine has crashed; if so, the owner of its server stops it.
    pub fn has_crashed(&self) -> bool {
        self.state().crashed
    }

    /// Raises the maximum number of concurrent streams by `slots`.
    pub fn add_slots(&self, slots: usize) {
        self.shared.slots.add_permits(slots);
    }

    /// Number of generate requests that were started.
    pub fn generated(&self) -> u64 {
        self.state().generated
    }

    /// Number of cancelled streams.
    pub fn cancelled(&self) -> u64 {
        self.state().cancelled
    }

    /// Tokens that the engine generates for a prompt.
    pub fn completion(prompt: &str, max_tokens: u32) -> Vec<String> {
        let words = prompt.split_whitespace().cycle().take(max_tokens as usize);
        words.enumerate().map(|(idx, word)| format!("{word}{idx} ")).collect()
    }

    /// Executes an order. A weight load completes at once if `load_time` is zero;
    /// otherwise the server completes it after `load_time`.
    pub fn order(&self, order: &Order) -> OrderReply {
        let load_time = self.shared.settings.load_time;
        let mut state = self.state();
        let reply = state.orders.execute(order);
        let loads = matches!(order.kind, OrderKind::Load { .. }) && reply == OrderReply::Taken;
        if loads && load_time.is_zero() {
            state.orders.finish_load();
        }
        reply
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refusal(&self, request: &GenerateRequest) -> Option<RefusalBody> {
        let member = self.report();
        let reason = if member.leaving {
            "leaving"
        } else if !member.ready {
            "not ready"
        } else if member.replica != Some(request.replica) || member.epoch != request.epoch {
            "other replica"
        } else if member.incarnation != request.incarnation {
            "other start"
        } else {
            return None;
        };
        Some(RefusalBody { reason: reason.to_owned(), leaving: member.leaving, not_run: true })
    }

    fn crash_if_poisoned(&self, prompt: &str) -> bool {
        let mut state = self.state();
        let crashes = state.poison.as_ref().is_some_and(|it| prompt.contains(it));
        state.crashed |= crashes;
        crashes
    }

    fn start_stream(&self, request: &GenerateRequest) {
        let words = Arc::new(Self::completion(&request.prompt, request.max_tokens));
        let cancel_tx = watch::channel(false).0;
        let mut state = self.state();
        state.generated += 1;
        state.streams.insert(request.stream.clone(), StreamState { words, cancel_tx });
        state.streams_by_age.push_back(request.stream.clone());
        if MAX_STREAMS < state.streams_by_age.len()
            && let Some(oldest) = state.streams_by_age.pop_front()
        {
            state.streams.remove(&oldest);
        }
    }
}

/// Serves `engine` on `addr`.
pub async fn bind(addr: SocketAddr, engine: FakeEngine) -> io::Result<HttpServer> {
    let handle = |engine: &FakeEngine| engine.clone();
    let (a, b, c, d, e) =
        (handle(&engine), handle(&engine), handle(&engine), handle(&engine), handle(&engine));
    let router = Router::new()
        .post("/engine/generate", move |req| generate(a.clone(), req))
        .post("/engine/resume", move |req| resume(b.clone(), req))
        .post("/engine/cancel", move |req| cancel(c.clone(), req))
        .post("/engine/order", move |req| order(d.clone(), req))
        .get("/engine/status", move |req| status(e.clone(), req))
        .post("/engine/cache/export", |_: Request| async {
            Ok::<Response, viz::Error>(Response::with(Body::Full(Full::from("cache")), "x/cache"))
        })
        .post("/engine/cache/import/:digest", |_: Request| async {
            Ok::<Response, viz::Error>(http::json(StatusCode::OK, &()))
        });
    http_server::bind(addr, router).await
}

async fn generate(engine: FakeEngine, mut req: Request) -> viz::Result<Response> {
    let request: GenerateRequest = req.json().await?;
    if let Some(refusal) = engine.refusal(&request) {
        return Ok(http::json(StatusCode::CONFLICT, &refusal));
    }
    engine.start_stream(&request);
    if engine.crash_if_poisoned(&request.prompt) {
        std::future::pending::<()>().await;
    }
    let unresponsive = engine.state().unresponsive;
    if unresponsive {
        std::future::pending::<()>().await;
    }
    Ok(events(engine.stream_body(&request.stream, 0, engine.shared.settings.first_token)))
}

async fn resume(engine: FakeEngine, mut req: Request) -> viz::Result<Response> {
    let body: ResumeBody = req.json().await?;
    let unresponsive = engine.state().unresponsive;
    if unresponsive {
        std::future::pending::<()>().await;
    }
    Ok(events(engine.stream_body(&body.stream, body.offset, Duration::ZERO)))
}

fn events(body: Option<Body>) -> Response {
    match body {
        Some(body) => Response::with(body, "text/event-stream"),
        None => {
            let reason = "unknown stream".to_owned();
            let refusal = RefusalBody { reason, leaving: false, not_run: true };
            http::json(StatusCode::CONFLICT, &refusal)
        }
    }
}

async fn cancel(engine: FakeEngine, mut req: Request) -> viz::Result<Response> {
    let body: CancelBody = req.json().await?;
    let mut state = engine.state();
    if let Some(stream) = state.streams.remove(&body.stream) {
        stream.cancel_tx.send_replace(true);
        state.cancelled += 1;
    }
    Ok(http::json(StatusCode::OK, &()))
}

async fn order(engine: FakeEngine, mut req: Request) -> viz::Result<Response> {
    let body: Order = req.json().await?;
    let reply = engine.order(&body);
    let load_time = engine.shared.settings.load_time;
    let loads = matches!(body.kind, OrderKind::Load { .. });
    if loads && reply == OrderReply::Taken && !load_time.is_zero() {
        tokio::spawn(async move {
            tokio::time::sleep(load_time).await;
            let mut state = engine.state();
            if state.orders.report.epoch == body.epoch {
                state.orders.finish_load();
            }
        });
    }
    Ok(http::json(StatusCode::OK, &reply))
}

async fn status(engine: FakeEngine, _req: Request) -> viz::Result<Response> {
    let status = {
        let state = engine.state();
        EngineStatus { member: state.orders.report, load: state.load, step_ms: state.step_ms }
    };
    Ok(http::json(StatusCode::OK, &status))
}
