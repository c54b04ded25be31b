//! Server of the part of the etcd v3 JSON API that citrongw uses.

use std::{io, net::SocketAddr, time::Duration};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use bytes::Bytes;
use citrongw_protocol::store::{
    Change, Entry, Expected, Key, LeaseId, Snapshot, Store, StoreError, WatchEvent, Write,
    WriteResult,
};
use citrongw_state::id::Revision;
use citrongw_transport::http_server::{self, HttpServer};
use futures::StreamExt;
use serde_json::{Value, json};
use viz::{Body, Request, RequestExt, Response, ResponseExt, Router, StatusCode};

use super::mem::MemStore;
use crate::http;

/// Serves `store` on `addr`.
pub async fn bind(addr: SocketAddr, store: MemStore) -> io::Result<HttpServer> {
    let range = with_store(store.clone(), range);
    let txn = with_store(store.clone(), txn);
    let grant = with_store(store.clone(), grant);
    let keepalive = with_store(store.clone(), keepalive);
    let router = Router::new()
        .post("/v3/kv/range", range)
        .post("/v3/kv/txn", txn)
        .post("/v3/lease/grant", grant)
        .post("/v3/lease/keepalive", keepalive)
        .post("/v3/watch", move |req| watch(store.clone(), req));
    http_server::bind(addr, router).await
}

type CallResult = Result<Value, StoreError>;

fn with_store<F, R>(
    store: MemStore,
    call: F,
) -> impl Fn(Request) -> futures::future::BoxFuture<'static, viz::Result<Response>> + Clone
where
    F: Fn(MemStore, Value) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = CallResult> + Send + 'static,
{
    move |mut req: Request| {
        let store = store.clone();
        let call = call.clone();
        Box::pin(async move {
            let body: Value = req.json().await?;
            Ok(match call(store, body).await {
                Ok(response) => http::json(StatusCode::OK, &response),
                Err(error) => error_response(&error),
            })
        })
    }
}

fn error_response(error: &StoreError) -> Response {
    let status = match error {
        StoreError::Refused { .. } => StatusCode::BAD_REQUEST,
        StoreError::NotReached | StoreError::NoResponse => StatusCode::SERVICE_UNAVAILABLE,
    };
    http::json(status, &json!({ "error": error.to_string() }))
}

async fn range(store: MemStore, body: Value) -> CallResult {
    let key = read_key(&body["key"]);
    let snapshot =
        if body["range_end"].is_string() { store.list(key).await? } else { store.get(key).await? };
    Ok(snapshot_json(&snapshot))
}

async fn txn(store: MemStore, body: Value) -> CallResult {
    let compare = &body["compare"][0];
    let expected = match compare["target"].as_str() {
        Some("MOD") => Expected::Revision(Revision::new(read_number(&compare["mod_revision"]))),
        _ => Expected::Absent,
    };
    let put = &body["success"][0]["request_put"];
    let change = if put.is_object() {
        Change::Put(Bytes::from(decode(&put["value"])))
    } else {
        Change::Delete
    };
    let lease = put["lease"].as_str().and_then(|id| id.parse().ok()).map(LeaseId::new);
    let write = Write { key: read_key(&compare["key"]), expected, change, lease };
    let res = store.compare_and_swap(write).await?;
    let revision = store.inspect(|core| core.revision());
    Ok(match res {
        WriteResult::Committed(revision) => {
            json!({ "header": header(revision), "succeeded": true })
        }
        WriteResult::Conflict(entry) => {
            let kvs: Vec<Value> = entry.iter().map(entry_json).collect();
            json!({
                "header": header(revision),
                "responses": [{ "response_range": { "kvs": kvs } }],
            })
        }
    })
}

async fn grant(store: MemStore, body: Value) -> CallResult {
    let ttl_s = read_number(&body["TTL"]);
    let lease = store.grant_lease(Duration::from_secs(ttl_s)).await?;
    Ok(json!({ "ID": lease.id.to_string(), "TTL": ttl_s.to_string() }))
}

async fn keepalive(store: MemStore, body: Value) -> CallResult {
    let lease = LeaseId::new(i64::try_from(read_number(&body["ID"])).unwrap_or_default());
    let ttl = match store.renew_lease(lease).await {
        Ok(()) => "1",
        Err(StoreError::Refused { .. }) => "0",
        Err(error) => return Err(error),
    };
    Ok(json!({ "result": { "ID": lease.id.to_string(), "TTL": ttl } }))
}

async fn watch(store: MemStore, mut req: Request) -> viz::Result<Response> {
    let body: Value = req.json().await?;
    let create = &body["create_request"];
    let from = Revision::new(read_number(&create["start_revision"]));
    let events = match store.watch(read_key(&create["key"]), from).await {
        Ok(events) => events,
        Err(error) => return Ok(error_response(&error)),
    };
    let created = json!({ "result": { "header": header(store.inspect(|it| it.revision())) } });
    let first = futures::stream::once(async move { line(&created) });
    let rest = events.map(|event| match event {
        Ok(event) => line(&event_json(&event)),
        Err(error) => line(&json!({ "error": error.to_string() })),
    });
    let body = Body::from_stream(first.chain(rest).map(Ok::<_, io::Error>));
    Ok(Response::with(body, "application/json"))
}

fn line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

fn event_json(event: &WatchEvent) -> Value {
    let (kind, kv, revision) = match event {
        WatchEvent::Put(entry) => ("PUT", entry_json(entry), entry.revision),
        WatchEvent::Deleted(key, revision) => {
            let kv = json!({ "key": encode(key.as_str()), "mod_revision": revision.to_string() });
            ("DELETE", kv, *revision)
        }
        WatchEvent::Progress(revision) => {
            return json!({ "result": { "header": header(*revision) } });
        }
    };
    json!({ "result": { "header": header(revision), "events": [{ "type": kind, "kv": kv }] } })
}

fn snapshot_json(snapshot: &Snapshot) -> Value {
    let kvs: Vec<Value> = snapshot.entries.iter().map(entry_json).collect();
    json!({ "header": header(snapshot.revision), "kvs": kvs, "count": kvs.len().to_string() })
}

fn entry_json(entry: &Entry) -> Value {
    json!({
        "key": encode(entry.key.as_str()),
        "value": encode(&entry.value),
        "mod_revision": entry.revision.to_string(),
    })
}

fn header(revision: Revision) -> Value {
    json!({ "revision": revision.to_string() })
}

fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64_STANDARD.encode(bytes)
}

fn decode(value: &Value) -> Vec<u8> {
    BASE64_STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

fn read_key(value: &Value) -> Key {
    String::from_utf8_lossy(&decode(value)).into_owned().into()
}

fn read_number(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).or(value.as_u64()).unwrap_or_default()
}
