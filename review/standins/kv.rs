//! Stand-in of the platform's key-value service.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message, Reply},
    json::{self, Json, base64_decode, base64_encode, table},
};

/// Longest time that a watch waits.
const MAX_WATCH: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct Data {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    history: Vec<Change>,
    revision: u64,
    next_lease: u64,
    /// Whether the service closes all connections without a response.
    is_down: bool,
}

/// Running service.
#[derive(Clone)]
pub struct Kv {
    pub addr: SocketAddr,
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Kv {
    /// Serves on a free port.
    pub fn open(ip: Ipv4Addr) -> io::Result<Self> {
        let data = Arc::new((Mutex::new(Data { revision: 1, ..Data::default() }), Condvar::new()));
        let mut kv = Self { addr: SocketAddr::from((ip, 0)), data };
        let served = kv.clone();
        kv.addr = http::serve(ip, Arc::new(move |request| served.handle(&request)))?.addr;
        let expired = kv.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expired.expire_leases();
            }
        });
        Ok(kv)
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins or ends an outage. Leases pause meanwhile.
    pub fn set_down(&self, is_down: bool) {
        let mut data = self.lock();
        data.is_down = is_down;
        if !is_down {
            let now = Instant::now();
            data.leases.values_mut().for_each(|it| it.ends_at = now + it.ttl);
        }
        self.data.1.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.lock().is_down
    }

    /// Writes a key for the operator or a replica. False while the service is down.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut data = self.lock();
        if data.is_down {
            return false;
        }
        data.change(key, Some((value.as_bytes().to_vec(), 0)));
        self.data.1.notify_all();
        true
    }

    /// Deletes a key for a replica that has left.
    pub fn remove(&self, key: &str) -> bool {
        let mut data = self.lock();
        if data.is_down {
            return false;
        }
        data.change(key, None);
        self.data.1.notify_all();
        true
    }

    fn expire_leases(&self) {
        let mut data = self.lock();
        let now = Instant::now();
        if data.is_down {
            return;
        }
        let ended = data.leases.iter().filter(|(_, it)| it.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in ended {
            data.end_lease(lease);
            self.data.1.notify_all();
        }
    }

    fn handle(&self, request: &Message) -> Option<Reply> {
        if self.is_down() {
            return None;
        }
        let body = json::parse(&request.text()).unwrap_or(Json::Null);
        let path = request.path();
        let lease = || path.rsplit('/').next().and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let (status, body) = match (request.method(), path) {
            ("GET", "/v1/kv-key") => self.lock().get(&request.query("key")?),
            ("GET", "/v1/kv-range") => {
                let after = request.query("after").unwrap_or_default();
                self.lock().range(&request.query("path_prefix")?, &after)
            }
            ("GET", "/v1/kv-watch") => self.watch(request)?,
            ("POST", "/v1/kv-txn") => {
                let result = self.lock().transact(&body);
                self.data.1.notify_all();
                result
            }
            ("POST", "/v1/kv-lease") => self.lock().grant(body.get("ttl_ms").number()),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.lock().renew(lease()),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                self.lock().end_lease(lease());
                self.data.1.notify_all();
                (200, table([]))
            }
            _ => (404, table([])),
        };
        let reply = Reply::new(status, body.to_string());
        // An answer that was under way when the outage began is lost.
        (!self.is_down())
            .then(|| reply.with("Content-Type", "application/json").with("Store-Era", "1"))
    }

    fn watch(&self, request: &Message) -> Option<(u16, Json)> {
        let prefix = request.query("path_prefix")?;
        let after: u64 = request.query("after")?.parse().ok()?;
        let wait = request.query("wait_ms")?.parse().ok().map(Duration::from_millis)?;
        let until = Instant::now() + wait.min(MAX_WATCH);
        let mut data = self.lock();
        loop {
            let changes = data.history.iter();
            let changes = changes.filter(|it| after < it.revision && it.key.starts_with(&prefix));
            let events: Vec<Json> = changes
                .map(|it| match &it.item {
                    Some(item) => item.to_json(&it.key),
                    None => table([
                        ("key", it.key.as_str().into()),
                        ("revision", it.revision.into()),
                        ("deleted", true.into()),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if data.is_down {
                return None;
            }
            if !events.is_empty() || until <= now {
                let current = data.revision.into();
                return Some((200, table([("events", events.into()), ("current_rev", current)])));
            }
            let waited = self.data.1.wait_timeout(data, until - now);
            data = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Item {
    fn to_json(&self, key: &str) -> Json {
        table([
            ("key", key.into()),
            ("value", base64_encode(&self.value).as_str().into()),
            ("revision", self.revision.into()),
            ("create_revision", self.created.into()),
            ("lease", self.lease.into()),
        ])
    }
}

impl Data {
    fn change(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = value.map(|(value, lease)| Item { value, revision, created, lease });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push(Change { revision, key: key.to_owned(), item });
    }

    fn get(&self, key: &str) -> (u16, Json) {
        let current = self.revision.into();
        match self.items.get(key).map(|it| it.to_json(key)) {
            Some(Json::Table(mut found)) => {
                found.insert("current_rev".to_owned(), current);
                (200, Json::Table(found))
            }
            _ => (404, table([("current_rev", current)])),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Json) {
        let found = self.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && after < key.as_str());
        let items: Vec<Json> = found.map(|(key, item)| item.to_json(key)).collect();
        let current = self.revision.into();
        let truncated = false.into();
        (200, table([("items", items.into()), ("truncated", truncated), ("current_rev", current)]))
    }

    fn transact(&mut self, body: &Json) -> (u16, Json) {
        let revision_of = |key: &str| self.items.get(key).map_or(0, |it| it.revision);
        let expected = body.get("expected").list();
        if expected
            .iter()
            .any(|it| revision_of(it.get("key").text()) != it.get("revision").number())
        {
            let items = expected.iter().map(|it| {
                let key = it.get("key").text();
                let absent = table([("key", key.into()), ("revision", 0.into())]);
                self.items.get(key).map_or(absent, |it| it.to_json(key))
            });
            let items: Vec<Json> = items.collect();
            return (412, table([("items", items.into())]));
        }
        let writes = body.get("set_keys").list();
        let is_known = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !writes.iter().all(|it| is_known(it.get("lease").number())) {
            return (404, table([]));
        }
        for write in writes {
            let value = base64_decode(write.get("value").text()).unwrap_or_default();
            self.change(write.get("key").text(), Some((value, write.get("lease").number())));
        }
        for key in body.get("remove").list() {
            self.change(key.text(), None);
        }
        (200, table([("revision", self.revision.into())]))
    }

    fn grant(&mut self, ttl_ms: u64) -> (u16, Json) {
        let ttl = Duration::from_millis(ttl_ms.clamp(1_000, 600_000));
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, ends_at: Instant::now() + ttl });
        let ttl_ms = ttl.as_millis() as u64;
        (200, table([("lease", self.next_lease.into()), ("ttl_ms", ttl_ms.into())]))
    }

    fn renew(&mut self, lease: u64) -> (u16, Json) {
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, table([]))
            }
            None => (404, table([])),
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, it)| it.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.change(&key, None);
        }
    }
}
