//! A caller's request through a node process to the stand-ins and back.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
};

use citrongw::demo::{self, DEMO_KEY, Surroundings};
use citrongw_fakes::engine::FakeEngine;
use citrongw_transport::http_client::{self, HttpClient};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

const PROMPT: &str = "climb and cut";
const TOKENS: u32 = 8;

struct NodeProcess {
    child: Child,
    addr: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn start_node(surroundings: &Surroundings) -> NodeProcess {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("citrongw-whole-path-{}-{count}.ini", std::process::id());
    let path = std::env::temp_dir().join(name);
    let settings = format!(
        "[node]\nzone = a\nregion = r\ncaller-addr = 127.0.0.1:0\n\
         peer-addr = 127.0.0.1:0\nadmin-addr = 127.0.0.1:0\nbalancer-lag = 0s\n\
         [store]\naddr = {}\n[platform]\ninstance-list-addr = {p}\nweight-store-addr = {p}\n",
        surroundings.store_addr,
        p = surroundings.platform_addr,
    );
    std::fs::write(&path, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_citrongw"))
        .args(["run", "--config"])
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    std::fs::remove_file(path).unwrap();
    let addr = line.trim().strip_prefix("callers on ").unwrap().parse().unwrap();
    NodeProcess { child, addr }
}

async fn post(http: &HttpClient, addr: SocketAddr, stream: bool) -> (StatusCode, String) {
    let body = serde_json::json!({
        "model": "plans", "prompt": PROMPT, "max_tokens": TOKENS, "stream": stream,
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{addr}/v1/completions"))
        .header("authorization", format!("Bearer {DEMO_KEY}"))
        .body(Full::from(body.to_string()))
        .unwrap();
    let response = http.send(request).await.unwrap();
    let status = response.status();
    let body = http_client::read_bytes(response.into_body()).await.unwrap();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

/// Sends until the node has heard of its configuration and replicas.
async fn post_when_ready(http: &HttpClient, addr: SocketAddr) -> String {
    loop {
        let (status, body) = post(http, addr, false).await;
        if status != StatusCode::SERVICE_UNAVAILABLE {
            assert_eq!(status, StatusCode::OK, "{body}");
            return body;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn whole_answers_with_and_without_streaming() {
    let surroundings = demo::open_surroundings().await.unwrap();
    let node = start_node(&surroundings);
    let http = http_client::open();
    let expected = FakeEngine::answer(PROMPT, TOKENS).concat();

    let body: serde_json::Value =
        serde_json::from_str(&post_when_ready(&http, node.addr).await).unwrap();
    assert_eq!(body["choices"][0]["text"], expected);

    // Every stream breaks once midway and is taken up again.
    for engine in &surroundings.engines {
        engine.break_streams_after(Some(3));
    }
    let (status, body) = post(&http, node.addr, true).await;
    assert_eq!(status, StatusCode::OK);
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    let text: String = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(text, expected);
}

#[tokio::test]
async fn no_replica_serves_while_a_member_is_missing() {
    let surroundings = demo::open_surroundings().await.unwrap();
    let node = start_node(&surroundings);
    let http = http_client::open();
    post_when_ready(&http, node.addr).await;
    // The last member of each replica restarts with its old address.
    for engine in surroundings.engines.iter().skip(3).step_by(4) {
        engine.set_report(|report| report.incarnation.0 += 1000);
    }
    loop {
        let (status, body) = post(&http, node.addr, false).await;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            assert!(body.contains("\"outcome\":\"not_run\""), "{body}");
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}
