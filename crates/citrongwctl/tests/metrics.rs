//! The metrics page counts requests and contains no secret.

mod common;

use citrongw::demo::DEMO_KEY;
use citrongw_transport::http_client;
use common::spawn_demo;
use http::{Method, Request};
use http_body_util::Full;

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_counted_in_the_metrics() {
    let demo = spawn_demo().await;
    let http = http_client::open();
    for model in ["plans", "no-such-model"] {
        let body = serde_json::json!({ "model": model, "prompt": "climb", "max_tokens": 4 });
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/completions", demo.node.caller_addr()))
            .header("authorization", format!("Bearer {DEMO_KEY}"))
            .body(Full::from(body.to_string()))
            .unwrap();
        let response = http.send(request).await.unwrap();
        http_client::read_bytes(response.into_body()).await.unwrap();
    }
    let url = format!("http://{}/metrics", demo.node.admin_addr());
    let request = Request::get(url).body(Full::default()).unwrap();
    let response = http.send(request).await.unwrap();
    let page = http_client::read_bytes(response.into_body()).await.unwrap();
    let page = String::from_utf8(page.to_vec()).unwrap();
    let expected = [
        "citrongw_requests_total{organisation=\"johor-estates\",code=\"0\",outcome=\"completed\"} 1",
        "citrongw_requests_total{organisation=\"johor-estates\",code=\"1006\",outcome=\"not_run\"} 1",
        "citrongw_request_time_seconds_count 2",
        "citrongw_first_token_time_seconds_count 1",
        "citrongw_replicas_serving{model=\"plans\"} 2",
        "citrongw_group_downtime_seconds_total{model=\"plans\",cause=",
        "citrongw_store_reads_total",
        "citrongw_peer_sent_bytes_total",
        "citrongw_claims_won_total 0",
        "citrongw_process_resident_bytes",
        "# EOF",
    ];
    for line in expected {
        assert!(page.contains(line), "{line} is not in\n{page}");
    }
    assert!(!page.contains(DEMO_KEY));
}
