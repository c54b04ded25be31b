//! Cases of peers that send too much, too slowly, or nonsense.

use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use viz::{Request, RequestExt};

use super::*;

const ANY_PORT: &str = "127.0.0.1:0";

async fn open(options: ServerOptions) -> HttpServer {
    let router = Router::new()
        .post("/echo", |mut req: Request| async move { Ok::<_, viz::Error>(req.text().await?) });
    bind_with(ANY_PORT.parse().unwrap(), router, options).await.unwrap()
}

async fn exchange(server: &HttpServer, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    stream.write_all(sent).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test]
async fn bad_heads_get_a_numbered_code() {
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
        let answer = exchange(&server, sent.as_bytes()).await;
        let what = &sent[..sent.len().min(40)];
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{what}: {answer}");
        assert!(answer.contains(code), "{what}: {answer}");
        assert!(answer.contains("\"outcome\":\"not_run\""), "{what}: {answer}");
    }
}

#[tokio::test]
async fn body_that_looks_like_a_refusal_is_passed_on() {
    let server = open(ServerOptions::default()).await;
    let body = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
    let head = format!(
        "POST /echo HTTP/1.1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let answer = exchange(&server, format!("{head}{body}").as_bytes()).await;
    assert!(answer.ends_with(body), "{answer}");
}

#[tokio::test(start_paused = true)]
async fn slow_head_is_answered_and_idle_connection_closed() {
    let server = open(ServerOptions::default()).await;
    let answer = exchange(&server, b"POST /echo HTTP/1.1\r\nhost: ").await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains("\"code\":1005"), "{answer}");
    assert_eq!(exchange(&server, b"").await, "");
}

#[tokio::test]
async fn connection_above_the_bound_is_told_so() {
    let server = open(ServerOptions { max_connections: 1, ..ServerOptions::default() }).await;
    let mut first = TcpStream::connect(server.local_addr()).await.unwrap();
    first.write_all(b"POST /echo HTTP/1.1\r\ncontent-length: 2\r\n\r\no").await.unwrap();
    let answer = exchange(&server, b"POST /echo HTTP/1.1\r\ncontent-length: 0\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("\"code\":2002"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    first.write_all(b"k").await.unwrap();
    let mut buf = [0; 1024];
    let count = first.read(&mut buf).await.unwrap();
    assert!(buf[..count].starts_with(b"HTTP/1.1 200 "));
}

#[tokio::test(start_paused = true)]
async fn peer_that_takes_no_byte_is_let_go() {
    let router = Router::new().get("/", |_: Request| async {
        Ok::<_, viz::Error>(viz::Response::new(Full::from("a".repeat(64 * 1024 * 1024)).into()))
    });
    let server = bind(ANY_PORT.parse().unwrap(), router).await.unwrap();
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    stream.readable().await.unwrap();
    server.stop().await;
}
