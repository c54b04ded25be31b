//! Tests of ports whose connections are charged to a budget.

use tokio::time::{Instant, sleep};

use super::*;
use crate::memory_budget;

const REQUEST: &[u8] = b"POST /echo HTTP/1.1\r\ncontent-length: 2\r\n\r\nok";
const INCOMPLETE: &[u8] = b"POST /echo HTTP/1.1\r\ncontent-length: 2\r\n\r\no";

fn options(max_bytes: usize, max_connections: usize) -> ServerOptions {
    let budget = Arc::new(memory_budget::open(Some(max_bytes)));
    ServerOptions { max_connections, budget: Some(budget), ..ServerOptions::default() }
}

async fn connect(server: &HttpServer, sent: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    stream.write_all(sent).await.unwrap();
    stream
}

async fn read_response(stream: &mut TcpStream) -> String {
    let mut buf = [0; 1024];
    let count = stream.read(&mut buf).await.unwrap_or_default();
    String::from_utf8_lossy(&buf[..count]).into_owned()
}

#[tokio::test]
async fn request_over_the_budget_gets_a_503_with_a_time_and_has_not_run() {
    // Memory for two connections and one request.
    let server = open(options(100 * 1024, 8)).await;
    let mut first = connect(&server, INCOMPLETE).await;
    sleep(Duration::from_millis(50)).await;
    let mut second = connect(&server, REQUEST).await;
    let response = read_response(&mut second).await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("\"outcome\":\"not_run\""), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    drop(second);
    first.write_all(b"k").await.unwrap();
    assert!(read_response(&mut first).await.starts_with("HTTP/1.1 200 "));
    sleep(Duration::from_millis(50)).await;
    let mut third = connect(&server, REQUEST).await;
    assert!(read_response(&mut third).await.starts_with("HTTP/1.1 200 "), "memory is returned");
}

/// Guards against a readiness port that tells the load balancer to send no callers because
/// a few of them hold all memory.
#[tokio::test]
async fn port_that_must_respond_does_so_over_the_budget() {
    let options = ServerOptions { refuses_over_budget: false, ..options(1024, 8) };
    let server = open(options).await;
    for _ in 0..3 {
        let mut stream = connect(&server, REQUEST).await;
        assert!(read_response(&mut stream).await.starts_with("HTTP/1.1 200 "));
    }
}

#[tokio::test]
async fn full_port_closes_a_connection_that_stopped_for_a_new_one() {
    let server = open(options(1024 * 1024, 1)).await;
    let mut stopped = connect(&server, INCOMPLETE).await;
    sleep(Duration::from_millis(800)).await;
    let mut stream = connect(&server, REQUEST).await;
    assert!(read_response(&mut stream).await.starts_with("HTTP/1.1 200 "));
    assert_eq!(read_response(&mut stopped).await, "", "closed");
}

#[tokio::test(start_paused = true)]
async fn body_without_progress_ends_after_the_idle_timeout() {
    let server = open(options(1024 * 1024, 8)).await;
    let mut stream = connect(&server, b"POST /echo HTTP/1.1\r\ncontent-length: 5\r\n\r\no").await;
    // Each byte restarts the time, of ten seconds.
    for _ in 0..2 {
        sleep(Duration::from_secs(8)).await;
        stream.write_all(b"k").await.unwrap();
    }
    let since = Instant::now();
    while !read_response(&mut stream).await.is_empty() {}
    let waited = since.elapsed();
    assert!(Duration::from_secs(9) < waited && waited < Duration::from_secs(13), "{waited:?}");
}

#[tokio::test]
async fn head_of_the_largest_size_is_served() {
    let server = open(options(1024 * 1024, 8)).await;
    let fields = "a".repeat(31 * 1024);
    let head = format!("POST /echo HTTP/1.1\r\ncontent-length: 2\r\nx-large: {fields}\r\n\r\nok");
    let mut stream = connect(&server, head.as_bytes()).await;
    assert!(read_response(&mut stream).await.starts_with("HTTP/1.1 200 "));
}

/// Guards against a connection that keeps its thread busy with requests whose responses
/// are not read.
#[tokio::test]
async fn connection_with_many_pipelined_requests_is_closed_after_some() {
    let server = open(options(1024 * 1024, 8)).await;
    let mut stream = connect(&server, &REQUEST.repeat(100)).await;
    let mut responses = String::new();
    stream.read_to_string(&mut responses).await.unwrap();
    let count = responses.matches("HTTP/1.1 200 ").count();
    assert!((2..100).contains(&count), "{count}");
    assert!(responses.to_lowercase().contains("connection: close"));
    // Without pipelining a connection carries any number of requests.
    let mut stream = connect(&server, b"").await;
    for _ in 0..100 {
        stream.write_all(REQUEST).await.unwrap();
        assert!(read_response(&mut stream).await.starts_with("HTTP/1.1 200 "));
    }
}
