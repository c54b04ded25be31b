//! Tests of invalid input from callers, accidental or malicious.

use citrongw::demo::DEMO_KEY;
use serde_json::json;
use tokio::io::AsyncWriteExt;

use crate::rig::{self, PROMPT, Rig, expected, options};

struct Case {
    what: &'static str,
    sent: String,
    status: u16,
    code: u64,
}

fn post(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn keyed(body: &str) -> String {
    post("/v1/completions", &format!("authorization: Bearer {DEMO_KEY}\r\n"), body)
}

fn cases() -> Vec<Case> {
    let good = rig::body(PROMPT, false).to_string();
    let other_model = json!({ "model": "other", "prompt": "x" }).to_string();
    let large = json!({ "model": "plans", "prompt": "x".repeat(5 * 1024 * 1024) }).to_string();
    let chunked = format!(
        "POST /v1/completions HTTP/1.1\r\nconnection: close\r\nauthorization: Bearer {DEMO_KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{large}\r\n0\r\n\r\n",
        large.len()
    );
    let flood: String = (0..5000).map(|idx| format!("x-{idx}: {idx}\r\n")).collect();
    let case = |what, sent, status, code| Case { what, sent, status, code };
    vec![
        case("no key", post("/v1/completions", "", &good), 401, 1002),
        case("wrong key", post("/v1/completions", "authorization: Bearer x\r\n", &good), 401, 1002),
        case("key scheme", post("/v1/completions", "authorization: Basic x\r\n", &good), 401, 1002),
        case("unknown path", post("/v2/completions", "", &good), 404, 1003),
        case("root", post("/", "", &good), 404, 1003),
        case(
            "wrong method",
            "GET /v1/completions HTTP/1.1\r\nconnection: close\r\n\r\n".into(),
            404,
            1003,
        ),
        case("no JSON", keyed("climb"), 400, 1001),
        case("no prompt", keyed("{\"model\":\"plans\"}"), 400, 1001),
        case(
            "not UTF-8 by escape",
            keyed("{\"model\":\"plans\",\"prompt\":\"\\ud800\"}"),
            400,
            1001,
        ),
        case("deep JSON", keyed(&"[".repeat(100_000)), 400, 1001),
        case("unknown model", keyed(&other_model), 404, 1006),
        case("large body", keyed(&large), 413, 1004),
        case("large body in chunks", chunked, 413, 1004),
        case("header flood", post("/v1/completions", &flood, &good), 413, 1004),
        case("bad length", "POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n".into(), 400, 1001),
        case("bad version", "POST / HTTP/9\r\n\r\n".into(), 400, 1001),
    ]
}

async fn check_serves(rig: &Rig) {
    let response = rig.get_buffered().await;
    assert_eq!((response.status, response.text()), (200, expected(PROMPT)));
}

#[tokio::test]
async fn bad_requests_get_a_code_and_are_not_run() {
    let rig = rig::open(options(), |_| {}).await;
    for case in cases() {
        let response = rig::send(rig.addr(), case.sent.as_bytes()).await.read_all().await;
        assert_eq!(response.status, case.status, "{}: {response:?}", case.what);
        let expected = Some((case.code, "not_run".to_owned()));
        assert_eq!(response.error(), expected, "{}: {response:?}", case.what);
        assert!(response.head.contains("x-request-id: "), "{}: {response:?}", case.what);
    }
    assert_eq!(rig.generated(), 0);
    check_serves(&rig).await;
}

#[tokio::test]
async fn body_that_arrives_too_slowly_is_refused() {
    let fakes = citrongw::demo::start_fakes_with(options(), |_| {}).await.unwrap();
    let rig = rig::open_among(fakes, |settings| {
        settings.body_timeout = std::time::Duration::from_millis(200);
    })
    .await;
    let sent = keyed(&rig::body(PROMPT, false).to_string());
    let (part, _) = sent.split_at(sent.len() - 10);
    let response = rig::send(rig.addr(), part.as_bytes()).await.read_all().await;
    assert_eq!((response.status, response.error()), (408, Some((1005, "not_run".to_owned()))));
    check_serves(&rig).await;
}

#[tokio::test]
async fn connections_above_the_bound_are_refused_and_the_others_served() {
    let fakes = citrongw::demo::start_fakes_with(options(), |_| {}).await.unwrap();
    let rig = rig::open_among(fakes, |settings| settings.max_connections = 2).await;
    let sent = keyed(&rig::body(PROMPT, false).to_string());
    let (part, rest) = sent.split_at(20);
    let mut held = Vec::new();
    for _ in 0..2 {
        held.push(rig::send(rig.addr(), part.as_bytes()).await);
    }
    let response = rig.get_buffered().await;
    assert_eq!((response.status, response.error()), (503, Some((2002, "not_run".to_owned()))));
    assert!(response.head.contains("retry-after: 1"), "{response:?}");
    for mut exchange in held {
        exchange.stream.write_all(rest.as_bytes()).await.unwrap();
        assert_eq!(exchange.read_all().await.status, 200);
    }
    check_serves(&rig).await;
}

#[tokio::test]
async fn request_id_is_generated_by_the_node() {
    let rig = rig::open(options(), |_| {}).await;
    let headers = format!("authorization: Bearer {DEMO_KEY}\r\nx-request-id: chosen\r\n");
    let sent = post("/v1/completions", &headers, &rig::body(PROMPT, false).to_string());
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..2 {
        let response = rig::send(rig.addr(), sent.as_bytes()).await.read_all().await;
        let id = response.json()["id"].as_str().unwrap().to_owned();
        assert!(response.head.contains(&format!("x-request-id: {id}")), "{response:?}");
        assert!(seen.insert(id));
    }
    assert!(!seen.contains("chosen"));
}

#[tokio::test]
async fn profile_limit_is_enforced_and_permits_are_released() {
    let mut options = options();
    options.engine.between_tokens = std::time::Duration::from_secs(30);
    let rig = rig::open(options, |profile| profile.limit_in_flight = Some(1)).await;
    let mut first = rig.get_stream().await;
    first.read_until("climb0").await;
    let response = rig.get_buffered().await;
    assert_eq!((response.status, response.error()), (429, Some((2001, "not_run".to_owned()))));
    assert!(response.head.contains("retry-after: "), "{response:?}");
    drop(first);
    rig::wait_for("cancellation", || rig.cancelled() == 1).await;
    let mut next = rig.get_stream().await;
    next.read_until("climb0").await;
}
