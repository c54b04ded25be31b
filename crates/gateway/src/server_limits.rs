//! Limits that backend servers state in their responses, and permits for requests to
//! the servers that have one.
//!
//! A gateway that hears of a new limit tells the others. From then on each attempt at
//! the server needs a permit of the server's granter, which is one of the gateways.
//! The exchange is two datagrams; while the granter is silent, a substitute grants a
//! part of the limit, and a gateway that reaches neither uses its even share.

mod cold;
mod pending;
mod recent_views;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use citrongw_coordination::clock::Clock;
use citrongw_state::{
    id::{AvailabilityZone, NodeId, ServerIncarnation},
    server_limit::{
        StatedLimit,
        granters::{self, Granters, SilentGateways},
        permits::{self, GranterRole, Permit, PermitBucket, PermitRequestId},
        statements::{Audience, Statement, Statements},
    },
    time::Time,
};
use tokio::time::{sleep, timeout};

use self::{cold::ColdPermits, pending::PendingPermits};
use crate::{
    cold_watch::ColdMetrics,
    fleet::Backend,
    lock::lock,
    peers::{
        ClusterView, Peers,
        message::{PeerMessage, PermitReply, PermitRequest, ReportedStatement},
    },
};

/// Interval between removals of old entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between checks of the list of gateways, well below the time in which they
/// read a change.
const CLUSTER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the bucket of a server that no request was made for is dropped.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);
/// Timeout of a request for a permit: far above a round trip within a region, and far
/// below the latency that callers expect.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(50);

/// Limits that this gateway knows of, and the buckets of the servers that it grants
/// permits for.
#[derive(Debug)]
pub(crate) struct ServerLimits {
    peers: Arc<Peers>,
    clock: Clock,
    statements: Mutex<Statements>,
    has_statements: AtomicBool,
    buckets: Mutex<HashMap<ServerIncarnation, PermitBucket>>,
    silent: Mutex<SilentGateways>,
    pending: PendingPermits,
    cold: ColdPermits,
}

/// Creates an empty set of limits.
pub(crate) fn open(peers: &Arc<Peers>, metrics: ColdMetrics, clock: Clock) -> ServerLimits {
    ServerLimits {
        peers: Arc::clone(peers),
        clock,
        statements: Mutex::default(),
        has_statements: AtomicBool::new(false),
        buckets: Mutex::default(),
        silent: Mutex::default(),
        pending: PendingPermits::default(),
        cold: ColdPermits::new(metrics),
    }
}

/// Follows the list of gateways; never returns.
pub(crate) async fn follow_cluster(limits: Arc<ServerLimits>) {
    loop {
        limits.record_cluster();
        sleep(CLUSTER_CHECK_INTERVAL).await;
    }
}

/// Drops old entries; never returns.
pub(crate) async fn expire(limits: Arc<ServerLimits>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now = limits.clock.now();
        limits.change(|it| it.expire(now));
        lock(&limits.buckets).retain(|_, it| now.since(it.updated_at()) < BUCKET_RETENTION);
        lock(&limits.silent).expire(now);
        limits.cold.expire(now);
    }
}

impl ServerLimits {
    /// Requests a permit for one attempt at a server. A server that is warm and has no
    /// limit needs none.
    pub(crate) async fn acquire(&self, backend: &Backend) -> Permit {
        match self.acquire_cold(backend).await {
            Permit::Granted => self.acquire_limited(backend).await,
            denied => denied,
        }
    }

    /// Requests a permit for one attempt at a server that states a limit.
    async fn acquire_limited(&self, backend: &Backend) -> Permit {
        let Some(statement) = self.limit_of(backend) else { return Permit::Granted };
        let server = backend.server();
        let cluster = self.peers.cluster();
        let granters = choose_granters(&server, &backend.zone, &cluster);
        for node in granters.in_order() {
            if node == self.peers.node() {
                return self.grant(&server, None, self.role(&granters));
            }
            let (id, mut pending) = self.pending.open();
            while !lock(&self.silent).is_silent(node, self.clock.now()) {
                let request = PermitRequest {
                    id,
                    server: server.clone(),
                    zone: backend.zone.clone(),
                    statement: ReportedStatement::new(statement, self.clock.now()),
                };
                self.peers.send_to_gateway(node, &PeerMessage::PermitRequest(request)).await;
                match timeout(PERMIT_TIMEOUT, pending.reply()).await {
                    Ok(permit) => return permit,
                    Err(_) => self.record_timeout(node),
                }
            }
        }
        self.grant(&server, None, GranterRole::Isolated { gateways: self.peers.gateway_count() })
    }

    /// Whether attempts at a server need a permit.
    pub(crate) fn is_limited(&self, backend: &Backend) -> bool {
        self.limit_of(backend).is_some() || backend.stats.cold.left(self.clock.now()).is_some()
    }

    /// Statement of a server that has a limit.
    fn limit_of(&self, backend: &Backend) -> Option<Statement> {
        if !self.has_statements.load(Ordering::Relaxed) {
            return None;
        }
        lock(&self.statements).newest(&backend.server()).filter(|it| it.limit.is_some())
    }

    /// Records what a server states in a response to a request sent at `sent_at`, and
    /// tells the gateways that should know.
    pub(crate) fn record_response(
        self: &Arc<Self>,
        backend: &Backend,
        stated: StatedLimit,
        sent_at: Time,
    ) {
        if stated == StatedLimit::None && !self.has_statements.load(Ordering::Relaxed) {
            return;
        }
        let (server, now) = (backend.server(), self.clock.now());
        let recorded = self.change(|it| it.record_response(&server, stated, sent_at, now));
        let Some((statement, audience)) = recorded else { return };
        if audience == Audience::All {
            log_change(&server, statement, "response");
        }
        let limits = Arc::clone(self);
        let message = PeerMessage::ServerLimit {
            server: server.clone(),
            statement: ReportedStatement::new(statement, now),
        };
        match audience {
            Audience::All => drop(tokio::spawn(async move {
                limits.peers.broadcast(&message).await;
            })),
            Audience::Granter => {
                let granters = choose_granters(&server, &backend.zone, &self.peers.cluster());
                let granter = granters.granter().filter(|it| *it != self.peers.node());
                let Some(granter) = granter else { return };
                tokio::spawn(async move { limits.peers.send_to_gateway(granter, &message).await });
            }
            Audience::None => {}
        }
    }

    /// Records a statement that another gateway reported.
    pub(crate) fn apply_report(&self, server: &ServerIncarnation, reported: ReportedStatement) {
        let statement = reported.into_statement(self.clock.now());
        if self.change(|it| it.record_report(server, statement)) {
            log_change(server, statement, "gateway");
        }
    }

    /// Decides on another gateway's request for a permit, and replies.
    pub(crate) fn apply_request(self: &Arc<Self>, from: NodeId, request: PermitRequest) {
        let PermitRequest { id, server, zone, statement } = request;
        self.apply_report(&server, statement);
        let granters = choose_granters(&server, &zone, &self.peers.cluster());
        let request = PermitRequestId { from, number: id };
        let permit = self.grant(&server, Some(request), self.role(&granters));
        let newest = lock(&self.statements).newest(&server);
        let statement = newest.map(|it| ReportedStatement::new(it, self.clock.now()));
        let reply = PeerMessage::PermitReply(PermitReply { id, server, permit, statement });
        let limits = Arc::clone(self);
        tokio::spawn(async move { limits.peers.send_to_gateway(from, &reply).await });
    }

    /// Records that a message of another gateway was received.
    pub(crate) fn record_message(&self, from: NodeId) {
        lock(&self.silent).record_message(from, self.clock.now());
    }

    /// Applies the reply to a request of this gateway.
    pub(crate) fn apply_reply(&self, reply: &PermitReply) {
        if let Some(statement) = reply.statement {
            self.apply_report(&reply.server, statement);
            let heard_at = statement.into_statement(self.clock.now()).stated_at;
            self.change(|it| it.record_granter(&reply.server, heard_at));
        }
        self.pending.complete(reply.id, reply.permit);
    }

    fn record_timeout(&self, node: NodeId) {
        if lock(&self.silent).record_timeout(node, self.clock.now()) {
            tracing::info!(%node, "granter of permits does not respond");
        }
    }

    /// Takes a token of the server's bucket at this gateway, for a request of another
    /// gateway or of its own. A server whose limit has ended needs none.
    fn grant(
        &self,
        server: &ServerIncarnation,
        request: Option<PermitRequestId>,
        role: GranterRole,
    ) -> Permit {
        let now = self.clock.now();
        let mut buckets = lock(&self.buckets);
        let bucket = buckets.entry(server.clone()).or_insert_with(|| permits::open(now));
        let opened_at = bucket.opened_at();
        let newest = lock(&self.statements).confirmed(server, opened_at, now);
        let Some(limit) = newest.and_then(|it| it.limit) else { return Permit::Granted };
        match request {
            Some(request) => bucket.take_for(request, limit, role, now),
            None => bucket.take(limit, role, now),
        }
    }

    fn role(&self, granters: &Granters) -> GranterRole {
        let now = self.clock.now();
        granters.role(self.peers.node(), |it| lock(&self.silent).is_lost(it, now))
    }

    fn change<R>(&self, change: impl FnOnce(&mut Statements) -> R) -> R {
        let mut statements = lock(&self.statements);
        let res = change(&mut statements);
        self.has_statements.store(!statements.is_empty(), Ordering::Relaxed);
        res
    }
}

/// Chooses the granters of a server among the gateways of its zone, or among all if its
/// zone has none.
fn choose_granters(
    server: &ServerIncarnation,
    zone: &AvailabilityZone,
    cluster: &ClusterView,
) -> Granters {
    let of_zone = granters::choose(server, cluster.gateways_of(zone));
    match of_zone.granter() {
        Some(_) => of_zone,
        None => granters::choose(server, cluster.nodes.keys().copied()),
    }
}

fn log_change(server: &ServerIncarnation, statement: Statement, source: &str) {
    let limit_per_s = statement.limit.map(|it| it.0);
    tracing::info!(%server, limit_per_s, source, "limit of a backend server changed");
}

#[cfg(test)]
mod tests;
