//! Failure detection: schedule of pings, indirect pings and suspicion.

use std::{collections::VecDeque, time::Duration};

use citrongw_protocol::peer::{HolderQuery, MemberState, Message, SenderTimestamp};
use citrongw_state::{id::NodeId, time::Time};
use rand::{Rng, seq::SliceRandom};

use super::{
    Action, Membership,
    exchange::{ANY_NODE, PendingPing},
};

/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(350);
/// Interval while the key-value service does not respond and nodes confirm the
/// configuration to each other.
const STORE_SILENT_PING_INTERVAL: Duration = Duration::from_millis(250);
/// Time without an ack before indirect pings are requested.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an ack before the node is suspected.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which a late ack is still processed.
const LATE_ACK_LIMIT: Duration = Duration::from_secs(4);
/// Number of nodes requested to ping an unresponsive node on behalf of this one.
const INDIRECT_PINGS: usize = 2;
/// One ping in this many goes to another zone.
const OTHER_ZONE_EVERY: u64 = 8;
/// Interval between attempts to discover unknown nodes through the seeds.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);
/// Interval while some members are dead or left.
const GONE_DISCOVERY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval while no other node is known.
const ALONE_DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between full comparisons of state with another node.
const COMPARE_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between demand reports.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Period over which deaths count towards the suspicion that this node is
/// isolated.
const DEATHS_WINDOW: Duration = Duration::from_secs(10);

/// Probing schedule of one node.
#[derive(Debug)]
pub(super) struct Probing {
    next_ping_at: Time,
    round: Vec<NodeId>,
    next_discovery_at: Time,
    next_comparison_at: Time,
    next_demand_at: Time,
    deaths: VecDeque<(Time, usize)>,
}

impl Probing {
    pub(super) fn new(now: Time) -> Self {
        Self {
            next_ping_at: now,
            round: Vec::new(),
            next_discovery_at: now,
            next_comparison_at: now + COMPARE_INTERVAL,
            next_demand_at: now,
            deaths: VecDeque::new(),
        }
    }

    pub(super) fn demand_due(&mut self, now: Time) -> bool {
        if now < self.next_demand_at {
            return false;
        }
        self.next_demand_at = now + DEMAND_INTERVAL;
        true
    }

    pub(super) fn record_deaths(&mut self, count: usize, now: Time) {
        self.deaths.push_back((now, count));
        while self.deaths.front().is_some_and(|(at, _)| DEATHS_WINDOW < now.since(*at)) {
            self.deaths.pop_front();
        }
    }

    pub(super) fn recent_deaths(&self) -> usize {
        self.deaths.iter().map(|(_, count)| count).sum()
    }
}

impl Membership {
    /// Sends the pings and fetches that are due and handles missing acks.
    pub(super) fn probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.check_timeouts(now, actions);
        if self.probing.next_ping_at <= now {
            self.probing.next_ping_at = now + self.ping_interval(now);
            self.exchanges.ping_count += 1;
            if let Some(target) = self.next_target() {
                self.ping(target, now, actions);
            }
        }
        if self.probing.next_discovery_at <= now {
            self.discover(now, actions);
        }
        if self.probing.next_comparison_at <= now {
            self.probing.next_comparison_at = now + COMPARE_INTERVAL;
            let target = self.random_in_zone().or_else(|| self.random_in_other_zone());
            if let Some(addr) = target.and_then(|it| self.addr_of(it)) {
                self.fetch(addr, true, now, actions);
            }
        }
    }

    fn ping_interval(&mut self, now: Time) -> Duration {
        let store_silent = self.held_config.holder_query(now) == HolderQuery::Ages;
        let interval = if store_silent { STORE_SILENT_PING_INTERVAL } else { PING_INTERVAL };
        interval.mul_f64(self.rng.random_range(0.9..1.1))
    }

    fn next_target(&mut self) -> Option<NodeId> {
        let count = self.exchanges.ping_count;
        if count % OTHER_ZONE_EVERY == OTHER_ZONE_EVERY - 1 {
            return self.random_in_other_zone().or_else(|| self.next_in_round());
        }
        if count % 2 == 0 {
            return self
                .parent()
                .or_else(|| self.first_in_other_zone())
                .or_else(|| self.next_in_round());
        }
        self.next_in_round().or_else(|| self.first_in_other_zone())
    }

    /// Next member of the zone; the order is shuffled for each round.
    fn next_in_round(&mut self) -> Option<NodeId> {
        if self.probing.round.is_empty() {
            let this = self.this.id;
            let mut round: Vec<NodeId> = self.members.live_in_zone(&self.this.zone).collect();
            round.retain(|it| *it != this);
            round.shuffle(&mut self.rng);
            self.probing.round = round;
        }
        while let Some(node) = self.probing.round.pop() {
            let live =
                self.members.get(node).is_some_and(|it| it.update.state <= MemberState::Suspect);
            if live {
                return Some(node);
            }
        }
        None
    }

    fn check_timeouts(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut indirect = Vec::new();
        let mut unresponsive = Vec::new();
        for (stamp, pending) in &mut self.exchanges.pending {
            let waited = now.since(pending.sent_at);
            if DIRECT_TIMEOUT <= waited && !pending.indirect_requested {
                pending.indirect_requested = true;
                indirect.push((*stamp, pending.target));
            }
            if SUSPECT_TIMEOUT <= waited && !pending.suspected {
                pending.suspected = true;
                unresponsive.push(pending.target);
            }
        }
        self.exchanges.pending.retain(|_, it| now.since(it.sent_at) < LATE_ACK_LIMIT);
        let oldest_kept =
            SenderTimestamp(u64::try_from((now - LATE_ACK_LIMIT).0.as_micros()).unwrap_or(0));
        self.exchanges.relayed = self.exchanges.relayed.split_off(&oldest_kept);
        for (stamp, target) in indirect {
            self.request_indirect_pings(stamp, target, actions);
        }
        for target in unresponsive {
            if let Some(update) = self.members.set_state(target, MemberState::Suspect, now) {
                self.gossip.add_member(update);
            }
        }
    }

    fn request_indirect_pings(
        &mut self,
        stamp: SenderTimestamp,
        target: NodeId,
        actions: &mut Vec<Action>,
    ) {
        for _ in 0..INDIRECT_PINGS {
            let relay = self.random_in_zone().or_else(|| self.random_in_other_zone());
            let Some(relay) = relay.filter(|it| *it != target) else { continue };
            if let Some(addr) = self.addr_of(relay) {
                self.send(addr, relay, Message::PingRequest { stamp, target }, actions);
            }
        }
    }

    /// Pings a seed, and a dead member that may have returned.
    fn discover(&mut self, now: Time, actions: &mut Vec<Action>) {
        let gone = self.random_gone();
        self.probing.next_discovery_at = now
            + match (self.members.alive_count(), gone) {
                (1, _) => ALONE_DISCOVERY_INTERVAL,
                (_, Some(_)) => GONE_DISCOVERY_INTERVAL,
                (_, None) => DISCOVERY_INTERVAL,
            };
        let dead = gone.filter(|it| {
            self.members.get(*it).is_some_and(|it| it.update.state == MemberState::Dead)
        });
        if let Some(node) = dead
            && let Some(addr) = self.addr_of(node)
        {
            let stamp = self.exchanges.stamp(now);
            self.send_ping(addr, node, stamp, Vec::new(), now, actions);
        }
        if self.seeds.is_empty() {
            return;
        }
        let seed = self.seeds[self.rng.random_range(0..self.seeds.len())];
        if seed != self.this.peer_addr {
            let stamp = self.exchanges.stamp(now);
            let pending = PendingPing {
                target: ANY_NODE,
                sent_at: now,
                indirect_requested: true,
                suspected: true,
            };
            self.exchanges.pending.insert(stamp, pending);
            self.send_ping(seed, ANY_NODE, stamp, Vec::new(), now, actions);
        }
    }
}
