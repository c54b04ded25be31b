//! Watch for requests that crash backend servers.
//!
//! A connection breaks for many reasons. That a server crashed with requests in flight
//! is known only once its address refuses connections or another incarnation
//! responds there. The gateways exchange what their requests
//! there had in common; a part that is found to crash servers is listed in the
//! key-value service, where gateways that start later find it.

mod evidence;
mod listed_culprits;
mod summary;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use citrongw_coordination::clock::Clock;
use citrongw_state::{
    crash_suspicion::{
        RecentSuccesses,
        shared_parts::{Culprit, SharedPartSuspicions},
    },
    id::{Fingerprint, ServerIncarnation},
};
use derive_more::{Debug, Display};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use self::{
    evidence::{Evidence, NextStep, Signatures},
    listed_culprits::ListedCulprits,
    summary::{list, most_frequent},
};
use crate::{
    adapter::{Adapter, InstanceClient, InstanceError},
    fleet::Backend,
    links::LinkWatch,
    lock::lock,
    peers::{Peers, message::PeerMessage},
};

/// Timeout of the poll of a server.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of polls of a server while they are inconclusive.
const MAX_POLLS: usize = 3;
/// Delay before a server is polled again.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of signatures of a request that are sent: as many as a datagram holds
/// beside its other fields.
const MAX_SIGNATURES: usize = 32;
/// Shortest interval between checks of whether the culprits are listed: a change of the
/// list has reached all gateways by then.
const MIN_LISTING_INTERVAL: Duration = Duration::from_secs(2);
/// Largest random time added to the interval, so that one gateway writes first.
const LISTING_JITTER: Duration = Duration::from_secs(4);

/// Who reported the death of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum DeathSource {
    /// This gateway, whose request was in flight.
    #[display("own request")]
    OwnRequest,
    /// Another gateway.
    #[display("gateway")]
    Gateway,
}

/// Requests whose exchanges were interrupted, and what is suspected of having crashed
/// their servers.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    #[debug(skip)]
    instances: Arc<dyn InstanceClient>,
    links: Arc<LinkWatch>,
    listed: ListedCulprits,
    peers: Arc<Peers>,
    clock: Clock,
    evidence: Mutex<Evidence>,
    suspicions: Mutex<SharedPartSuspicions>,
    has_suspects: AtomicBool,
    successes: RecentSuccesses,
    culprits_tx: watch::Sender<Vec<Culprit>>,
}

/// Creates the watch.
pub(crate) fn open(
    adapter: &Adapter,
    peers: &Arc<Peers>,
    links: &Arc<LinkWatch>,
    clock: Clock,
) -> CrashWatch {
    CrashWatch {
        links: Arc::clone(links),
        instances: Arc::clone(&adapter.instances),
        listed: listed_culprits::open(&adapter.store),
        peers: Arc::clone(peers),
        clock,
        evidence: Mutex::default(),
        suspicions: Mutex::default(),
        has_suspects: AtomicBool::new(false),
        successes: RecentSuccesses::default(),
        culprits_tx: watch::channel(Vec::new()).0,
    }
}

/// Drops expired suspicions and keeps the culprits listed; never returns.
pub(crate) async fn maintain(watch: Arc<CrashWatch>) {
    loop {
        sleep(MIN_LISTING_INTERVAL + LISTING_JITTER.mul_f64(rand::random())).await;
        watch.change(|it| it.expire(watch.clock.now()));
        lock(&watch.evidence).expire(watch.clock.now());
        watch.list_missing_culprits().await;
    }
}

impl CrashWatch {
    /// Whether a request is rejected because of what it shares with requests that
    /// crashed servers. `signatures` is called only if any request is.
    pub(crate) fn is_quarantined(&self, signatures: impl FnOnce() -> Vec<Fingerprint>) -> bool {
        let cluster = self.peers.cluster();
        let culprits = self.culprits_tx.borrow();
        let mut culprits = cluster.culprits.iter().chain(culprits.iter()).peekable();
        if culprits.peek().is_none() {
            return false;
        }
        let signatures = signatures();
        culprits.any(|it| it.matches(&signatures, |it| self.has_succeeded(it)))
    }

    /// Completes once a request is quarantined.
    pub(crate) async fn wait_until_quarantined(&self, signatures: impl Fn() -> Vec<Fingerprint>) {
        let mut culprits_rx = self.culprits_tx.subscribe();
        while !self.is_quarantined(&signatures) {
            // The sender is part of this watch.
            let _ = culprits_rx.changed().await;
        }
    }

    /// Records that a request succeeded. `signatures` is called only if any is
    /// suspected.
    pub(crate) fn record_success(
        self: &Arc<Self>,
        shared_parts: &[Fingerprint],
        signatures: impl FnOnce() -> Vec<Fingerprint>,
    ) {
        let now = self.clock.now();
        for part in shared_parts {
            self.successes.add(*part, now);
        }
        let is_listed = !self.peers.cluster().culprits.is_empty();
        if !is_listed && !self.has_suspects.load(Ordering::Relaxed) {
            return;
        }
        let cleared = self.clear(&signatures());
        if cleared.is_empty() {
            return;
        }
        tracing::info!(signatures = list(&cleared), "suspected request succeeded");
        let watch = Arc::clone(self);
        tokio::spawn(async move {
            for part in cleared.chunks(MAX_SIGNATURES) {
                let signatures = part.to_vec();
                watch.peers.broadcast(&PeerMessage::Cleared { signatures }).await;
            }
            watch.listed.retain(|it| watch.quarantine_left(it).is_some()).await;
        });
    }

    /// Applies the death of a server with a request of another gateway in flight.
    pub(crate) fn apply_crash(
        self: &Arc<Self>,
        death: &ServerIncarnation,
        signatures: &[Fingerprint],
    ) {
        self.add_death(death, signatures, DeathSource::Gateway);
        self.record_death(death);
    }

    /// Applies the success of a request at another gateway.
    pub(crate) fn apply_cleared(self: &Arc<Self>, signatures: &[Fingerprint]) {
        let now = self.clock.now();
        for signature in signatures {
            self.successes.add(*signature, now);
        }
        self.clear(signatures);
        let watch = Arc::clone(self);
        tokio::spawn(
            async move { watch.listed.retain(|it| watch.quarantine_left(it).is_some()).await },
        );
    }

    fn has_succeeded(&self, signature: Fingerprint) -> bool {
        self.successes.is_recent(signature, self.clock.now())
    }

    fn clear(&self, signatures: &[Fingerprint]) -> Vec<Fingerprint> {
        self.change(|it| it.record_success(signatures))
    }

    /// Records a death. Returns the culprit if this makes it known.
    fn add_death(
        &self,
        death: &ServerIncarnation,
        signatures: &[Fingerprint],
        source: DeathSource,
    ) -> Option<Culprit> {
        let now = self.clock.now();
        let has_succeeded = |it| self.has_succeeded(it);
        let culprit = self.change(|it| it.add_death(death, signatures, has_succeeded, now));
        if let Some(culprit) = &culprit {
            tracing::warn!(%culprit, %death, %source, "quarantine of requests that crash servers began");
        }
        culprit
    }

    /// Changes the suspicions and publishes the culprits to the request path.
    fn change<R>(&self, change: impl FnOnce(&mut SharedPartSuspicions) -> R) -> R {
        let mut suspicions = lock(&self.suspicions);
        let res = change(&mut suspicions);
        self.has_suspects.store(!suspicions.is_empty(), Ordering::Relaxed);
        let culprits: Vec<Culprit> = suspicions.culprits().cloned().collect();
        self.culprits_tx.send_if_modified(|it| {
            let is_changed = *it != culprits;
            *it = culprits;
            is_changed
        });
        res
    }

    /// Records that the exchange of a request with a server was interrupted when the
    /// server had begun to answer or was about to.
    pub(crate) fn record_interrupted(
        self: &Arc<Self>,
        backend: &Backend,
        signatures: Vec<Fingerprint>,
    ) {
        let (server, now) = (backend.server(), self.clock.now());
        let next = lock(&self.evidence).add_interrupted(&server, signatures, now);
        self.carry_out(next, server, backend.addr);
    }

    /// Records that a request was abandoned while a server might still run it. It counts
    /// if the server is found dead soon.
    pub(crate) fn record_abandoned(self: &Arc<Self>, backend: &Backend, signatures: Signatures) {
        let (server, now) = (backend.server(), self.clock.now());
        let next = lock(&self.evidence).add_abandoned(&server, signatures, now);
        self.carry_out(next, server, backend.addr);
    }

    /// Records that the address of a server refused a connection: the server is dead,
    /// unless the links of this gateway are cut.
    pub(crate) fn record_refused(self: &Arc<Self>, backend: &Backend) {
        let (watch, server, now) = (Arc::clone(self), backend.server(), self.clock.now());
        tokio::spawn(async move {
            if watch.links.confirm_silence(&server.instance, now).await {
                watch.record_death(&server);
            }
        });
    }

    fn carry_out(self: &Arc<Self>, next: NextStep, server: ServerIncarnation, addr: SocketAddr) {
        match next {
            NextStep::Poll => drop(tokio::spawn(Arc::clone(self).poll(server, addr))),
            NextStep::Publish(signatures) => {
                tokio::spawn(Arc::clone(self).publish(server, vec![signatures]));
            }
            NextStep::Wait => {}
        }
    }

    /// Publishes the death of a server if requests of this gateway were in flight there.
    fn record_death(self: &Arc<Self>, server: &ServerIncarnation) {
        let requests = lock(&self.evidence).record_death(server, self.clock.now());
        if !requests.is_empty() {
            tokio::spawn(Arc::clone(self).publish(server.clone(), requests));
        }
    }

    /// Polls a server whose exchanges were interrupted, and publishes its death.
    async fn poll(self: Arc<Self>, server: ServerIncarnation, addr: SocketAddr) {
        let mut has_crashed = None;
        for attempt in 0..MAX_POLLS {
            if attempt != 0 {
                sleep(POLL_RETRY_DELAY).await;
            }
            has_crashed = self.has_crashed(&server, addr).await;
            if has_crashed.is_some() {
                break;
            }
        }
        let requests = {
            let mut evidence = lock(&self.evidence);
            match has_crashed {
                Some(true) => evidence.record_death(&server, self.clock.now()),
                Some(false) => evidence.record_running(&server),
                None => evidence.record_inconclusive(&server),
            }
        };
        tracing::info!(
            %server, has_crashed, requests = requests.len(), signatures = most_frequent(&requests),
            "exchanges with a backend server were interrupted"
        );
        if has_crashed == Some(true) {
            self.publish(server, requests).await;
        }
    }

    /// Publishes the death of a server with these requests of this gateway in flight.
    async fn publish(self: Arc<Self>, death: ServerIncarnation, requests: Vec<Signatures>) {
        for mut signatures in requests {
            signatures.retain(|it| !self.has_succeeded(*it));
            // All gateways have to see the same ones, or their culprits differ.
            signatures.truncate(MAX_SIGNATURES);
            let culprit = self.add_death(&death, &signatures, DeathSource::OwnRequest);
            let message = PeerMessage::Crash { death: death.clone(), signatures };
            self.peers.broadcast(&message).await;
            if let Some(culprit) = culprit {
                let watch = Arc::clone(&self);
                tokio::spawn(async move {
                    watch.listed.add(&culprit, || watch.quarantine_left(&culprit)).await;
                });
            }
        }
    }

    /// Lists the culprits that no gateway has listed: the one that found them may have
    /// ended or not know all deaths, or the key-value service may have lost the entry.
    async fn list_missing_culprits(self: &Arc<Self>) {
        let lost = self.peers.lost_culprits();
        for culprit in &lost {
            self.change(|it| it.add_culprit(culprit.clone(), self.clock.now()));
        }
        let known: Vec<Culprit> = lock(&self.suspicions).culprits().cloned().collect();
        let cluster = self.peers.cluster();
        let is_listed = |it: &Culprit| cluster.culprits.contains(it) && !lost.contains(it);
        for culprit in known.iter().filter(|it| !is_listed(it)) {
            self.listed.add(culprit, || self.quarantine_left(culprit)).await;
        }
    }

    /// Time until the quarantine of a culprit ends; none if it has ended.
    fn quarantine_left(&self, culprit: &Culprit) -> Option<Duration> {
        lock(&self.suspicions).quarantine_left(culprit, self.clock.now())
    }

    /// Whether a server has crashed. None if it does not respond: it may only be cut
    /// off, or about to refuse connections.
    async fn has_crashed(&self, server: &ServerIncarnation, addr: SocketAddr) -> Option<bool> {
        let polled_at = self.clock.now();
        match timeout(POLL_TIMEOUT, self.instances.report(addr)).await {
            Ok(Ok(report)) => Some(report.incarnation.is_some_and(|it| it != server.incarnation)),
            Ok(Err(InstanceError::NotReached)) => {
                let is_dead = self.links.confirm_silence(&server.instance, polled_at).await;
                is_dead.then_some(true)
            }
            Ok(Err(InstanceError::InvalidResponse)) => Some(false),
            Ok(Err(InstanceError::NoResponse)) | Err(_) => None,
        }
    }
}

#[cfg(test)]
mod tests;
