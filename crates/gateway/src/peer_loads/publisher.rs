//! Reports of this gateway's requests to its zone and, from the reporter of the
//! zone, sums of the zone to the others.

use std::{collections::HashMap, sync::Arc, time::Duration};

use citrongw_state::{id::NodeId, time::Time};
use tokio::time::{sleep, timeout};

use super::{LoadReport, PeerLoads, ReplicaRequests, work::WorkReport};
use crate::{
    fleet::{Backend, ReplicaKey},
    node::Gateway,
    peers::message::PeerMessage,
};

/// Shortest interval between reports of a gateway.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest interval between reports of a gateway.
const MAX_INTERVAL: Duration = Duration::from_millis(1_000);
/// Part of the interval that is added for each gateway of the zone. It bounds the
/// reports that one gateway receives to 200 a second.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(5);
/// Longest time without a report while requests are in flight: less than half of
/// the expiry, so that one report may be lost.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_100);
/// Interval between the sums of a zone for the other zones.
const ZONE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest delay of a report that has only ends of requests, beside the interval, if new
/// requests are reported at once.
pub const MAX_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Interval between the messages by which gateways learn who reads reports of work. They
/// go only to those that are not known to, so there are none once all do.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Limit on the replicas of one datagram.
const MAX_REPLICAS: usize = 60;

/// Interval between reports when the zone has `gateways` gateways.
pub fn interval(gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    INTERVAL_PER_GATEWAY.saturating_mul(gateways).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Reports that are due, in parts of a datagram each.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DueReports {
    /// Requests of this gateway, for the gateways of its zone.
    pub own: Vec<LoadReport>,
    /// Sums of the zone, for the gateways of the other zones.
    pub zone: Vec<LoadReport>,
    /// The reports of `own` for gateways that read work.
    pub own_work: Vec<WorkReport>,
    /// The reports of `zone` for gateways that read work.
    pub zone_work: Vec<WorkReport>,
}

/// Decides what a gateway reports and when.
#[derive(Debug)]
pub struct LoadPublisher {
    node: NodeId,
    /// Requests begun at each replica by the last report.
    begun: HashMap<ReplicaKey, u32>,
    /// Prompt tokens begun at each replica by the last report.
    begun_tokens: HashMap<ReplicaKey, u32>,
    /// Prompt tokens of this gateway that the next sums of the zone count.
    unsummed_tokens: HashMap<ReplicaKey, f64>,
    /// Whether other gateways may read work.
    reports_work: bool,
    /// Requests in flight in the last report.
    in_flight: HashMap<ReplicaKey, u32>,
    reported_at: Time,
    zone_reported_at: Time,
    /// Whether the last sums of the zone had requests.
    zone_has_requests: bool,
}

/// Creates the publisher of a gateway that has reported nothing.
pub fn open(node: NodeId) -> LoadPublisher {
    LoadPublisher {
        node,
        begun: HashMap::new(),
        begun_tokens: HashMap::new(),
        unsummed_tokens: HashMap::new(),
        reports_work: false,
        in_flight: HashMap::new(),
        reported_at: Time::START,
        zone_reported_at: Time::START,
        zone_has_requests: false,
    }
}

impl LoadPublisher {
    /// Makes the publisher report work too.
    pub fn with_work(self) -> Self {
        Self { reports_work: true, ..self }
    }

    /// Reports that are due at `now`. They count as sent.
    pub fn due<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Arc<Backend>>,
        peer_loads: &PeerLoads,
        now: Time,
    ) -> DueReports {
        let servers: Vec<(&ReplicaKey, &Arc<Backend>)> =
            servers.filter_map(|it| Some((it.replica.as_ref()?, it))).collect();
        let current: Vec<ReplicaRequests> = servers
            .iter()
            .map(|(key, server)| self.requests_at(key, server))
            .filter(|it| it.requests != 0 || it.begun != 0)
            .collect();
        let mut due = DueReports::default();
        let covers = now.since(self.reported_at);
        if self.is_changed(&current) || (!current.is_empty() && KEEPALIVE_INTERVAL <= covers) {
            self.begun = servers
                .iter()
                .map(|(key, it)| (ReplicaKey::clone(key), it.stats.begun()))
                .collect();
            let in_flight = current.iter().filter(|it| it.requests != 0);
            self.in_flight = in_flight.map(|it| (it.key(), it.requests)).collect();
            self.reported_at = now;
            due.own = split(&current, covers);
            if self.reports_work {
                let tokens = self.take_tokens(&servers);
                let age = begun_age(&servers, &tokens, now);
                let work = |it: &LoadReport| {
                    WorkReport::new(it, age, |key| tokens.get(key).copied().unwrap_or_default())
                };
                due.own_work = due.own.iter().map(work).collect();
                for (key, tokens) in tokens {
                    *self.unsummed_tokens.entry(key).or_default() += tokens;
                }
            }
        }
        let covers = now.since(self.zone_reported_at);
        if ZONE_INTERVAL <= covers && !peer_loads.is_reporter(self.node, now) {
            self.unsummed_tokens.clear();
            drop(peer_loads.take_zone_tokens());
        } else if ZONE_INTERVAL <= covers {
            let sums = zone_sums(peer_loads, &current, now);
            // Before any traffic, each gateway takes itself for the reporter.
            if !sums.is_empty() || self.zone_has_requests {
                self.zone_has_requests = !sums.is_empty();
                self.zone_reported_at = now;
                due.zone = split(&sums, covers);
                if self.reports_work {
                    let mut tokens = peer_loads.take_zone_tokens();
                    for (key, own) in self.unsummed_tokens.drain() {
                        *tokens.entry(key).or_default() += own;
                    }
                    let work = |it: &LoadReport| {
                        let of = |key: &_| tokens.get(key).copied().unwrap_or_default();
                        WorkReport::new(it, covers / 2, of)
                    };
                    due.zone_work = due.zone.iter().map(work).collect();
                }
            }
        }
        due
    }

    /// Prompt tokens begun at each replica since the last report.
    fn take_tokens(
        &mut self,
        servers: &[(&ReplicaKey, &Arc<Backend>)],
    ) -> HashMap<ReplicaKey, f64> {
        let begun =
            servers.iter().map(|(key, it)| (ReplicaKey::clone(key), it.stats.work.begun_tokens()));
        let before = std::mem::replace(&mut self.begun_tokens, begun.collect());
        let since = self.begun_tokens.iter().map(|(key, begun)| {
            let before = before.get(key).copied().unwrap_or_default();
            (key.clone(), f64::from(begun.wrapping_sub(before)))
        });
        since.filter(|(_, tokens)| 0.0 < *tokens).collect()
    }

    fn requests_at(&self, key: &ReplicaKey, server: &Backend) -> ReplicaRequests {
        let reported = self.begun.get(key).copied().unwrap_or_default();
        ReplicaRequests {
            replica: key.replica,
            epoch: key.epoch,
            requests: server.stats.in_flight(),
            begun: server.stats.begun().wrapping_sub(reported),
        }
    }

    fn is_changed(&self, current: &[ReplicaRequests]) -> bool {
        let in_flight: HashMap<ReplicaKey, u32> = current
            .iter()
            .filter(|it| it.requests != 0)
            .map(|it| (it.key(), it.requests))
            .collect();
        current.iter().any(|it| it.begun != 0) || in_flight != self.in_flight
    }
}

/// Mean time since the last request began at each replica with new ones.
fn begun_age(
    servers: &[(&ReplicaKey, &Arc<Backend>)],
    tokens: &HashMap<ReplicaKey, f64>,
    now: Time,
) -> Duration {
    let new = servers.iter().filter(|(key, _)| tokens.contains_key(*key));
    let ages = new.map(|(_, server)| now.since(server.stats.work.last_begun_at()));
    let (count, sum) = ages.fold((0, Duration::ZERO), |(count, sum), it| (count + 1, sum + it));
    sum / count.max(1)
}

/// Requests of a zone at each replica: those that its other gateways reported,
/// and `own`.
fn zone_sums(peer_loads: &PeerLoads, own: &[ReplicaRequests], now: Time) -> Vec<ReplicaRequests> {
    let mut sums = peer_loads.zone_requests(now);
    for it in own {
        *sums.entry(it.key()).or_default() += it.requests;
    }
    let in_use = sums.into_iter().filter(|(_, requests)| *requests != 0);
    in_use
        .map(|(key, requests)| ReplicaRequests {
            replica: key.replica,
            epoch: key.epoch,
            requests,
            begun: 0,
        })
        .collect()
}

/// Splits a report into parts that fit into a datagram each.
fn split(replicas: &[ReplicaRequests], covers: Duration) -> Vec<LoadReport> {
    let covers_ms = u32::try_from(covers.as_millis()).unwrap_or(u32::MAX);
    let mut chunks: Vec<&[ReplicaRequests]> = replicas.chunks(MAX_REPLICAS).collect();
    if chunks.is_empty() {
        chunks.push(&[]);
    }
    if usize::from(u8::MAX) < chunks.len() {
        let left_out = chunks.len() - usize::from(u8::MAX);
        tracing::warn!(left_out, "load report has too many parts");
        chunks.truncate(u8::MAX.into());
    }
    let parts = chunks.len() as u8;
    let numbered = (0..parts).zip(chunks);
    numbered
        .map(|(part, chunk)| LoadReport { part, parts, covers_ms, replicas: chunk.to_vec() })
        .collect()
}

/// Publishes the requests of this gateway and of its zone; never returns.
pub(crate) async fn publish(gateway: Arc<Gateway>) {
    let zone = &gateway.settings.zone;
    let mut publisher = open(gateway.node);
    let by_cost = gateway.settings.by_cost;
    if by_cost {
        publisher = publisher.with_work();
    }
    let mut announced_at = None;
    let mut is_sent = true;
    loop {
        let interval = interval(gateway.peers.cluster().gateways_of(zone).count());
        if !by_cost || is_sent {
            sleep(interval).await;
        }
        if by_cost {
            // Prompts wait for less time than the interval, so a new request is reported
            // at once if the last report is an interval old.
            let _ = timeout(MAX_REPORT_DELAY, gateway.peer_loads.wait_until_begun()).await;
        }
        let now = gateway.clock.now();
        if by_cost && announced_at.is_none_or(|it| ANNOUNCE_INTERVAL <= now.since(it)) {
            announced_at = Some(now);
            gateway.peers.announce_work_reader(now).await;
        }
        let fleet = gateway.routing.fleet.load_full();
        let due = publisher.due(fleet.replicas(), &gateway.peer_loads, now);
        is_sent = !due.own.is_empty();
        let mut work = due.own_work.into_iter();
        for part in due.own {
            let counts = PeerMessage::Load(part);
            let work = work.next().map(PeerMessage::Work);
            gateway.peers.send_load(&counts, work.as_ref(), |it| it.zone == *zone).await;
        }
        let mut work = due.zone_work.into_iter();
        for report in due.zone {
            let counts = PeerMessage::ZoneLoad { zone: zone.clone(), report };
            let work =
                work.next().map(|it| PeerMessage::ZoneWork { zone: zone.clone(), report: it });
            gateway.peers.send_load(&counts, work.as_ref(), |it| it.zone != *zone).await;
        }
    }
}

#[cfg(test)]
mod tests;
