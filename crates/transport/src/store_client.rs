//! Client of the key-value service, over the JSON gateway of the etcd v3 API.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use bytes::Bytes;
use citrongw_protocol::store::{
    Change, Entry, Expected, Key, LeaseId, Snapshot, Store, StoreError, StoreResult, WatchEvent,
    Write, WriteResult,
};
use citrongw_state::id::Revision;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream, stream::BoxStream};
use serde_json::{Value, json};

use crate::{
    event_stream,
    http_client::{self, HttpClient, HttpError, ResponseTimeouts},
};

/// Client of the key-value service at one address.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

/// Creates a client. The response to a call begins within `timeout` and has no
/// longer pause; a watch times out only until it is opened.
pub fn open(addr: SocketAddr, timeout: Duration) -> StoreClient {
    StoreClient { http: http_client::open(), addr, timeout }
}

impl StoreClient {
    async fn call(&self, path: &str, body: Value) -> StoreResult<Value> {
        let timeouts = ResponseTimeouts::of_call(self.timeout);
        self.http.post_large_json(self.addr, path, &body, timeouts).await.map_err(store_error)
    }

    async fn range(&self, key: Key, range_end: Option<Vec<u8>>) -> StoreResult<Snapshot> {
        let mut body = json!({ "key": encode(key.as_str().as_bytes()) });
        if let Some(end) = range_end {
            body["range_end"] = encode(&end).into();
        }
        let response = self.call("/v3/kv/range", body).await?;
        let revision = header_revision(&response)?;
        let entries = read_entries(&response["kvs"])?;
        Ok(Snapshot { revision, entries })
    }
}

impl Store for StoreClient {
    fn get(&self, key: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.range(key, None).boxed()
    }

    fn list(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        let end = prefix_end(prefix.as_str().as_bytes());
        self.range(prefix, Some(end)).boxed()
    }

    fn compare_and_swap(&self, write: Write) -> BoxFuture<'_, StoreResult<WriteResult>> {
        async move {
            let response = self.call("/v3/kv/txn", txn_body(&write)).await?;
            let revision = header_revision(&response)?;
            if response["succeeded"].as_bool().unwrap_or(false) {
                return Ok(WriteResult::Committed(revision));
            }
            let found = &response["responses"][0]["response_range"]["kvs"];
            Ok(WriteResult::Conflict(read_entries(found)?.into_iter().next()))
        }
        .boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        async move {
            let body = json!({ "TTL": ttl.as_secs().max(1).to_string() });
            let response = self.call("/v3/lease/grant", body).await?;
            read_number(&response["ID"]).map(LeaseId::new)
        }
        .boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        async move {
            let body = json!({ "ID": lease.id.to_string() });
            let response = self.call("/v3/lease/keepalive", body).await?;
            match read_number(&response["result"]["TTL"]) {
                Ok(ttl) if 0 < ttl => Ok(()),
                _ => Err(StoreError::Refused { reason: "lease has expired".to_owned() }),
            }
        }
        .boxed()
    }

    fn watch(
        &self,
        prefix: Key,
        from: Revision,
    ) -> BoxFuture<'_, StoreResult<BoxStream<'static, StoreResult<WatchEvent>>>> {
        async move {
            let prefix = prefix.as_str().as_bytes();
            let body = json!({ "create_request": {
                "key": encode(prefix),
                "range_end": encode(&prefix_end(prefix)),
                "start_revision": from.to_string(),
                "progress_notify": true,
            }});
            let opened = self.http.post_streaming(self.addr, "/v3/watch", &body);
            let body = tokio::time::timeout(self.timeout, opened)
                .await
                .unwrap_or(Err(HttpError::Interrupted))
                .map_err(store_error)?;
            let events = event_stream::read_lines::<Value>(body).flat_map(|item| {
                let events = item.map_err(store_error).and_then(|response| watch_events(&response));
                match events {
                    Ok(events) => stream::iter(events.into_iter().map(Ok).collect::<Vec<_>>()),
                    Err(error) => stream::iter(vec![Err(error)]),
                }
            });
            Ok(events.boxed())
        }
        .boxed()
    }
}

fn txn_body(write: &Write) -> Value {
    let key = encode(write.key.as_str().as_bytes());
    let compare = match write.expected {
        Expected::Absent => json!({ "key": key, "target": "CREATE", "create_revision": "0" }),
        Expected::Revision(revision) => {
            json!({ "key": key, "target": "MOD", "mod_revision": revision.to_string() })
        }
    };
    let success = match &write.change {
        Change::Put(value) => {
            let mut put = json!({ "key": key, "value": encode(value) });
            if let Some(lease) = write.lease {
                put["lease"] = lease.id.to_string().into();
            }
            json!({ "request_put": put })
        }
        Change::Delete => json!({ "request_delete_range": { "key": key } }),
    };
    json!({
        "compare": [compare],
        "success": [success],
        "failure": [{ "request_range": { "key": key } }],
    })
}

fn watch_events(response: &Value) -> StoreResult<Vec<WatchEvent>> {
    let result = &response["result"];
    let events = result["events"].as_array().map(Vec::as_slice).unwrap_or_default();
    if events.is_empty() {
        return Ok(vec![WatchEvent::Progress(header_revision(result)?)]);
    }
    events
        .iter()
        .map(|event| {
            let entry = read_entry(&event["kv"])?;
            let deleted = event["type"].as_str() == Some("DELETE");
            Ok(if deleted {
                WatchEvent::Deleted(entry.key, entry.revision)
            } else {
                WatchEvent::Put(entry)
            })
        })
        .collect()
}

fn store_error(error: HttpError) -> StoreError {
    match error {
        HttpError::NotReached | HttpError::ConnectionRefused => StoreError::NotReached,
        HttpError::Status { status, body } if status < 500 => StoreError::Refused { reason: body },
        HttpError::Status { .. } | HttpError::Interrupted | HttpError::InvalidResponse => {
            StoreError::NoResponse
        }
    }
}

fn encode(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

fn decode(value: &Value) -> StoreResult<Vec<u8>> {
    let text = value.as_str().unwrap_or_default();
    BASE64_STANDARD.decode(text).map_err(|_| StoreError::NoResponse)
}

/// First key after all keys with the prefix; `[0]`, which is unbounded, if there
/// is none.
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn read_number<T: std::str::FromStr>(value: &Value) -> StoreResult<T> {
    let parsed = match value {
        Value::String(text) => text.parse().ok(),
        Value::Number(number) => number.to_string().parse().ok(),
        _ => None,
    };
    parsed.ok_or(StoreError::NoResponse)
}

fn header_revision(response: &Value) -> StoreResult<Revision> {
    read_number(&response["header"]["revision"]).map(Revision::new)
}

fn read_entries(kvs: &Value) -> StoreResult<Vec<Entry>> {
    kvs.as_array().map(Vec::as_slice).unwrap_or_default().iter().map(read_entry).collect()
}

fn read_entry(kv: &Value) -> StoreResult<Entry> {
    let key = String::from_utf8(decode(&kv["key"])?).map_err(|_| StoreError::NoResponse)?;
    let value = Bytes::from(decode(&kv["value"])?);
    let revision = Revision::new(read_number(&kv["mod_revision"])?);
    Ok(Entry { key: key.into(), value, revision })
}

#[cfg(test)]
mod tests;
