//! Test rig: a node with fakes, and a caller that reads raw bytes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citrongw::{
    demo::{self, DEMO_KEY, Fakes, FakesOptions},
    node::{self, Node},
    settings::Settings,
};
use citrongw_fakes::engine::{EngineSettings, FakeEngine};
use citrongw_state::config::{Config, Profile};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Prompt used by the tests.
pub(crate) const PROMPT: &str = "climb and cut";
/// Tokens of a response.
pub(crate) const TOKENS: u32 = 8;
/// Interval between polls of a condition.
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Running node with its fakes.
pub(crate) struct Rig {
    /// The running node.
    pub(crate) node: Node,
    /// Fakes that the node uses.
    pub(crate) fakes: Fakes,
}

/// Options of the fakes for tests.
pub(crate) fn options() -> FakesOptions {
    FakesOptions {
        engine: EngineSettings {
            first_token: Duration::from_millis(1),
            between_tokens: Duration::from_millis(1),
            ..EngineSettings::default()
        },
        ..FakesOptions::default()
    }
}

/// Starts a node with a changed profile, and waits until it serves.
pub(crate) async fn open(options: FakesOptions, change: impl FnOnce(&mut Profile)) -> Rig {
    open_config(options, |config| change(&mut config.profiles[0])).await
}

/// Starts a node with a changed configuration, and waits until it serves.
pub(crate) async fn open_config(options: FakesOptions, change: impl FnOnce(&mut Config)) -> Rig {
    let fakes = demo::start_fakes_with(options, change).await.unwrap();
    open_among(fakes, |_| {}).await
}

/// Starts a node with existing fakes, and waits until it serves.
pub(crate) async fn open_among(fakes: Fakes, change: impl FnOnce(&mut Settings)) -> Rig {
    let node = start(&fakes, change).await;
    let rig = Rig { node, fakes };
    rig.wait_until_serving().await;
    rig
}

/// Starts a node without waiting until it serves.
pub(crate) async fn start(fakes: &Fakes, change: impl FnOnce(&mut Settings)) -> Node {
    let mut settings = demo::settings(fakes, "127.0.0.1:0".parse().unwrap());
    change(&mut settings);
    node::spawn(settings).await.unwrap()
}

impl Rig {
    /// Address that callers connect to.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.node.caller_addr()
    }

    /// Engines that receive requests, one per replica.
    pub(crate) fn heads(&self) -> Vec<FakeEngine> {
        self.fakes.engines.iter().step_by(4).cloned().collect()
    }

    /// Number of requests that all engines have started.
    pub(crate) fn generated(&self) -> u64 {
        self.heads().iter().map(FakeEngine::generated).sum()
    }

    /// Number of streams cancelled at all engines.
    pub(crate) fn cancelled(&self) -> u64 {
        self.heads().iter().map(FakeEngine::cancelled).sum()
    }

    /// Waits until all replicas are routable.
    pub(crate) async fn wait_until_serving(&self) {
        let shared = Arc::clone(self.node.shared());
        let engines = self.fakes.engines.len();
        wait_for("a routable replica", || {
            let now = shared.clock.now();
            let freshness = shared.settings.report_freshness;
            let entries = shared.replicas.entries();
            shared.config.load().is_some()
                && entries.len() * 4 == engines
                && entries.iter().all(|it| it.check_routable(now, freshness).is_ok())
        })
        .await;
    }

    /// Sends a completion without streaming and reads the response.
    pub(crate) async fn get_buffered(&self) -> CallerResponse {
        post_completion(self.addr(), &body(PROMPT, false)).await.read_all().await
    }

    /// Sends a completion with streaming.
    pub(crate) async fn get_stream(&self) -> Exchange {
        post_completion(self.addr(), &body(PROMPT, true)).await
    }
}

/// Polls until a condition is true.
pub(crate) async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..4000 {
        if condition() {
            return;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    panic!("no {what}");
}

/// Body of a completion.
pub(crate) fn body(prompt: &str, stream: bool) -> Value {
    json!({ "model": "plans", "prompt": prompt, "max_tokens": TOKENS, "stream": stream })
}

/// Text that the fake engine generates for a prompt.
pub(crate) fn expected(prompt: &str) -> String {
    FakeEngine::completion(prompt, TOKENS).concat()
}

/// Sends a completion.
pub(crate) async fn post_completion(addr: SocketAddr, body: &Value) -> Exchange {
    post_completion_with_key(addr, DEMO_KEY, body).await
}

/// Sends a completion with an API key.
pub(crate) async fn post_completion_with_key(
    addr: SocketAddr,
    key: &str,
    body: &Value,
) -> Exchange {
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    send(addr, format!("{head}{body}").as_bytes()).await
}

/// Opens a connection and sends bytes.
pub(crate) async fn send(addr: SocketAddr, bytes: &[u8]) -> Exchange {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    Exchange { stream, seen: Vec::new() }
}

/// Exchange in progress.
pub(crate) struct Exchange {
    /// Connection to the node.
    pub(crate) stream: TcpStream,
    seen: Vec<u8>,
}

impl Exchange {
    /// Reads until `text` has been received.
    pub(crate) async fn read_until(&mut self, text: &str) {
        while !self.has_seen(text) {
            let mut buf = [0; 4096];
            let count = self.stream.read(&mut buf).await.unwrap();
            assert_ne!(count, 0, "ended: {}", String::from_utf8_lossy(&self.seen));
            self.seen.extend_from_slice(&buf[..count]);
        }
    }

    /// Whether `text` has been received.
    pub(crate) fn has_seen(&self, text: &str) -> bool {
        String::from_utf8_lossy(&self.seen).contains(text)
    }

    /// Reads until the end of the connection.
    pub(crate) async fn read_all(mut self) -> CallerResponse {
        // An aborted connection may end with an error; the bytes before it are used.
        let _ = self.stream.read_to_end(&mut self.seen).await;
        CallerResponse::read(&self.seen)
    }
}

/// Response as received by the caller.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    /// HTTP status; 0 if there was no response.
    pub(crate) status: u16,
    /// Headers, in lower case.
    pub(crate) head: String,
    /// Body, without its framing.
    pub(crate) body: String,
    /// Whether the body is complete.
    pub(crate) is_complete: bool,
}

impl CallerResponse {
    fn read(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let head = head.to_lowercase();
        let status = head.get(9..12).and_then(|it| it.parse().ok()).unwrap_or_default();
        let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
        let (body, is_complete) = match length.and_then(|it| it.parse::<usize>().ok()) {
            Some(length) => (rest.to_owned(), rest.len() == length),
            None => read_chunked(rest),
        };
        Self { status, head, body, is_complete }
    }

    /// Body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Events, without the `[DONE]` event.
    pub(crate) fn events(&self) -> Vec<Value> {
        let data = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// Text of all events or of the buffered response.
    pub(crate) fn text(&self) -> String {
        if self.body.starts_with('{') {
            return self.json()["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
        }
        let events = self.events();
        events.iter().filter_map(|it| it["choices"][0]["text"].as_str()).collect()
    }

    /// Whether the `[DONE]` event was received.
    pub(crate) fn is_done(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n")
    }

    /// Code and outcome of the error, alone or as the last event.
    pub(crate) fn error(&self) -> Option<(u64, String)> {
        let last = if self.body.starts_with('{') { Some(self.json()) } else { self.events().pop() };
        let error = &last?["error"];
        Some((error["code"].as_u64()?, error["outcome"].as_str()?.to_owned()))
    }
}

fn read_chunked(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        if size == 0 {
            return (body, true);
        }
        let Some(data) = after.get(..size) else { break };
        body.push_str(data);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
