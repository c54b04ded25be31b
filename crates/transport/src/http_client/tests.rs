//! Tests of the connection pool against minimal servers.

use std::time::Duration;

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::*;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

fn get(addr: SocketAddr) -> Request<Full<Bytes>> {
    request_builder(Method::GET, addr, "/").body(Full::default()).unwrap()
}

async fn read_head(stream: &mut TcpStream) -> bool {
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\n") {
        let mut buf = [0; 256];
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => seen.extend_from_slice(&buf[..count]),
        }
    }
    true
}

#[tokio::test]
async fn connection_is_reused_after_a_complete_response() {
    let (listener, addr) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        while read_head(&mut stream).await {
            stream.write_all(RESPONSE).await.unwrap();
        }
    });
    let http = open();
    for _ in 0..3 {
        let response = http.send(get(addr)).await.unwrap();
        assert_eq!(read_bytes(response.into_body()).await.unwrap(), "ok");
    }
    assert_eq!((http.counters().opened(), http.counters().reused()), (1, 2));
}

#[tokio::test]
async fn closed_port_refuses_the_connection() {
    let (listener, addr) = listen().await;
    drop(listener);
    assert_eq!(open().send(get(addr)).await.unwrap_err(), HttpError::ConnectionRefused);
}

#[tokio::test]
async fn reused_connection_closed_after_the_request_is_not_retried() {
    let (listener, addr) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(RESPONSE).await.unwrap();
        // Reads the whole second request, then exits and closes the listener.
        read_head(&mut stream).await;
    });
    let http = open();
    read_bytes(http.send(get(addr)).await.unwrap().into_body()).await.unwrap();
    assert_eq!(http.send(get(addr)).await.unwrap_err(), HttpError::Interrupted);
    assert_eq!(http.counters().opened(), 1);
}

#[tokio::test]
async fn idle_connection_closed_by_the_server_is_replaced() {
    let (listener, addr) = listen().await;
    let (closed_tx, closed_rx) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(RESPONSE).await.unwrap();
        drop(stream);
        closed_tx.send(()).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(RESPONSE).await.unwrap();
    });
    let http = open();
    read_bytes(http.send(get(addr)).await.unwrap().into_body()).await.unwrap();
    closed_rx.await.unwrap();
    while http.pool.has_open_idle(addr) {
        tokio::task::yield_now().await;
    }
    let response = http.send(get(addr)).await.unwrap();
    assert_eq!(read_bytes(response.into_body()).await.unwrap(), "ok");
}

#[tokio::test]
async fn unresponsive_exchange_closes_idle_connections_and_keeps_the_address() {
    let (listener, addr) = listen().await;
    tokio::spawn(async move {
        let (responses_tx, responses_rx) = tokio::sync::watch::channel(0);
        let mut accepted = 0;
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            accepted += 1;
            let old = accepted <= 2;
            let (responses_tx, responses_rx) = (responses_tx.clone(), responses_rx.clone());
            tokio::spawn(async move {
                let mut responses = 0;
                while read_head(&mut stream).await {
                    // The first two connections stop responding after one response each.
                    if old && 1 <= responses {
                        std::future::pending::<()>().await;
                    }
                    responses += 1;
                    responses_tx.send_modify(|it| *it += 1);
                    let mut both = responses_rx.clone();
                    both.wait_for(|it| 2 <= *it).await.unwrap();
                    stream.write_all(RESPONSE).await.unwrap();
                }
            });
        }
    });
    let http = open();
    let (a, b) = tokio::join!(http.send(get(addr)), http.send(get(addr)));
    read_bytes(a.unwrap().into_body()).await.unwrap();
    read_bytes(b.unwrap().into_body()).await.unwrap();
    let res = tokio::time::timeout(Duration::from_millis(300), http.send(get(addr))).await;
    assert!(res.is_err(), "the unresponsive connection sent a response");
    assert_eq!(http.counters().retired(), 2);
    let response = http.send(get(addr)).await.unwrap();
    assert_eq!(read_bytes(response.into_body()).await.unwrap(), "ok");
}

#[tokio::test]
async fn late_response_of_an_abandoned_exchange_is_discarded() {
    let (listener, addr) = listen().await;
    let (abandoned_tx, abandoned_rx) = tokio::sync::oneshot::channel::<()>();
    let (sent_tx, sent_rx) = tokio::sync::oneshot::channel::<()>();
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        read_head(&mut first).await;
        abandoned_rx.await.unwrap();
        // The peer may have closed the connection already.
        first.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate").await.ok();
        sent_tx.send(()).unwrap();
        let (mut second, _) = listener.accept().await.unwrap();
        read_head(&mut second).await;
        second.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine").await.unwrap();
        read_head(&mut second).await;
    });
    let http = open();
    let res = tokio::time::timeout(Duration::from_millis(20), http.send(get(addr))).await;
    assert!(res.is_err());
    abandoned_tx.send(()).unwrap();
    sent_rx.await.unwrap();
    let response = http.send(get(addr)).await.unwrap();
    assert_eq!(read_bytes(response.into_body()).await.unwrap(), "mine");
}

#[tokio::test]
async fn connection_is_not_reused_after_the_server_keep_alive_timeout() {
    for (keep_alive, opened) in [("timeout=0", 2), ("timeout=60, max=9", 1), ("max=9", 1)] {
        let (listener, addr) = listen().await;
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    while read_head(&mut stream).await {
                        let head = format!("HTTP/1.1 200 OK\r\nkeep-alive: {keep_alive}\r\n");
                        stream.write_all(head.as_bytes()).await.unwrap();
                        stream.write_all(b"content-length: 2\r\n\r\nok").await.unwrap();
                    }
                });
            }
        });
        let http = open();
        for _ in 0..2 {
            let response = http.send(get(addr)).await.unwrap();
            assert_eq!(read_bytes(response.into_body()).await.unwrap(), "ok");
        }
        assert_eq!(http.counters().opened(), opened, "{keep_alive}");
    }
}

/// Sends `start` and then `filler` without end, until the client closes. Returns
/// the number of bytes that were taken.
async fn send_without_end(listener: TcpListener, start: &'static [u8], filler: &[u8]) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    read_head(&mut stream).await;
    stream.write_all(start).await.unwrap();
    let chunk = filler.repeat(4_096 / filler.len());
    let mut taken = 0;
    while stream.write_all(&chunk).await.is_ok() {
        taken += chunk.len();
        // The client reads each chunk before the sockets buffer the next ones.
        tokio::task::yield_now().await;
    }
    taken
}

/// Limit on what a client reads of an invalid response, with what the sockets
/// buffer.
const MAX_INVALID_BYTES: usize = 16 * 1024 * 1024;

#[tokio::test]
async fn response_head_without_end_closes_the_connection() {
    for filler in ["x-a: b\r\n", "noise", "\r\n"] {
        let (listener, addr) = listen().await;
        let server =
            tokio::spawn(send_without_end(listener, b"HTTP/1.1 200 OK\r\nx: ", filler.as_bytes()));
        let response = open().send(get(addr)).await;
        // An empty line ends the head; what follows is the body.
        match response {
            Ok(response) => drop(read_bytes(response.into_body()).await),
            Err(error) => assert_eq!(error, HttpError::Interrupted),
        }
        assert!(server.await.unwrap() < MAX_INVALID_BYTES, "{filler:?}");
    }
}

#[tokio::test]
async fn noise_without_end_in_place_of_a_response_closes_the_connection() {
    let (listener, addr) = listen().await;
    let server = tokio::spawn(send_without_end(listener, b"", b"noise"));
    assert_eq!(open().send(get(addr)).await.unwrap_err(), HttpError::Interrupted);
    assert!(server.await.unwrap() < MAX_INVALID_BYTES);
}

#[tokio::test]
async fn interim_responses_without_end_last_until_the_request_is_dropped() {
    let (listener, addr) = listen().await;
    let server = tokio::spawn(send_without_end(listener, b"", b"HTTP/1.1 100 Continue\r\n\r\n"));
    let http = open();
    let sent = tokio::time::timeout(Duration::from_millis(200), http.send(get(addr))).await;
    assert!(sent.is_err(), "no response");
    server.await.unwrap();
}

#[tokio::test]
async fn body_without_end_is_read_up_to_the_limit_and_closes_the_connection() {
    let (listener, addr) = listen().await;
    let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n";
    let server = tokio::spawn(send_without_end(listener, head, b"noise"));
    let response = open().send(get(addr)).await.unwrap();
    assert_eq!(read_bytes(response.into_body()).await.unwrap_err(), HttpError::Interrupted);
    assert!(server.await.unwrap() < MAX_INVALID_BYTES);
}

#[tokio::test]
async fn bytes_without_end_after_a_response_reach_no_other_request() {
    let (listener, addr) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(RESPONSE).await.unwrap();
        while stream.write_all(&RESPONSE.repeat(8)).await.is_ok() {}
        let (mut next, _) = listener.accept().await.unwrap();
        read_head(&mut next).await;
        next.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown").await.unwrap();
    });
    let http = open();
    let first = http.send(get(addr)).await.unwrap();
    assert_eq!(read_bytes(first.into_body()).await.unwrap(), "ok");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let second = http.send(get(addr)).await.unwrap();
    assert_eq!(read_bytes(second.into_body()).await.unwrap(), "own");
    server.await.unwrap();
}

#[tokio::test]
async fn lost_keep_alive_probe_does_not_close_a_quiet_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    connection::set_options(&stream).unwrap();
    let socket = SockRef::from(&stream);
    let quiet = socket.tcp_keepalive_time().unwrap();
    let probes = socket.tcp_keepalive_interval().unwrap() * socket.tcp_keepalive_retries().unwrap();
    // The user timeout ends the probes, whatever their number.
    assert!(quiet + probes <= socket.tcp_user_timeout().unwrap().unwrap());
}
