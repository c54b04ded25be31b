//! Tests of at-most-once calls through node processes, some of which are killed.

mod common;

use std::{net::SocketAddr, time::Duration};

use citrongw::demo::{self, Fakes};
use citrongw_transport::http_client::{self, HttpClient};
use common::{NodeProcess, start_node};
use http::{Method, StatusCode};

const BODY: &str = "climber 7 to palm 3";
const RESENDS: usize = 20;
/// Time that the backend server takes to run the call.
const LATENCY: Duration = Duration::from_millis(400);
const PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of polls for a condition.
const MAX_POLLS: usize = 1_000;

async fn start_nodes(fakes: &Fakes, http: &HttpClient) -> Vec<NodeProcess> {
    let nodes: Vec<NodeProcess> = (0..4).map(|_| start_node(fakes)).collect();
    for node in &nodes {
        for _ in 0..MAX_POLLS {
            let read = common::request(Method::GET, node.addr, "/services/climbers/state");
            if common::send(http, read, "").await.0 == StatusCode::OK {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
    nodes
}

async fn dispatch(http: &HttpClient, addr: SocketAddr) -> Option<(StatusCode, String)> {
    let call = common::request(Method::POST, addr, "/services/climbers/dispatch")
        .header("idempotency-key", "dispatch-1");
    common::try_send(http, call, BODY).await.ok()
}

/// Sends the call through `first`, resends it through all nodes while two of them
/// are killed, and returns the responses to the resends.
async fn resend_while_killing(
    fakes: &Fakes,
    http: &HttpClient,
    nodes: &mut Vec<NodeProcess>,
    first: usize,
) -> Vec<Option<(StatusCode, String)>> {
    fakes.runs.set_latency(LATENCY);
    let addrs: Vec<SocketAddr> = nodes.iter().map(|it| it.addr).collect();
    let send = |addr| {
        let http = http.clone();
        tokio::spawn(async move { dispatch(&http, addr).await })
    };
    let mut tasks = vec![send(addrs[first])];
    for _ in 0..MAX_POLLS {
        if fakes.runs.run_count(BODY) == 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    for resend in 0..RESENDS {
        tasks.push(send(addrs[resend % addrs.len()]));
        if resend == RESENDS / 2 {
            nodes.drain(..2);
        }
    }
    let mut responses = Vec::new();
    for task in tasks {
        responses.push(task.await.unwrap());
    }
    responses
}

fn assert_ran_once_or_unknown(responses: &[Option<(StatusCode, String)>]) {
    for (status, body) in responses.iter().flatten() {
        let ran_once = *status == StatusCode::OK && body.contains("\"runs\":1");
        let unknown = *status == StatusCode::CONFLICT && body.contains("\"outcome\":\"unknown\"");
        assert!(ran_once || unknown, "{status} {body}");
    }
}

#[tokio::test]
async fn resends_get_the_response_of_the_single_run() {
    let fakes = demo::start_fakes().await.unwrap();
    let http = http_client::open();
    let mut nodes = start_nodes(&fakes, &http).await;
    let responses = resend_while_killing(&fakes, &http, &mut nodes, 2).await;
    assert_ran_once_or_unknown(&responses);
    for node in &nodes {
        let (status, body) = dispatch(&http, node.addr).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{body}");
        assert!(body.contains("\"runs\":1"), "{body}");
    }
    assert_eq!(fakes.runs.run_count(BODY), 1);
}

#[tokio::test]
async fn a_call_whose_node_died_stays_unknown() {
    let fakes = demo::start_fakes().await.unwrap();
    let http = http_client::open();
    let mut nodes = start_nodes(&fakes, &http).await;
    let responses = resend_while_killing(&fakes, &http, &mut nodes, 0).await;
    assert_ran_once_or_unknown(&responses);
    tokio::time::sleep(LATENCY).await;
    for node in &nodes {
        let (status, body) = dispatch(&http, node.addr).await.unwrap();
        assert_eq!(status, StatusCode::CONFLICT, "{body}");
        assert!(body.contains("\"outcome\":\"unknown\""), "{body}");
    }
    assert_eq!(fakes.runs.run_count(BODY), 1);
}
