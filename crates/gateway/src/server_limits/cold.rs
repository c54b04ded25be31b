//! Permits for requests to cold servers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use citrongw_state::{
    cold_server::{
        ColdLimit,
        permits::{self as cold_permits, ColdGranter, ColdShare, MAX_ASKED},
    },
    id::{AvailabilityZone, NodeId, ServerIncarnation},
    server_limit::{
        granters::SilentGateways,
        permits::{self, Permit, PermitBucket, PermitRequestId},
    },
    time::Time,
};
use tokio::time::timeout;

use super::{
    BUCKET_RETENTION, PERMIT_TIMEOUT, ServerLimits, choose_granters, recent_views::RecentViews,
};
use crate::{
    cold_watch::ColdMetrics,
    fleet::Backend,
    lock::lock,
    peers::message::{ColdPermitRequest, PeerMessage, PermitReply},
};

/// Buckets and shares of cold servers at this gateway.
#[derive(Debug, Default)]
pub(super) struct ColdPermits {
    buckets: Mutex<HashMap<ServerIncarnation, PermitBucket>>,
    shares: Mutex<HashMap<ServerIncarnation, (ColdShare, Time)>>,
    /// Gateways that did not reply to requests for these permits. Those of former builds
    /// never do.
    silent: Mutex<SilentGateways>,
    views: Mutex<RecentViews>,
    metrics: ColdMetrics,
}

impl ColdPermits {
    pub(super) fn new(metrics: ColdMetrics) -> Self {
        Self { metrics, ..Self::default() }
    }

    pub(super) fn expire(&self, now: Time) {
        lock(&self.buckets).retain(|_, it| now.since(it.updated_at()) < BUCKET_RETENTION);
        lock(&self.shares).retain(|_, (_, at)| now.since(*at) < BUCKET_RETENTION);
        lock(&self.silent).expire(now);
    }

    /// Takes a token of the server's bucket at this gateway.
    fn grant(
        &self,
        server: &ServerIncarnation,
        request: Option<PermitRequestId>,
        limit: ColdLimit,
        granter: ColdGranter,
        now: Time,
    ) -> Permit {
        let mut buckets = lock(&self.buckets);
        let bucket = buckets.entry(server.clone()).or_insert_with(|| permits::open(now));
        cold_permits::take(bucket, request, limit, granter, now)
    }

    fn take_share(
        &self,
        server: &ServerIncarnation,
        limit: ColdLimit,
        gateways: usize,
        now: Time,
    ) -> Permit {
        let mut shares = lock(&self.shares);
        let (share, used_at) =
            shares.entry(server.clone()).or_insert_with(|| (ColdShare::default(), now));
        *used_at = now;
        share.take(limit, gateways, now, rand::random())
    }
}

impl ServerLimits {
    /// Requests a permit for one attempt at a server, if it is cold.
    pub(super) async fn acquire_cold(&self, backend: &Backend) -> Permit {
        let Some((limit, left)) = backend.stats.cold.limit(self.clock.now()) else {
            return Permit::Granted;
        };
        let (source, permit) = self.request_cold(backend, limit).await;
        self.cold.metrics.count_permit(source, permit == Permit::Granted);
        match permit {
            Permit::Granted => Permit::Granted,
            Permit::Denied { wait } => Permit::Denied { wait: wait.min(left) },
        }
    }

    async fn request_cold(&self, backend: &Backend, limit: ColdLimit) -> (&'static str, Permit) {
        let server = backend.server();
        let cluster = self.peers.cluster();
        let granters = choose_granters(&server, &backend.zone, &cluster);
        for node in granters.in_order().take(MAX_ASKED) {
            if node == self.peers.node() {
                let granter = self.cold_granter(&server, &backend.zone);
                let permit = self.cold.grant(&server, None, limit, granter, self.clock.now());
                return ("granter", permit);
            }
            if lock(&self.cold.silent).is_silent(node, self.clock.now()) {
                continue;
            }
            let (id, mut pending) = self.pending.open();
            let (server, zone) = (server.clone(), backend.zone.clone());
            let request = ColdPermitRequest { id, server, zone, limit };
            self.peers.send_to_gateway(node, &PeerMessage::ColdPermitRequest(request)).await;
            match timeout(PERMIT_TIMEOUT, pending.reply()).await {
                Ok(permit) => {
                    lock(&self.cold.silent).record_message(node, self.clock.now());
                    return ("granter", permit);
                }
                Err(_) => self.record_cold_timeout(node),
            }
        }
        let gateways = self.peers.gateway_count();
        ("share", self.cold.take_share(&server, limit, gateways, self.clock.now()))
    }

    /// Records the list of gateways.
    pub(super) fn record_cluster(&self) {
        lock(&self.cold.views).record(&self.peers.cluster(), self.clock.now());
    }

    /// Part that this gateway grants of a server's limit. One that others still take for
    /// the granter, or only some yet, grants no more than a substitute. So does one whose
    /// list is old, because the key-value service refuses it: it may have been replaced.
    fn cold_granter(&self, server: &ServerIncarnation, zone: &AvailabilityZone) -> ColdGranter {
        self.record_cluster();
        let is_granter = lock(&self.cold.views).is_granter(self.peers.node(), server, zone);
        match is_granter && self.peers.is_list_current() {
            true => ColdGranter::Granter,
            false => ColdGranter::Substitute,
        }
    }

    fn record_cold_timeout(&self, node: NodeId) {
        if lock(&self.cold.silent).record_timeout(node, self.clock.now()) {
            tracing::info!(%node, "granter of permits for cold servers does not respond");
        }
    }

    /// Decides on another gateway's request for a permit, and replies.
    pub(crate) fn apply_cold_request(self: &Arc<Self>, from: NodeId, request: ColdPermitRequest) {
        let ColdPermitRequest { id, server, zone, limit } = request;
        let granter = self.cold_granter(&server, &zone);
        let request = PermitRequestId { from, number: id };
        let permit = self.cold.grant(&server, Some(request), limit, granter, self.clock.now());
        let reply = PeerMessage::PermitReply(PermitReply { id, server, permit, statement: None });
        let limits = Arc::clone(self);
        tokio::spawn(async move { limits.peers.send_to_gateway(from, &reply).await });
    }
}

#[cfg(test)]
mod tests;
