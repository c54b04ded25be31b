//! At-most-once calls through node processes, of which some are killed.

mod common;

use std::{net::SocketAddr, time::Duration};

use citrongw::demo::{self, Surroundings};
use citrongw_transport::http_client::{self, HttpClient};
use common::{NodeProcess, start_node};
use http::{Method, StatusCode};

const BODY: &str = "climber 7 to palm 3";
const RESENDS: usize = 20;
/// Time for which the call runs.
const LATENCY: Duration = Duration::from_millis(400);
const PAUSE: Duration = Duration::from_millis(20);
/// Looks at something that must come about, at most.
const MAX_LOOKS: usize = 1_000;

async fn start_nodes(surroundings: &Surroundings, http: &HttpClient) -> Vec<NodeProcess> {
    let nodes: Vec<NodeProcess> = (0..4).map(|_| start_node(surroundings)).collect();
    for node in &nodes {
        for _ in 0..MAX_LOOKS {
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

/// Sends the call through `first`, resends it through all nodes while two of
/// them are killed midway, and gives what the resends got.
async fn resend_while_killing(
    surroundings: &Surroundings,
    http: &HttpClient,
    nodes: &mut Vec<NodeProcess>,
    first: usize,
) -> Vec<Option<(StatusCode, String)>> {
    surroundings.runs.set_latency(LATENCY);
    let addrs: Vec<SocketAddr> = nodes.iter().map(|it| it.addr).collect();
    let send = |addr| {
        let http = http.clone();
        tokio::spawn(async move { dispatch(&http, addr).await })
    };
    let mut tasks = vec![send(addrs[first])];
    for _ in 0..MAX_LOOKS {
        if surroundings.runs.run_count(BODY) == 1 {
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
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await.unwrap());
    }
    answers
}

fn assert_ran_once_or_unanswered(answers: &[Option<(StatusCode, String)>]) {
    for (status, body) in answers.iter().flatten() {
        let ran_once = *status == StatusCode::OK && body.contains("\"runs\":1");
        let unknown = *status == StatusCode::CONFLICT && body.contains("\"outcome\":\"unknown\"");
        assert!(ran_once || unknown, "{status} {body}");
    }
}

#[tokio::test]
async fn resends_get_the_answer_of_the_one_run() {
    let surroundings = demo::open_surroundings().await.unwrap();
    let http = http_client::open();
    let mut nodes = start_nodes(&surroundings, &http).await;
    let answers = resend_while_killing(&surroundings, &http, &mut nodes, 2).await;
    assert_ran_once_or_unanswered(&answers);
    for node in &nodes {
        let (status, body) = dispatch(&http, node.addr).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{body}");
        assert!(body.contains("\"runs\":1"), "{body}");
    }
    assert_eq!(surroundings.runs.run_count(BODY), 1);
}

#[tokio::test]
async fn a_call_whose_node_died_stays_unknown() {
    let surroundings = demo::open_surroundings().await.unwrap();
    let http = http_client::open();
    let mut nodes = start_nodes(&surroundings, &http).await;
    let answers = resend_while_killing(&surroundings, &http, &mut nodes, 0).await;
    assert_ran_once_or_unanswered(&answers);
    tokio::time::sleep(LATENCY).await;
    for node in &nodes {
        let (status, body) = dispatch(&http, node.addr).await.unwrap();
        assert_eq!(status, StatusCode::CONFLICT, "{body}");
        assert!(body.contains("\"outcome\":\"unknown\""), "{body}");
    }
    assert_eq!(surroundings.runs.run_count(BODY), 1);
}
