//! Starts node processes for tests and sends requests to them.
#![allow(dead_code, reason = "each test uses its part")]

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use citrongw::demo::{DEMO_KEY, Fakes};
use citrongw_transport::http_client::{self, HttpClient, HttpError};
use http::{Method, Request, StatusCode, request::Builder};
use http_body_util::Full;

/// Running node process; killed when dropped.
pub(crate) struct NodeProcess {
    child: Child,
    /// Address that callers connect to.
    pub(crate) addr: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Starts a node process that uses the fakes.
pub(crate) fn start_node(fakes: &Fakes) -> NodeProcess {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("citrongw-test-{}-{count}.ini", std::process::id());
    let path = std::env::temp_dir().join(name);
    let settings = format!(
        "[node]\nzone = a\nregion = r\ncaller-addr = 127.0.0.1:0\n\
         peer-addr = 127.0.0.1:0\nadmin-addr = 127.0.0.1:0\nbalancer-lag = 0s\n\
         [store]\naddr = {}\n[platform]\ninstance-list-addr = {p}\nweight-store-addr = {p}\n",
        fakes.store_addr,
        p = fakes.platform_addr,
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

/// Builds a request with the demo's API key.
pub(crate) fn request(method: Method, addr: SocketAddr, path: &str) -> Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("authorization", format!("Bearer {DEMO_KEY}"))
}

/// Sends a request and reads the response.
pub(crate) async fn try_send(
    http: &HttpClient,
    builder: Builder,
    body: &str,
) -> Result<(StatusCode, String), HttpError> {
    let request = builder.body(Full::from(Bytes::from(body.to_owned()))).unwrap();
    let response = http.send(request).await?;
    let status = response.status();
    let body = http_client::read_bytes(response.into_body()).await?;
    Ok((status, String::from_utf8(body.to_vec()).unwrap()))
}

/// Sends a request that must get a response.
pub(crate) async fn send(http: &HttpClient, builder: Builder, body: &str) -> (StatusCode, String) {
    try_send(http, builder, body).await.unwrap()
}
