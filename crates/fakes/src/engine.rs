//! Stand-in for a model engine. It answers a prompt with words made from it,
//! one by one, and keeps its streams for resuming.

pub mod orders;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use citrongw_protocol::engine::{
    Chunk, EngineStatus, GenerateRequest, LoadReport, Order, OrderKind, OrderReply,
};
use citrongw_state::{
    id::{Epoch, Incarnation, ReplicaId, StreamId},
    replica::MemberReport,
};
use citrongw_transport::{
    engine_client::{CancelBody, RefusalBody, ResumeBody},
    event_stream,
    http_server::{self, HttpServer},
};
use futures::{StreamExt, TryStreamExt, stream};
use http_body_util::Full;
use tokio::sync::{OnceCell, OwnedSemaphorePermit, Semaphore, watch};
use viz::{Body, Request, RequestExt, Response, ResponseExt, Router, StatusCode};

use self::orders::EngineOrders;
use crate::http;

/// Speed and manners of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSettings {
    /// Time until the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub between_tokens: Duration,
    /// Time that loading weights takes.
    pub load_time: Duration,
    /// Streams that it generates at once; others wait in order.
    pub slots: usize,
    /// Whether it refuses an order of an older epoch.
    pub honours_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(5),
            between_tokens: Duration::from_millis(1),
            load_time: Duration::ZERO,
            slots: Semaphore::MAX_PERMITS,
            honours_fencing: true,
        }
    }
}

/// What goes wrong with one stream. Counts are tokens of that connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection ends after so many.
    Break(u64),
    /// Nothing more comes after so many.
    Hang(u64),
    /// The one after so many is left out.
    Skip(u64),
    /// The stream is lost after so many: it cannot be resumed.
    Lose(u64),
}

/// Engine, shared with its server.
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
    stream_fault: Option<StreamFault>,
    silent: bool,
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

/// Makes an engine; it belongs to no replica yet.
pub fn open(incarnation: Incarnation, settings: EngineSettings) -> FakeEngine {
    let state = State {
        orders: orders::open(incarnation, settings.honours_fencing),
        load: LoadReport::default(),
        step_ms: 0.0,
        streams: BTreeMap::new(),
        stream_fault: None,
        silent: false,
        poison: None,
        crashed: false,
        generated: 0,
        cancelled: 0,
    };
    let slots = Arc::new(Semaphore::new(settings.slots));
    FakeEngine { shared: Arc::new(Shared { settings, slots, state: Mutex::new(state) }) }
}

impl FakeEngine {
    /// Makes it a ready member of a replica.
    pub fn join(&self, replica: ReplicaId, epoch: Epoch) {
        let mut state = self.state();
        state.orders.report.replica = Some(replica);
        state.orders.report.epoch = epoch;
        state.orders.report.ready = true;
    }

    /// Changes what it reports.
    pub fn set_report(&self, change: impl FnOnce(&mut MemberReport)) {
        change(&mut self.state().orders.report);
    }

    /// Sets the time of its steps.
    pub fn set_step_ms(&self, step_ms: f32) {
        self.state().step_ms = step_ms;
    }

    /// What it reports.
    pub fn report(&self) -> MemberReport {
        self.state().orders.report
    }

    /// Breaks the connection of each stream once, after so many tokens.
    pub fn break_streams_after(&self, tokens: Option<u64>) {
        self.state().stream_fault = tokens.map(StreamFault::Break);
    }

    /// Does something wrong to the next stream.
    pub fn set_stream_fault(&self, fault: StreamFault) {
        self.state().stream_fault = Some(fault);
    }

    /// Takes requests and never answers them.
    pub fn set_silent(&self, silent: bool) {
        self.state().silent = silent;
    }

    /// Crashes at a prompt that contains `text`.
    pub fn set_poison(&self, text: &str) {
        self.state().poison = Some(text.to_owned());
    }

    /// Whether it has crashed; whoever runs its server ends it then.
    pub fn has_crashed(&self) -> bool {
        self.state().crashed
    }

    /// Lets it generate so many more streams at once.
    pub fn add_slots(&self, slots: usize) {
        self.shared.slots.add_permits(slots);
    }

    /// Requests that it began.
    pub fn generated(&self) -> u64 {
        self.state().generated
    }

    /// Streams that were cancelled.
    pub fn cancelled(&self) -> u64 {
        self.state().cancelled
    }

    /// Answer to a prompt.
    pub fn answer(prompt: &str, max_tokens: u32) -> Vec<String> {
        let words = prompt.split_whitespace().cycle().take(max_tokens as usize);
        words.enumerate().map(|(idx, word)| format!("{word}{idx} ")).collect()
    }

    /// Carries out an order.
    pub fn order(&self, order: &Order) -> OrderReply {
        let load_time = self.shared.settings.load_time;
        let mut state = self.state();
        let reply = state.orders.carry_out(order);
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

    fn crashes_at(&self, prompt: &str) -> bool {
        let mut state = self.state();
        let crashes = state.poison.as_ref().is_some_and(|it| prompt.contains(it));
        state.crashed |= crashes;
        crashes
    }

    fn begin(&self, request: &GenerateRequest) {
        let words = Arc::new(Self::answer(&request.prompt, request.max_tokens));
        let cancel_tx = watch::channel(false).0;
        let mut state = self.state();
        state.generated += 1;
        state.streams.insert(request.stream.clone(), StreamState { words, cancel_tx });
    }

    fn body(&self, id: &StreamId, offset: u64, first: Duration) -> Option<Body> {
        let mut state = self.state();
        let fault = state.stream_fault.take();
        let between = self.shared.settings.between_tokens;
        let stream = state.streams.get(id)?;
        let words = Arc::clone(&stream.words);
        let cancel_rx = stream.cancel_tx.subscribe();
        let total = words.len() as u64;
        let (engine, id) = (self.clone(), id.clone());
        let slot = Arc::new(OnceCell::new());
        let chunks = stream::iter(offset..=total).then(move |sequence| {
            let pause = if sequence == offset { first } else { between };
            let chunk = chunk(&words, sequence);
            let mut cancel_rx = cancel_rx.clone();
            let (engine, id) = (engine.clone(), id.clone());
            let slot = Arc::clone(&slot);
            async move {
                engine.take_slot(&slot, &mut cancel_rx).await?;
                wait(pause, &mut cancel_rx).await?;
                if !engine.suffer(fault, &id, sequence - offset).await? {
                    return Ok(bytes::Bytes::new());
                }
                event_stream::event(&chunk).map_err(io::Error::from)
            }
        });
        Some(Body::from_stream(chunks.try_filter(|it| std::future::ready(!it.is_empty()))))
    }

    /// Takes the slot of a stream, unless it has one.
    async fn take_slot(
        &self,
        slot: &OnceCell<OwnedSemaphorePermit>,
        cancel_rx: &mut watch::Receiver<bool>,
    ) -> io::Result<()> {
        let slots = Arc::clone(&self.shared.slots);
        let taken = slot.get_or_try_init(|| slots.acquire_owned());
        tokio::select! {
            res = taken => res.map(drop).map_err(io::Error::other),
            _ = cancel_rx.wait_for(|it| *it) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Suffers the fault of a stream before its token `count`. False if the
    /// token is left out.
    async fn suffer(
        &self,
        fault: Option<StreamFault>,
        id: &StreamId,
        count: u64,
    ) -> io::Result<bool> {
        match fault {
            Some(StreamFault::Break(after)) if after <= count => {
                Err(io::ErrorKind::BrokenPipe.into())
            }
            Some(StreamFault::Hang(after)) if after <= count => std::future::pending().await,
            Some(StreamFault::Skip(after)) if after == count => Ok(false),
            Some(StreamFault::Lose(after)) if after <= count => {
                self.state().streams.remove(id);
                Err(io::ErrorKind::BrokenPipe.into())
            }
            Some(_) | None => Ok(true),
        }
    }
}

/// Waits for a token, unless the stream is cancelled.
async fn wait(pause: Duration, cancel_rx: &mut watch::Receiver<bool>) -> io::Result<()> {
    let cancelled = || Err(io::Error::from(io::ErrorKind::BrokenPipe));
    if pause.is_zero() {
        return if *cancel_rx.borrow() { cancelled() } else { Ok(()) };
    }
    tokio::select! {
        () = tokio::time::sleep(pause) => Ok(()),
        _ = cancel_rx.wait_for(|it| *it) => cancelled(),
    }
}

fn chunk(words: &[String], sequence: u64) -> Chunk {
    let word = usize::try_from(sequence).ok().and_then(|idx| words.get(idx));
    match word {
        Some(text) => Chunk::Token { sequence, text: text.clone() },
        None => Chunk::End {
            tokens: words.len() as u64,
            reason: "stop".to_owned(),
            load: Some(LoadReport::default()),
        },
    }
}

/// Serves `engine` on `addr`.
pub async fn bind(addr: SocketAddr, engine: FakeEngine) -> io::Result<HttpServer> {
    let on = |engine: &FakeEngine| engine.clone();
    let (a, b, c, d, e) = (on(&engine), on(&engine), on(&engine), on(&engine), on(&engine));
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
    engine.begin(&request);
    if engine.crashes_at(&request.prompt) {
        std::future::pending::<()>().await;
    }
    let silent = engine.state().silent;
    if silent {
        std::future::pending::<()>().await;
    }
    Ok(events(engine.body(&request.stream, 0, engine.shared.settings.first_token)))
}

async fn resume(engine: FakeEngine, mut req: Request) -> viz::Result<Response> {
    let body: ResumeBody = req.json().await?;
    let silent = engine.state().silent;
    if silent {
        std::future::pending::<()>().await;
    }
    Ok(events(engine.body(&body.stream, body.offset, Duration::ZERO)))
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
