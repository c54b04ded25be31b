//! The platform's key-value service.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Request, response_bytes},
    json::{self, base64_decode, base64_encode, quote},
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: i64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<i64, (Duration, Instant)>,
    next_lease: i64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.into(), item.clone());
        self.history.push((self.revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.into(), None));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<i64> =
            self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        ended.iter().for_each(|it| self.end_lease(*it));
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, it)| it.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|it| self.remove(it));
        }
    }
}

/// Key-value service. Clones share it.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "\"key\":{},\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}",
        quote(key),
        base64_encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
    }

    /// Serves the store on a free port of `ip`.
    pub fn listen(&self, ip: &str) -> SocketAddr {
        let store = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                if store.lock().expire() {
                    store.shared.1.notify_all();
                }
            }
        });
        let store = self.clone();
        http::listen(ip, move |connection| store.serve(connection))
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.request() {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if connection.write(&response_bytes(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(json::Json::Null);
        let prefix = request.query("path_prefix").unwrap_or_default();
        match request.path() {
            "/v1/kv-key" => {
                let (state, key) = (self.lock(), request.query("key").unwrap_or_default());
                match state.items.get(&key) {
                    Some(item) => (
                        200,
                        format!("{{{},\"current_rev\":{}}}", item_json(&key, item), state.revision),
                    ),
                    None => (404, format!("{{\"current_rev\":{}}}", state.revision)),
                }
            }
            "/v1/kv-range" => {
                let (state, after) = (self.lock(), request.query("after").unwrap_or_default());
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let rest: Vec<_> = found.filter(|(key, _)| after < **key).collect();
                let page =
                    rest.iter().take(50).map(|(key, it)| format!("{{{}}}", item_json(key, it)));
                let page: Vec<String> = page.collect();
                let text = format!(
                    "{{\"items\":[{}],\"truncated\":{},\"current_rev\":{}}}",
                    page.join(","),
                    50 < rest.len(),
                    state.revision
                );
                (200, text)
            }
            "/v1/kv-watch" => {
                let number = |name: &str| request.query(name).and_then(|it| it.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                let mut state = self.lock();
                loop {
                    let news = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| after < *revision && key.starts_with(&prefix));
                    let events: Vec<String> = news
                        .map(|(revision, key, item)| match item {
                            Some(item) => format!("{{{}}}", item_json(key, item)),
                            None => format!(
                                "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                                quote(key)
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        let text = format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                        return (200, text);
                    }
                    let waited = self.shared.1.wait_timeout(state, left);
                    state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
                }
            }
            "/v1/kv-txn" => {
                let mut state = self.lock();
                let expected = body.get("expected").list();
                let is_met = |row: &json::Json| {
                    let found = state.items.get(row.get("key").text().unwrap_or_default());
                    let revision = row.get("revision").number().unwrap_or(0.0) as u64;
                    found.map_or(0, |it| it.revision) == revision
                };
                if !expected.iter().all(is_met) {
                    let found = expected.iter().filter_map(|row| {
                        let key = row.get("key").text()?;
                        state.items.get(key).map(|it| format!("{{{}}}", item_json(key, it)))
                    });
                    let items: Vec<String> = found.collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let lease = |row: &json::Json| row.get("lease").number().unwrap_or(0.0) as i64;
                let rows = body.get("set_keys").list();
                if rows.iter().any(|it| lease(it) != 0 && !state.leases.contains_key(&lease(it))) {
                    return (404, "{}".into());
                }
                state.revision += 1;
                for row in rows {
                    let value = base64_decode(row.get("value").text().unwrap_or_default());
                    state.put(row.get("key").text().unwrap_or_default(), value, lease(row));
                }
                for key in body.get("remove").list() {
                    state.remove(key.text().unwrap_or_default());
                }
                self.shared.1.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            "/v1/kv-lease" => {
                let mut state = self.lock();
                let ttl_ms = body.get("ttl_ms").number().unwrap_or(0.0).max(1_000.0) as u64;
                state.next_lease += 1;
                let (id, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(id, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            // Servers write their entries here.
            path if path.starts_with("/servers/") => {
                self.put(&path[1..], &String::from_utf8_lossy(&request.body));
                (200, "{}".into())
            }
            path => {
                let mut state = self.lock();
                let id = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
                let Some((ttl, _)) = state.leases.get(&id).copied() else {
                    return (404, "{}".into());
                };
                if path.starts_with("/v1/kv-keep/") {
                    state.leases.insert(id, (ttl, Instant::now() + ttl));
                } else {
                    state.end_lease(id);
                    self.shared.1.notify_all();
                }
                (200, "{}".into())
            }
        }
    }
}
