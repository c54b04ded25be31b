//! Watch for requests that crash backend servers.
//!
//! A connection breaks for many reasons. That a server ended with requests in flight
//! is known only once its address refuses connections, or once it no longer belongs
//! to the replica that it was the head of.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use citrongw_state::id::{Epoch, Fingerprint, InstanceId};
use derive_more::{Debug, Display};
use tokio::time::{sleep, timeout};

use crate::{
    adapter::{Adapter, InstanceClient, InstanceError},
    fleet::{Backend, ReplicaKey},
};

/// Time from the first broken exchange of a server until it is polled. The other
/// exchanges that broke with it are known by then.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Timeout of the poll of a server.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Backend server that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{instance} epoch {epoch}")]
struct EndedServer {
    instance: InstanceId,
    epoch: Epoch,
}

/// Exchanges that broke, and the servers that ended with them.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    #[debug(skip)]
    instances: Arc<dyn InstanceClient>,
    /// Signatures of the requests whose exchanges with a server broke before its
    /// poll ended.
    broken: Mutex<HashMap<EndedServer, Vec<Vec<Fingerprint>>>>,
}

/// Creates the watch.
pub(crate) fn open(adapter: &Adapter) -> CrashWatch {
    CrashWatch { instances: Arc::clone(&adapter.instances), broken: Mutex::default() }
}

impl CrashWatch {
    /// Records that the exchange of a request with a server broke when the server
    /// had begun to answer or was about to.
    pub(crate) fn record_broken(self: &Arc<Self>, backend: &Backend, request: Vec<Fingerprint>) {
        let epoch = backend.replica.as_ref().map_or(Epoch(0), |it| it.epoch);
        let server = EndedServer { instance: backend.id.clone(), epoch };
        let is_first = {
            let mut broken = lock(&self.broken);
            let requests = broken.entry(server.clone()).or_default();
            requests.push(request);
            requests.len() == 1
        };
        if !is_first {
            return;
        }
        let watch = Arc::clone(self);
        let (addr, replica) = (backend.addr, backend.replica.clone());
        tokio::spawn(async move { watch.poll(server, addr, replica).await });
    }

    async fn poll(&self, server: EndedServer, addr: SocketAddr, replica: Option<ReplicaKey>) {
        sleep(COLLECT_TIME).await;
        let has_ended = self.has_ended(addr, replica.as_ref()).await;
        let requests = lock(&self.broken).remove(&server).unwrap_or_default();
        tracing::info!(
            %server, has_ended, requests = requests.len(), signatures = summary(&requests),
            "exchanges with a backend server broke off"
        );
    }

    /// Whether a server has ended. One that does not respond may only be cut off.
    async fn has_ended(&self, addr: SocketAddr, replica: Option<&ReplicaKey>) -> bool {
        match timeout(POLL_TIMEOUT, self.instances.report(addr)).await {
            Ok(Ok(report)) => replica.is_some_and(|replica| {
                !report.membership.is_some_and(|it| it.matches(replica.replica, replica.epoch))
            }),
            Ok(Err(InstanceError::NotReached)) => true,
            Ok(Err(InstanceError::NoResponse | InstanceError::InvalidResponse)) | Err(_) => false,
        }
    }
}

/// Number of signatures that a log line names.
const MAX_LOGGED: usize = 8;

/// Most frequent signatures with the number of requests that have them.
fn summary(requests: &[Vec<Fingerprint>]) -> String {
    let mut counts: HashMap<Fingerprint, usize> = HashMap::new();
    for signature in requests.iter().flatten() {
        *counts.entry(*signature).or_default() += 1;
    }
    let mut counts: Vec<(Fingerprint, usize)> = counts.into_iter().collect();
    counts.sort_unstable_by_key(|(signature, count)| (std::cmp::Reverse(*count), *signature));
    let logged =
        counts.iter().take(MAX_LOGGED).map(|(signature, count)| format!("{signature}: {count}"));
    logged.collect::<Vec<_>>().join(", ")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
