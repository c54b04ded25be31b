//! Servers that this gateway takes as cold: sets their limits, logs and counts changes.
//!
//! Without the bounds in the settings no server is ever taken as cold.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use citrongw_coordination::clock::Clock;
use citrongw_state::{
    cold_server::{
        ColdBounds, ColdLimit,
        tracker::{ColdChange, ColdServers},
    },
    id::{AvailabilityZone, ServerIncarnation},
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use tokio::time::sleep;

use crate::{
    control::step::Host,
    feed::RoutingState,
    fleet::{Backend, Fleet},
    gateway_config::GatewayConfig,
    lock::lock,
};

/// Interval between checks for changes that are logged.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PermitLabels {
    source: &'static str,
    outcome: &'static str,
}

/// Metrics of cold servers. Clones share the values.
#[derive(Debug, Clone, Default)]
pub struct ColdMetrics {
    cold: Gauge,
    began: Family<ReasonLabels, Counter>,
    ended: Counter,
    permits: Family<PermitLabels, Counter>,
}

impl ColdMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("cold_servers", "Servers that are taken as cold", self.cold.clone());
        registry.register(
            "cold_servers_began",
            "Servers that were taken as cold, by reason",
            self.began.clone(),
        );
        registry.register(
            "cold_servers_ended",
            "Servers that were taken as warm after they were cold",
            self.ended.clone(),
        );
        registry.register(
            "cold_permits",
            "Requests for permits of cold servers by source and outcome",
            self.permits.clone(),
        );
    }

    pub(crate) fn count_permit(&self, source: &'static str, is_granted: bool) {
        let outcome = if is_granted { "granted" } else { "denied" };
        self.permits.get_or_create(&PermitLabels { source, outcome }).inc();
    }
}

/// Cold servers as known to this gateway.
#[derive(Debug)]
pub(crate) struct ColdWatch {
    bounds: Option<ColdBounds>,
    clock: Clock,
    metrics: ColdMetrics,
    servers: Mutex<ColdServers>,
    /// Whether this gateway has known any server yet.
    has_servers: AtomicBool,
}

/// Creates a watch that knows no servers.
pub(crate) fn open(bounds: Option<ColdBounds>, metrics: ColdMetrics, clock: Clock) -> ColdWatch {
    ColdWatch {
        bounds,
        clock,
        metrics,
        servers: Mutex::default(),
        has_servers: AtomicBool::new(false),
    }
}

impl ColdWatch {
    /// Whether the settings limit cold servers.
    pub(crate) fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Records the servers of a new snapshot, before requests are sent to them. The
    /// servers of the first one were there before this gateway.
    pub(crate) fn record_fleet(&self, config: &GatewayConfig, fleet: &Fleet, has_traffic: bool) {
        if self.bounds.is_none() {
            return;
        }
        let had_servers = match fleet.servers().next() {
            Some(_) => self.has_servers.swap(true, Ordering::Relaxed),
            None => self.has_servers.load(Ordering::Relaxed),
        };
        let serving = fleet.servers().filter_map(|(service, backend)| {
            let start = config.services.get(service)?.cold_start?;
            Some((backend.server(), start.duration))
        });
        let now = self.clock.now();
        lock(&self.servers).record_serving(serving, has_traffic && had_servers, now);
        self.set_limits(config, fleet);
    }

    /// Records the times until servers are warm, as they state themselves.
    pub(crate) fn record_stated(
        &self,
        stated: impl Iterator<Item = (ServerIncarnation, Duration)>,
    ) {
        if self.bounds.is_none() {
            return;
        }
        let now = self.clock.now();
        let mut servers = lock(&self.servers);
        for (server, left) in stated {
            servers.record_stated(&server, left, now);
        }
    }

    /// Sets the limits of a snapshot's servers.
    pub(crate) fn set_limits(&self, config: &GatewayConfig, fleet: &Fleet) {
        let Some(bounds) = self.bounds else { return };
        let now = self.clock.now();
        let servers = lock(&self.servers);
        for (service, backend) in fleet.servers() {
            match config.services.get(service).and_then(|it| it.cold_start) {
                Some(start) => {
                    let until = servers.cold_until(&backend.server(), now);
                    backend.stats.cold.set(ColdLimit::new(start, bounds), until);
                }
                None => backend.stats.cold.clear(),
            }
        }
    }

    /// Records that a server refused a connection. True if it may be cold by that.
    pub(crate) fn record_refused(&self, backend: &Backend) -> bool {
        if self.bounds.is_some() {
            lock(&self.servers).record_refused(&backend.server());
        }
        self.bounds.is_some()
    }

    /// Records a response of a server. True if it ends the uncertainty of when the server
    /// started.
    pub(crate) fn record_response(&self, backend: &Backend) -> bool {
        if !backend.stats.cold.awaits_response() {
            return false;
        }
        lock(&self.servers).record_response(&backend.server(), self.clock.now());
        true
    }

    /// Marks the hosts that are known to be cold, also if they take no requests yet.
    pub(crate) fn mark_hosts<'a>(&self, hosts: impl Iterator<Item = &'a mut Host>) {
        if self.bounds.is_none() {
            return;
        }
        let now = self.clock.now();
        let servers = lock(&self.servers);
        for host in hosts {
            let (instance, incarnation) = (host.id.clone(), host.incarnation);
            let server = ServerIncarnation { instance, incarnation };
            host.is_cold = servers.cold_until(&server, now).is_some();
        }
    }

    /// Records that the servers of a zone take requests again after none were sent there.
    pub(crate) fn record_returned(&self, zone: &AvailabilityZone, fleet: &Fleet) {
        let now = self.clock.now();
        let mut servers = lock(&self.servers);
        for (_, backend) in fleet.servers().filter(|(_, it)| it.zone == *zone) {
            servers.record_returned(&backend.server(), now);
        }
    }

    /// Statements of servers that other gateways cannot derive.
    pub(crate) fn statements(&self) -> Vec<(ServerIncarnation, Duration)> {
        lock(&self.servers).statements(self.clock.now())
    }

    fn log_changes(&self) {
        let now = self.clock.now();
        let (changes, cold) = {
            let mut servers = lock(&self.servers);
            (servers.changes(now), servers.cold_count(now))
        };
        self.metrics.cold.set(i64::try_from(cold).unwrap_or(i64::MAX));
        for ColdChange { server, is_cold, reason, left } in changes {
            let left_ms = left.map(|it| it.as_millis());
            if is_cold {
                let labels = ReasonLabels { reason: reason.to_string() };
                self.metrics.began.get_or_create(&labels).inc();
                tracing::info!(%server, %reason, left_ms, "backend server is taken as cold");
            } else {
                self.metrics.ended.inc();
                tracing::info!(%server, %reason, "backend server is warm");
            }
        }
    }
}

/// Logs and counts changes; never returns.
pub(crate) async fn log_changes(routing: Arc<RoutingState>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        routing.cold.log_changes();
    }
}

#[cfg(test)]
mod tests;
