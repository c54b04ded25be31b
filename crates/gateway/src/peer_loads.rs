//! Requests in flight at each replica from all gateways.
//!
//! With many gateways and few replicas, each gateway sees only part of a
//! replica's requests, and a load reported in a response is outdated by the next
//! request. So the gateways of a zone report to each other how many requests they
//! have at each replica and how many they have begun. One gateway of each zone,
//! its reporter, sends the sums of the zone to the gateways of the other zones.
//! A gateway therefore receives messages in proportion to its own zone and the
//! number of zones, not to all gateways.

pub mod publisher;
pub mod work;

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use citrongw_state::{
    id::{AvailabilityZone, Epoch, NodeId, ReplicaId},
    request_cost::prefill_queue::QueueSpeed,
    time::Time,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

pub(crate) use self::publisher::publish;
use self::work::{ReplicaQueues, ServerQueue, WorkReport};
use crate::{
    fleet::{Backend, ReplicaKey},
    lock::lock,
};

/// Time after which a report no longer counts.
const REPORT_EXPIRY: Duration = Duration::from_millis(2_500);

/// Requests of one gateway, or of all gateways of a zone, at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRequests {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Epoch of the replica.
    pub epoch: Epoch,
    /// Requests in flight.
    pub requests: u32,
    /// Requests begun during the time that the report covers.
    pub begun: u32,
}

impl ReplicaRequests {
    fn key(&self) -> ReplicaKey {
        ReplicaKey { replica: self.replica, epoch: self.epoch }
    }
}

/// Part of a report. A report with many replicas takes several datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Index of this part.
    pub part: u8,
    /// Number of parts.
    pub parts: u8,
    /// Time since the previous report, in milliseconds.
    pub covers_ms: u32,
    /// Replicas with requests.
    pub replicas: Vec<ReplicaRequests>,
}

impl LoadReport {
    fn covers(&self) -> Duration {
        Duration::from_millis(self.covers_ms.max(1).into())
    }
}

/// Whose requests a report counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReportSource {
    /// One gateway of the receiver's zone.
    Gateway(NodeId),
    /// All gateways of another zone.
    Zone(AvailabilityZone),
}

#[derive(Debug)]
struct ReceivedReport {
    received_at: Time,
    report: LoadReport,
    /// Whether the sender reports new requests at once, unless it has just reported.
    is_prompt: bool,
}

impl ReceivedReport {
    /// Requests per second that the report's gateway begins at a replica.
    fn begun_per_s(&self, requests: &ReplicaRequests) -> f64 {
        f64::from(requests.begun) / self.report.covers().as_secs_f64()
    }
}

/// Sums over the reports for one replica.
#[derive(Debug, Clone, Copy, Default)]
struct ReplicaTotals {
    /// Requests of the other gateways of the zone.
    zone_requests: u32,
    /// Requests per second that the other gateways of the zone begin.
    zone_begun_per_s: f64,
    /// Requests of the other zones.
    remote_requests: u32,
    /// Reports that name the replica.
    reports: u32,
}

/// Latest report of each source, with sums for each replica that are updated when
/// a report arrives, so that a choice of a server costs one look-up a replica.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: Mutex<Reports>,
    begun: Notify,
}

#[derive(Debug, Default)]
struct Reports {
    received: HashMap<(ReportSource, u8), ReceivedReport>,
    totals: HashMap<ReplicaKey, ReplicaTotals>,
    /// Prompt tokens at the replicas that requests are chosen for by cost.
    queues: ReplicaQueues,
}

impl PeerLoads {
    /// Records a part of a report, which replaces the same part of the previous
    /// one.
    pub fn record(&self, source: ReportSource, report: LoadReport, now: Time) {
        let mut reports = lock(&self.reports);
        let age = reports.begun_age(&source, report.covers());
        reports.queues.record_counts(age, &report, now);
        reports.record(source, report, false, now);
    }

    /// Records a part of a report of work.
    pub fn record_work(&self, source: ReportSource, report: &WorkReport, now: Time) {
        let mut reports = lock(&self.reports);
        reports.queues.record_work(is_gateway(&source), report, now);
        let counts = reports.queues.counts(report);
        reports.record(source, counts, true, now);
    }

    /// Records that this gateway began a request.
    pub fn record_begun(&self, replica: &ReplicaKey, prompt_tokens: u32, now: Time) {
        lock(&self.reports).queues.record_begun(replica, prompt_tokens, now);
        self.begun.notify_one();
    }

    /// Completes once this gateway began a request since the last call.
    async fn wait_until_begun(&self) {
        self.begun.notified().await;
    }

    /// Takes the prompt tokens that the gateways of the zone reported as begun since the
    /// last call.
    fn take_zone_tokens(&self) -> HashMap<ReplicaKey, f64> {
        lock(&self.reports).queues.take_zone_tokens()
    }

    /// Loads for one choice. Other users wait until the value is dropped.
    pub fn view(&self, now: Time) -> PeerLoadsView<'_> {
        let mut reports = lock(&self.reports);
        reports.remove_expired(now);
        PeerLoadsView { reports, now }
    }

    /// Sums of the zone for the other zones: the requests that the other gateways
    /// of this zone reported.
    fn zone_requests(&self, now: Time) -> HashMap<ReplicaKey, u32> {
        let mut reports = lock(&self.reports);
        reports.remove_expired(now);
        let mut sums: HashMap<ReplicaKey, u32> = HashMap::new();
        let of_zone = reports.received.iter().filter(|((from, _), _)| is_gateway(from));
        for requests in of_zone.flat_map(|(_, it)| &it.report.replicas) {
            *sums.entry(requests.key()).or_default() += requests.requests;
        }
        sums
    }

    /// Whether `node` has the lowest id of the gateways of its zone that report
    /// requests, and so sends the sums of the zone.
    fn is_reporter(&self, node: NodeId, now: Time) -> bool {
        let mut reports = lock(&self.reports);
        reports.remove_expired(now);
        !reports
            .received
            .keys()
            .any(|(from, _)| matches!(from, ReportSource::Gateway(other) if *other < node))
    }
}

fn is_gateway(source: &ReportSource) -> bool {
    matches!(source, ReportSource::Gateway(_))
}

impl Reports {
    /// Mean time from the begin of the requests in a report of counts; none for the sums
    /// of another zone. A gateway reports at its next interval.
    fn begun_age(&self, source: &ReportSource, covers: Duration) -> Option<Duration> {
        let reporting = self.received.keys().filter(|(from, _)| is_gateway(from)).count();
        is_gateway(source).then(|| covers.min(publisher::interval(reporting + 1)) / 2)
    }

    fn record(&mut self, source: ReportSource, report: LoadReport, is_prompt: bool, now: Time) {
        self.remove_expired(now);
        let previous_parts: Vec<_> = self
            .received
            .keys()
            .filter(|(from, part)| {
                *from == source && (*part == report.part || report.parts <= *part)
            })
            .cloned()
            .collect();
        for key in previous_parts {
            self.remove(&key);
        }
        self.add((source, report.part), ReceivedReport { received_at: now, report, is_prompt });
    }

    fn add(&mut self, key: (ReportSource, u8), received: ReceivedReport) {
        let in_zone = is_gateway(&key.0);
        for requests in &received.report.replicas {
            let totals = self.totals.entry(requests.key()).or_default();
            totals.reports += 1;
            if in_zone {
                totals.zone_requests += requests.requests;
                totals.zone_begun_per_s += received.begun_per_s(requests);
            } else {
                totals.remote_requests += requests.requests;
            }
        }
        self.received.insert(key, received);
    }

    fn remove(&mut self, key: &(ReportSource, u8)) {
        let Some(removed) = self.received.remove(key) else { return };
        for requests in &removed.report.replicas {
            let Entry::Occupied(mut occupied) = self.totals.entry(requests.key()) else { continue };
            let totals = occupied.get_mut();
            totals.reports -= 1;
            if is_gateway(&key.0) {
                totals.zone_requests -= requests.requests;
                totals.zone_begun_per_s -= removed.begun_per_s(requests);
            } else {
                totals.remote_requests -= requests.requests;
            }
            if totals.reports == 0 {
                occupied.remove();
            }
        }
    }

    fn remove_expired(&mut self, now: Time) {
        let is_expired = |it: &ReceivedReport| REPORT_EXPIRY <= now.since(it.received_at);
        if !self.received.values().any(is_expired) {
            return;
        }
        self.queues.remove_idle(now);
        self.received.retain(|_, it| !is_expired(it));
        // Summed anew, so that replicas without reports are forgotten and rounding
        // errors do not add up.
        self.totals.clear();
        for (key, received) in std::mem::take(&mut self.received) {
            self.add(key, received);
        }
    }
}

/// Loads of the other gateways at one time.
#[derive(Debug)]
pub struct PeerLoadsView<'a> {
    reports: MutexGuard<'a, Reports>,
    now: Time,
}

impl PeerLoadsView<'_> {
    /// Requests of the other gateways of the zone in flight at a server when they
    /// last reported.
    pub fn zone_requests(&self, server: &Backend) -> u32 {
        self.totals_at(server).zone_requests
    }

    /// Requests of the other zones in flight at a server when they last reported,
    /// which is longer ago.
    pub fn remote_requests(&self, server: &Backend) -> u32 {
        self.totals_at(server).remote_requests
    }

    /// Requests that the other gateways of the zone are expected to have begun at
    /// any of `servers` since they last reported, but at most for `max_age`.
    pub fn expected_arrivals<'s>(
        &self,
        servers: impl Iterator<Item = &'s Backend>,
        max_age: Duration,
    ) -> f64 {
        let begun_per_s: f64 = servers.map(|it| self.totals_at(it).zone_begun_per_s.max(0.0)).sum();
        begun_per_s * self.mean_age_s().min(max_age.as_secs_f64())
    }

    /// Prompt tokens that wait at a server. `mean_prompt` is the mean of its prompts.
    pub fn queue(&mut self, server: &Backend, speed: QueueSpeed, mean_prompt: f64) -> ServerQueue {
        let Some(key) = server.replica.as_ref() else { return ServerQueue::default() };
        self.reports.queues.at(key, speed, mean_prompt, self.now)
    }

    fn totals_at(&self, server: &Backend) -> ReplicaTotals {
        let key = server.replica.as_ref();
        key.and_then(|it| self.reports.totals.get(it)).copied().unwrap_or_default()
    }

    /// Mean time of the zone's gateways in which they may have begun requests that are
    /// not reported. A gateway that begins no requests does not report, so an age counts
    /// up to the time that the report covers. One that reports new requests at once has
    /// begun none if its report is older than the interval.
    fn mean_age_s(&self) -> f64 {
        let of_zone = || self.reports.received.iter().filter(|((from, _), _)| is_gateway(from));
        let interval = publisher::interval(of_zone().count() + 1);
        let ages = of_zone().map(|(_, it)| {
            let age = self.now.since(it.received_at);
            let is_complete = it.is_prompt && interval <= age;
            if is_complete { Duration::ZERO } else { age.min(it.report.covers()) }
        });
        let (count, sum) =
            ages.fold((0_u32, Duration::ZERO), |(count, sum), it| (count + 1, sum + it));
        sum.as_secs_f64() / f64::from(count.max(1))
    }
}

#[cfg(test)]
mod tests;
