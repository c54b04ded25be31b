//! Tests of peers that send too much, too slowly, or malformed requests.

use std::sync::atomic::{AtomicUsize, Ordering};

use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use viz::{Request, RequestExt};

use super::*;

mod memory;

const ANY_PORT: &str = "127.0.0.1:0";

async fn open(options: ServerOptions) -> HttpServer {
    let router = Router::new()
        .post("/echo", |mut req: Request| async move { Ok::<_, viz::Error>(req.text().await?) });
    bind_with(ANY_PORT.parse().unwrap(), router, options).await.unwrap()
}

async fn exchange(server: &HttpServer, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    stream.write_all(sent).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

#[tokio::test]
async fn invalid_heads_get_a_numbered_code() {
    let many: String = (0..100).map(|idx| format!("x-{idx}: 1\r\n")).collect();
    let large = format!("x-large: {}\r\n", "a".repeat(1024 * 1024));
    let long_uri = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(70_000));
    let unserved = "GET /none HTTP/1.1\r\nconnection: close\r\n\r\n";
    let cases = [
        ("nonsense\r\n\r\n".to_owned(), "400", "\"code\":1001"),
        (format!("GET / HTTP/1.1\r\n{many}\r\n"), "413", "\"code\":1004"),
        (format!("GET / HTTP/1.1\r\n{large}\r\n"), "413", "\"code\":1004"),
        (long_uri, "413", "\"code\":1004"),
        (unserved.to_owned(), "404", "\"code\":1003"),
    ];
    let server = open(ServerOptions::default()).await;
    for (sent, status, code) in cases {
        let response = exchange(&server, sent.as_bytes()).await;
        let what = &sent[..sent.len().min(40)];
        assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{what}: {response}");
        assert!(response.contains(code), "{what}: {response}");
        assert!(response.contains("\"outcome\":\"not_run\""), "{what}: {response}");
    }
}

#[tokio::test]
async fn body_that_looks_like_an_error_response_is_sent_unchanged() {
    let server = open(ServerOptions::default()).await;
    let body = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
    let head = format!(
        "POST /echo HTTP/1.1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let response = exchange(&server, format!("{head}{body}").as_bytes()).await;
    assert!(response.ends_with(body), "{response}");
}

#[tokio::test(start_paused = true)]
async fn slow_head_gets_a_response_and_idle_connection_is_closed() {
    let server = open(ServerOptions::default()).await;
    let response = exchange(&server, b"POST /echo HTTP/1.1\r\nhost: ").await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(response.contains("\"code\":1005"), "{response}");
    assert_eq!(exchange(&server, b"").await, "");
}

#[tokio::test]
async fn smuggled_request_is_not_served() {
    let served = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&served);
    let router = Router::new().any("/*", move |mut req: Request| {
        let count = Arc::clone(&count);
        async move {
            let body = req.bytes().await?;
            count.fetch_add(1, Ordering::Relaxed);
            Ok::<_, viz::Error>(body.len().to_string())
        }
    });
    let server = bind(ANY_PORT.parse().unwrap(), router).await.unwrap();
    let hidden = "GET /hidden HTTP/1.1\r\nhost: a\r\n\r\n";
    let chunked = format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
    for sent in [
        format!(
            "POST /a HTTP/1.1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n{chunked}"
        ),
        format!(
            "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n{chunked}"
        ),
        format!("POST /a HTTP/1.1\r\ncontent-length: 0\r\ncontent-length: 38\r\n\r\n{hidden}"),
        format!("POST /a HTTP/1.1\r\ncontent-length: 38\r\ncontent-length: 38\r\n\r\n{hidden}"),
        format!("POST /a HTTP/1.1\r\ncontent-length : 38\r\n\r\n{hidden}"),
        format!("POST /a HTTP/1.1\r\na: b\r\n content-length: 38\r\n\r\n{hidden}"),
        format!("POST /a HTTP/1.1\na: b\n\n{hidden}"),
    ] {
        let response = exchange(&server, sent.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 400 "), "{sent:?}: {response}");
        assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{sent:?}: {response}");
    }
    assert_eq!(served.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn changed_limits_apply_to_open_connections() {
    let limits = Arc::new(ConnectionLimits::default());
    let options = ServerOptions { limits: Arc::clone(&limits), ..ServerOptions::default() };
    let server = open(options).await;
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    let request = b"POST /echo HTTP/1.1\r\ncontent-length: 2\r\n\r\nok";
    stream.write_all(request).await.unwrap();
    let mut buf = [0; 1024];
    let count = stream.read(&mut buf).await.unwrap();
    assert!(buf[..count].starts_with(b"HTTP/1.1 200 "));
    limits.set(64, Duration::from_secs(1), Duration::from_secs(30));
    let idle_since = tokio::time::Instant::now();
    tokio::time::sleep(Duration::from_secs(20)).await;
    stream.write_all(request).await.unwrap();
    let count = stream.read(&mut buf).await.unwrap();
    assert!(buf[..count].starts_with(b"HTTP/1.1 200 "), "idle timeout has not passed yet");
    assert_eq!(stream.read(&mut buf).await.unwrap(), 0, "closed");
    assert!(Duration::from_secs(50) <= idle_since.elapsed());
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(64));
    let response = exchange(&server, long.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
}

#[tokio::test(start_paused = true)]
async fn idle_time_restarts_after_each_response() {
    let server = open(ServerOptions::default()).await;
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    let mut buf = [0; 1024];
    for _ in 0..10 {
        stream.write_all(b"POST /echo HTTP/1.1\r\ncontent-length: 0\r\n\r\n").await.unwrap();
        let count = stream.read(&mut buf).await.unwrap();
        assert!(buf[..count].starts_with(b"HTTP/1.1 200 "));
        // Stays within the idle timeout of ten seconds.
        tokio::time::sleep(Duration::from_secs(8)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn connection_with_an_open_exchange_is_not_idle() {
    let router = Router::new().get("/", |_: Request| async {
        tokio::time::sleep(Duration::from_secs(60)).await;
        Ok::<_, viz::Error>("late")
    });
    let server = bind(ANY_PORT.parse().unwrap(), router).await.unwrap();
    let sent = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";
    let response = exchange(&server, sent).await;
    assert!(response.starts_with("HTTP/1.1 200 ") && response.ends_with("late"), "{response}");
}

#[tokio::test]
async fn connection_above_the_limit_gets_a_503() {
    let server = open(ServerOptions { max_connections: 1, ..ServerOptions::default() }).await;
    let mut first = TcpStream::connect(server.local_addr()).await.unwrap();
    first.write_all(b"POST /echo HTTP/1.1\r\ncontent-length: 2\r\n\r\no").await.unwrap();
    let response = exchange(&server, b"POST /echo HTTP/1.1\r\ncontent-length: 0\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("\"code\":2002"), "{response}");
    assert!(response.contains("retry-after: 1"), "{response}");
    first.write_all(b"k").await.unwrap();
    let mut buf = [0; 1024];
    let count = first.read(&mut buf).await.unwrap();
    assert!(buf[..count].starts_with(b"HTTP/1.1 200 "));
}

#[tokio::test(start_paused = true)]
async fn connection_of_a_peer_that_reads_nothing_is_closed() {
    let router = Router::new().get("/", |_: Request| async {
        Ok::<_, viz::Error>(viz::Response::new(Full::from("a".repeat(64 * 1024 * 1024)).into()))
    });
    let server = bind(ANY_PORT.parse().unwrap(), router).await.unwrap();
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    stream.readable().await.unwrap();
    server.stop().await;
}
