//! A node among stand-ins, and a caller that sees what arrives, byte by byte.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citrongw::{
    demo::{self, DEMO_KEY, Surroundings, SurroundingsOptions},
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

/// Prompt of the tests.
pub(crate) const PROMPT: &str = "climb and cut";
/// Tokens of an answer.
pub(crate) const TOKENS: u32 = 8;
/// Pause between two looks at a condition.
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Node among stand-ins.
pub(crate) struct Rig {
    /// The node.
    pub(crate) node: Node,
    /// What stands around it.
    pub(crate) surroundings: Surroundings,
}

/// Manners of the stand-ins of one test.
pub(crate) fn options() -> SurroundingsOptions {
    SurroundingsOptions {
        engine: EngineSettings {
            first_token: Duration::from_millis(1),
            between_tokens: Duration::from_millis(1),
            ..EngineSettings::default()
        },
        ..SurroundingsOptions::default()
    }
}

/// Starts a node whose one profile is changed, and waits until it serves.
pub(crate) async fn open(options: SurroundingsOptions, change: impl FnOnce(&mut Profile)) -> Rig {
    open_config(options, |config| change(&mut config.profiles[0])).await
}

/// Starts a node with a changed configuration, and waits until it serves.
pub(crate) async fn open_config(
    options: SurroundingsOptions,
    change: impl FnOnce(&mut Config),
) -> Rig {
    let surroundings = demo::open_surroundings_with(options, change).await.unwrap();
    open_among(surroundings, |_| {}).await
}

/// Starts a node among stand-ins that are there, and waits until it serves.
pub(crate) async fn open_among(
    surroundings: Surroundings,
    change: impl FnOnce(&mut Settings),
) -> Rig {
    let node = start(&surroundings, change).await;
    let rig = Rig { node, surroundings };
    rig.wait_until_serving().await;
    rig
}

/// Starts a node and doesn't wait.
pub(crate) async fn start(surroundings: &Surroundings, change: impl FnOnce(&mut Settings)) -> Node {
    let mut settings = demo::settings(surroundings, "127.0.0.1:0".parse().unwrap());
    change(&mut settings);
    node::spawn(settings).await.unwrap()
}

impl Rig {
    /// Address for callers.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.node.caller_addr()
    }

    /// Engines that take requests, one for each replica.
    pub(crate) fn heads(&self) -> Vec<FakeEngine> {
        self.surroundings.engines.iter().step_by(4).cloned().collect()
    }

    /// Requests that all engines began.
    pub(crate) fn generated(&self) -> u64 {
        self.heads().iter().map(FakeEngine::generated).sum()
    }

    /// Streams that were cancelled at all engines.
    pub(crate) fn cancelled(&self) -> u64 {
        self.heads().iter().map(FakeEngine::cancelled).sum()
    }

    /// Waits until all replicas may be routed to.
    pub(crate) async fn wait_until_serving(&self) {
        let shared = Arc::clone(self.node.shared());
        let engines = self.surroundings.engines.len();
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

    /// Asks for an answer that is read whole.
    pub(crate) async fn whole(&self) -> Answer {
        ask(self.addr(), &body(PROMPT, false)).await.read_all().await
    }

    /// Asks for an answer as events.
    pub(crate) async fn stream(&self) -> Exchange {
        ask(self.addr(), &body(PROMPT, true)).await
    }
}

/// Waits for a condition.
pub(crate) async fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..4000 {
        if holds() {
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

/// Whole text of an answer.
pub(crate) fn expected(prompt: &str) -> String {
    FakeEngine::completion(prompt, TOKENS).concat()
}

/// Sends a completion.
pub(crate) async fn ask(addr: SocketAddr, body: &Value) -> Exchange {
    ask_with_key(addr, DEMO_KEY, body).await
}

/// Sends a completion under a key.
pub(crate) async fn ask_with_key(addr: SocketAddr, key: &str, body: &Value) -> Exchange {
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    send(addr, format!("{head}{body}").as_bytes()).await
}

/// Sends bytes.
pub(crate) async fn send(addr: SocketAddr, bytes: &[u8]) -> Exchange {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    Exchange { stream, seen: Vec::new() }
}

/// Exchange under way.
pub(crate) struct Exchange {
    /// Connection.
    pub(crate) stream: TcpStream,
    seen: Vec<u8>,
}

impl Exchange {
    /// Reads until `text` has been seen.
    pub(crate) async fn read_until(&mut self, text: &str) {
        while !self.has_seen(text) {
            let mut buf = [0; 4096];
            let count = self.stream.read(&mut buf).await.unwrap();
            assert_ne!(count, 0, "ended: {}", String::from_utf8_lossy(&self.seen));
            self.seen.extend_from_slice(&buf[..count]);
        }
    }

    /// Whether `text` has been seen.
    pub(crate) fn has_seen(&self, text: &str) -> bool {
        String::from_utf8_lossy(&self.seen).contains(text)
    }

    /// Reads to the end of the connection.
    pub(crate) async fn read_all(mut self) -> Answer {
        // A cut connection may end with an error; what came before counts.
        let _ = self.stream.read_to_end(&mut self.seen).await;
        Answer::read(&self.seen)
    }
}

/// Answer as a caller sees it.
#[derive(Debug)]
pub(crate) struct Answer {
    /// HTTP status; 0 if there was no answer.
    pub(crate) status: u16,
    /// Headers, in lower case.
    pub(crate) head: String,
    /// Body, without its framing.
    pub(crate) body: String,
    /// Whether the body came to its proper end.
    pub(crate) is_whole: bool,
}

impl Answer {
    fn read(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let head = head.to_lowercase();
        let status = head.get(9..12).and_then(|it| it.parse().ok()).unwrap_or_default();
        let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
        let (body, is_whole) = match length.and_then(|it| it.parse::<usize>().ok()) {
            Some(length) => (rest.to_owned(), rest.len() == length),
            None => read_chunked(rest),
        };
        Self { status, head, body, is_whole }
    }

    /// Body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Events, but for the one that marks a whole answer.
    pub(crate) fn events(&self) -> Vec<Value> {
        let data = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// Text of all events or of the whole answer.
    pub(crate) fn text(&self) -> String {
        if self.body.starts_with('{') {
            return self.json()["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
        }
        let events = self.events();
        events.iter().filter_map(|it| it["choices"][0]["text"].as_str()).collect()
    }

    /// Whether the mark of a whole answer came.
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
