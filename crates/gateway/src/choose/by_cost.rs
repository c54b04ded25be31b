//! Comparison of servers by the predicted time to the first event of a request.

use std::{sync::Arc, time::Duration};

use citrongw_state::{id::AvailabilityZone, request_cost::ServerWork};

use super::{ChoiceCriteria, Level, RemoteLoads, Scored};
use crate::{
    cost::CallCost,
    fleet::{Backend, PredictedTimes},
    peer_loads::{PeerLoadsView, work::ServerQueue},
};

const MS_PER_S: f64 = 1_000.0;
/// Bounds of predicted times: below any clock, and a day.
const MIN_MS: f64 = 1e-3;
const MAX_MS: f64 = 86_400_000.0;
/// Part of the prompts without a first event that is not prefilled: half of those in
/// progress.
const UNREAD_SHARE: f64 = 0.5;

/// Scores servers by the time to the first event of a request.
pub(super) fn score<'a>(
    servers: &[&'a Arc<Backend>],
    criteria: &ChoiceCriteria<'_>,
    cost: &CallCost,
    remote_loads: &RemoteLoads<'_>,
    peer_loads: &mut PeerLoadsView<'_>,
) -> Vec<Scored<'a>> {
    let remote_rates = RemoteRates::new(servers, criteria, cost, peer_loads);
    let scored = servers.iter().map(|&server| {
        let remote_requests = remote_loads.requests_at(server, criteria, peer_loads);
        let peer_requests = f64::from(peer_loads.zone_requests(server)) + remote_requests;
        let mut load = server.stats.estimate_load(criteria.now, peer_requests);
        let is_remote = server.zone != *criteria.zone;
        let mut queue = match is_remote {
            true => remote_rates.queue_at(server, load.requests, cost),
            false => queue(server, load.requests, cost, peer_loads),
        };
        let own = &server.stats.work;
        queue.tokens = queue.tokens.max(own.unread_tokens() * UNREAD_SHARE);
        let others = (load.requests - f64::from(server.stats.in_flight())).max(0.0);
        let remaining = own.remaining_tokens() + others * cost.mean.output_tokens / 2.0;
        let work = ServerWork {
            requests: load.requests,
            slots: cost.figures.usable_slots(server.slots.max(1).into(), &cost.mean),
            queued_tokens: queue.tokens,
            tokens_per_s: queue.tokens_per_s,
            remaining_output_tokens: remaining / load.requests.max(1.0),
        };
        let prediction = cost.figures.predict(&cost.expected, &cost.mean, &work);
        let slowness = own.slowness(criteria.now);
        let factor = slowness * cost.time_factor;
        let crossing_ms = if is_remote { cost.crossing.as_secs_f64() * MS_PER_S } else { 0.0 };
        let compared_ms = bounded(prediction.first_event_ms * factor + crossing_ms);
        load.predicted = Some(PredictedTimes {
            first_event: millis(bounded(prediction.first_event_ms)),
            event_gap: millis(bounded(prediction.event_gap_ms)),
            time_factor: cost.time_factor,
            compared: millis(compared_ms),
            queued_tokens: queue.tokens,
            slowness,
        });
        let capacity = 1.0 / bounded(prediction.per_request_ms * factor);
        Scored { level: Level { load: compared_ms, capacity }, load, server }
    });
    scored.collect()
}

/// Time in milliseconds within bounds, so that figures that are far off leave a choice.
fn bounded(ms: f64) -> f64 {
    if ms.is_nan() { MAX_MS } else { ms.clamp(MIN_MS, MAX_MS) }
}

/// Longest time for which arrivals since the reports count. A prompt that began before is
/// prefilled by now, and half of a later one on average.
pub(super) fn arrivals_age(scored: &[Scored<'_>]) -> Duration {
    let per_request_ms = scored.iter().map(|it| 1.0 / it.level.capacity);
    millis(per_request_ms.fold(f64::INFINITY, f64::min) / 2.0)
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / MS_PER_S).unwrap_or(Duration::MAX)
}

/// Queue of a server, with what is expected of prompts that are in no report.
fn queue(
    server: &Backend,
    requests: f64,
    cost: &CallCost,
    peer_loads: &mut PeerLoadsView<'_>,
) -> ServerQueue {
    let generating = requests.min(server.slots.into());
    let speed = cost.figures.queue_speed(generating, &cost.mean);
    let mut queue = peer_loads.queue(server, speed, cost.mean.prompt_tokens);
    queue.tokens += cost.figures.mean_queued_tokens(queue.remote_tokens_per_s, &speed);
    queue
}

/// Prompt tokens that arrive at the servers of each other zone.
///
/// The sums of a zone arrive later than a prompt waits. So the servers of a zone count as
/// equal, with the queue that follows from the rate.
struct RemoteRates<'a> {
    zones: Vec<(&'a AvailabilityZone, ZoneSums)>,
    /// Sums of this node's zone.
    own: ZoneSums,
}

/// Sums over the servers of a zone.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneSums {
    servers: f64,
    requests: f64,
    tokens_per_s: f64,
}

impl ZoneSums {
    fn add(&mut self, requests: f64, tokens_per_s: f64) {
        self.servers += 1.0;
        self.requests += requests;
        self.tokens_per_s += tokens_per_s;
    }
}

impl<'a> RemoteRates<'a> {
    fn new(
        servers: &[&'a Arc<Backend>],
        criteria: &ChoiceCriteria<'_>,
        cost: &CallCost,
        peer_loads: &mut PeerLoadsView<'_>,
    ) -> Self {
        let mut rates = Self { zones: Vec::new(), own: ZoneSums::default() };
        if servers.iter().all(|it| it.zone == *criteria.zone) {
            return rates;
        }
        for server in servers {
            let reported = peer_loads.zone_requests(server) + peer_loads.remote_requests(server);
            let requests = f64::from(reported + server.stats.in_flight());
            let rate = queue(server, requests, cost, peer_loads).tokens_per_s;
            if server.zone == *criteria.zone {
                rates.own.add(requests, rate);
                continue;
            }
            match rates.zones.iter_mut().find(|(zone, _)| **zone == server.zone) {
                Some((_, sums)) => sums.add(requests, rate),
                None => {
                    let mut sums = ZoneSums::default();
                    sums.add(requests, rate);
                    rates.zones.push((&server.zone, sums));
                }
            }
        }
        rates
    }

    /// Mean rate at the servers of a zone. A gateway of an earlier build reports no tokens
    /// for its zone, so a request there counts at least for the rate of one here.
    fn tokens_per_s(&self, zone: &AvailabilityZone) -> f64 {
        let zone = self.zones.iter().find(|(it, _)| *it == zone);
        let Some((_, sums)) = zone else { return 0.0 };
        let per_request = self.own.tokens_per_s / self.own.requests.max(1.0);
        sums.tokens_per_s.max(sums.requests * per_request) / sums.servers
    }

    fn queue_at(&self, server: &Backend, requests: f64, cost: &CallCost) -> ServerQueue {
        let tokens_per_s = self.tokens_per_s(&server.zone);
        let speed = cost.figures.queue_speed(requests.min(server.slots.into()), &cost.mean);
        let tokens = cost.figures.mean_queued_tokens(tokens_per_s, &speed);
        ServerQueue { tokens, tokens_per_s, remote_tokens_per_s: tokens_per_s }
    }
}

#[cfg(test)]
mod tests;
