//! Whom a node asks when, and what it concludes from silence.

use std::{collections::VecDeque, time::Duration};

use citrongw_protocol::peer::{HolderQuery, MemberState, Message, SenderTimestamp};
use citrongw_state::{id::NodeId, time::Time};
use rand::{Rng, seq::SliceRandom};

use super::{
    Action, Membership,
    exchange::{ANY_NODE, PendingPing},
};

/// Pause between two questions.
const INTERVAL: Duration = Duration::from_millis(350);
/// The same while the service is silent and the nodes vouch for each other.
const SILENT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for an answer before others are asked to try.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for an answer before the node is suspected.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which a late answer is still taken in.
const ANSWER_TAKEN: Duration = Duration::from_secs(4);
/// Nodes asked to try.
const HELPERS: usize = 2;
/// Of so many questions, one goes to another zone.
const OUTSIDE_EVERY: u64 = 8;
/// Pause between two tries to find nodes that are not known or gone.
const SEEK_INTERVAL: Duration = Duration::from_secs(5);
/// The same while some are held for gone.
const GONE_INTERVAL: Duration = Duration::from_secs(1);
/// The same while no other node is known.
const ALONE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two comparisons of everything with another node.
const COMPARE_INTERVAL: Duration = Duration::from_secs(30);
/// Pause between two demand reports.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Span over which deaths raise doubt.
const DEATHS_SPAN: Duration = Duration::from_secs(10);

/// Schedule of one node.
#[derive(Debug)]
pub(super) struct Probing {
    next_at: Time,
    round: Vec<NodeId>,
    seek_at: Time,
    compare_at: Time,
    demand_at: Time,
    deaths: VecDeque<(Time, usize)>,
}

impl Probing {
    pub(super) fn new(now: Time) -> Self {
        Self {
            next_at: now,
            round: Vec::new(),
            seek_at: now,
            compare_at: now + COMPARE_INTERVAL,
            demand_at: now,
            deaths: VecDeque::new(),
        }
    }

    pub(super) fn demand_due(&mut self, now: Time) -> bool {
        if now < self.demand_at {
            return false;
        }
        self.demand_at = now + DEMAND_INTERVAL;
        true
    }

    pub(super) fn record_deaths(&mut self, count: usize, now: Time) {
        self.deaths.push_back((now, count));
        while self.deaths.front().is_some_and(|(at, _)| DEATHS_SPAN < now.since(*at)) {
            self.deaths.pop_front();
        }
    }

    pub(super) fn recent_deaths(&self) -> usize {
        self.deaths.iter().map(|(_, count)| count).sum()
    }
}

impl Membership {
    /// Asks whom it is time to ask, and draws conclusions from silence.
    pub(super) fn probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.judge_silence(now, actions);
        if self.probing.next_at <= now {
            self.probing.next_at = now + self.exchange_interval(now);
            self.exchanges.count += 1;
            if let Some(target) = self.next_target() {
                self.ping(target, now, actions);
            }
        }
        if self.probing.seek_at <= now {
            self.seek(now, actions);
        }
        if self.probing.compare_at <= now {
            self.probing.compare_at = now + COMPARE_INTERVAL;
            let target = self.random_in_zone().or_else(|| self.random_in_other_zone());
            if let Some(addr) = target.and_then(|it| self.addr_of(it)) {
                self.fetch(addr, true, now, actions);
            }
        }
    }

    fn exchange_interval(&mut self, now: Time) -> Duration {
        let silent = self.held_config.holders_wanted(now) == HolderQuery::Ages;
        let interval = if silent { SILENT_INTERVAL } else { INTERVAL };
        interval.mul_f64(self.rng.random_range(0.9..1.1))
    }

    fn next_target(&mut self) -> Option<NodeId> {
        let count = self.exchanges.count;
        if count % OUTSIDE_EVERY == OUTSIDE_EVERY - 1 {
            return self.random_in_other_zone().or_else(|| self.next_of_round());
        }
        if count % 2 == 0 {
            return self
                .parent()
                .or_else(|| self.first_in_other_zone())
                .or_else(|| self.next_of_round());
        }
        self.next_of_round().or_else(|| self.first_in_other_zone())
    }

    /// Goes round the members of the zone, in a new order each time.
    fn next_of_round(&mut self) -> Option<NodeId> {
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

    fn judge_silence(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut help = Vec::new();
        let mut silent = Vec::new();
        for (stamp, pending) in &mut self.exchanges.pending {
            let waited = now.since(pending.sent_at);
            if DIRECT_TIMEOUT <= waited && !pending.indirect_requested {
                pending.indirect_requested = true;
                help.push((*stamp, pending.target));
            }
            if SUSPECT_TIMEOUT <= waited && !pending.suspected {
                pending.suspected = true;
                silent.push(pending.target);
            }
        }
        self.exchanges.pending.retain(|_, it| now.since(it.sent_at) < ANSWER_TAKEN);
        let lost = SenderTimestamp(u64::try_from((now - ANSWER_TAKEN).0.as_micros()).unwrap_or(0));
        self.exchanges.relayed = self.exchanges.relayed.split_off(&lost);
        for (stamp, target) in help {
            self.ask_helpers(stamp, target, actions);
        }
        for target in silent {
            if let Some(update) = self.members.set_state(target, MemberState::Suspect, now) {
                self.gossip.add_member(update);
            }
        }
    }

    fn ask_helpers(&mut self, stamp: SenderTimestamp, target: NodeId, actions: &mut Vec<Action>) {
        for _ in 0..HELPERS {
            let helper = self.random_in_zone().or_else(|| self.random_in_other_zone());
            let Some(helper) = helper.filter(|it| *it != target) else { continue };
            if let Some(addr) = self.addr_of(helper) {
                self.send(addr, helper, Message::PingRequest { stamp, target }, actions);
            }
        }
    }

    /// Looks for nodes by the seeds, and for gone ones that may be back.
    fn seek(&mut self, now: Time, actions: &mut Vec<Action>) {
        let gone = self.random_gone();
        self.probing.seek_at = now
            + match (self.members.alive_count(), gone) {
                (1, _) => ALONE_INTERVAL,
                (_, Some(_)) => GONE_INTERVAL,
                (_, None) => SEEK_INTERVAL,
            };
        let back = gone.filter(|it| {
            self.members.get(*it).is_some_and(|it| it.update.state == MemberState::Dead)
        });
        if let Some(node) = back
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
