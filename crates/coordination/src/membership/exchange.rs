//! Questions, answers and what rides along.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use citrongw_protocol::peer::{
    Ack, AggregateDemand, ConfigState, FetchRequest, Gossip, MAX_DATAGRAM_BYTES, MemberState,
    MemberUpdate, Message, Ping, SenderTimestamp,
};
use citrongw_state::{id::NodeId, time::Time};

use super::{Action, Membership, gossip::SendLimits, members::MergeOutcome};

/// Time after the start for which a node introduces itself to all it asks.
const INTRODUCTION: Duration = Duration::from_secs(10);
/// Of so many later questions, one carries the introduction.
const INTRODUCE_EVERY: u64 = 32;
/// Time after which a question over TCP counts as lost.
const FETCH_LOST: Duration = Duration::from_millis(1500);
/// Pause between two questions over TCP that found nothing.
const FETCH_PAUSE: Duration = Duration::from_millis(200);
/// Bytes of a datagram that are not its message: seal, UDP and IP headers.
const AROUND_BYTES: usize = 41 + 28;
/// Node whose id is not known.
pub(super) const ANY_NODE: NodeId = NodeId(0);

/// Question under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPing {
    pub(super) target: NodeId,
    pub(super) sent_at: Time,
    pub(super) indirect_requested: bool,
    pub(super) suspected: bool,
}

/// Questions of one node.
#[derive(Debug)]
pub(super) struct Exchanges {
    pub(super) count: u64,
    pub(super) pending: BTreeMap<SenderTimestamp, PendingPing>,
    /// Questions asked for others, by the stamp of the own ping.
    pub(super) relayed: BTreeMap<SenderTimestamp, (NodeId, SenderTimestamp)>,
    started_at: Time,
    fetch_at: Time,
}

impl Exchanges {
    pub(super) fn new(now: Time) -> Self {
        Self {
            count: 0,
            pending: BTreeMap::new(),
            relayed: BTreeMap::new(),
            started_at: now,
            fetch_at: now,
        }
    }

    pub(super) fn stamp(&self, now: Time) -> SenderTimestamp {
        let mut stamp = SenderTimestamp(u64::try_from(now.0.as_micros()).unwrap_or(u64::MAX));
        while self.pending.contains_key(&stamp) || self.relayed.contains_key(&stamp) {
            stamp.0 += 1;
        }
        stamp
    }
}

impl Membership {
    pub(super) fn addr_of(&self, node: NodeId) -> Option<SocketAddr> {
        let known = self.members.get(node).map(|it| it.update.addr);
        known.or_else(|| self.nonmember_addrs.get(&node).copied())
    }

    pub(super) fn ping(&mut self, target: NodeId, now: Time, actions: &mut Vec<Action>) {
        let Some(addr) = self.addr_of(target) else { return };
        let stamp = self.exchanges.stamp(now);
        let pending =
            PendingPing { target, sent_at: now, indirect_requested: false, suspected: false };
        self.exchanges.pending.insert(stamp, pending);
        let demand = self.demand_for(target, now);
        self.send_ping(addr, target, stamp, demand, now, actions);
    }

    pub(super) fn send_ping(
        &mut self,
        addr: SocketAddr,
        to: NodeId,
        stamp: SenderTimestamp,
        demand: Vec<AggregateDemand>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let young = now.since(self.exchanges.started_at) < INTRODUCTION;
        let introduces = to == ANY_NODE || young || self.exchanges.count % INTRODUCE_EVERY == 0;
        let message = Message::Ping(Ping {
            stamp,
            introduction: self.members.own().filter(|_| introduces).cloned(),
            standing: self.held_config.config_state(now),
            holders_wanted: self.held_config.holders_wanted(now),
            ever_held: match self.is_inside(to) {
                true => self.held_config.ever_held_bits(now),
                false => Vec::new(),
            },
            demand,
            gossip: Gossip::default(),
        });
        self.send(addr, to, message, actions);
    }

    /// Demand that goes with a question to `target`.
    fn demand_for(&mut self, target: NodeId, now: Time) -> Vec<AggregateDemand> {
        let above = self.parent();
        if above == Some(target) || (above.is_none() && !self.is_inside(target)) {
            return self.demand.subtree(now);
        }
        Vec::new()
    }

    fn is_inside(&self, node: NodeId) -> bool {
        self.members.get(node).is_some_and(|it| it.update.zone == self.this.zone)
    }

    /// Takes in a message.
    pub(super) fn receive(
        &mut self,
        from: NodeId,
        addr: SocketAddr,
        message: Message,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if self.members.get(from).is_none() {
            self.nonmember_addrs.insert(from, addr);
        }
        match message {
            Message::Ping(ping) => self.take_ping(from, addr, &ping, now, actions),
            Message::Ack(ack) => {
                self.take_gossip(&ack.gossip, now, actions);
                self.take_ack(from, &ack, actions, now);
                self.compare(from, addr, &ack.standing, now, actions);
            }
            Message::PingRequest { stamp, target } => {
                let Some(target_addr) = self.addr_of(target) else { return };
                let own = self.exchanges.stamp(now);
                self.exchanges.relayed.insert(own, (from, stamp));
                self.send_ping(target_addr, target, own, Vec::new(), now, actions);
            }
            Message::Reached { echo, target } => {
                let of_target = |it: &PendingPing| it.target == target;
                if self.exchanges.pending.get(&echo).is_some_and(of_target) {
                    self.exchanges.pending.remove(&echo);
                }
            }
            Message::Push { standing, gossip } => {
                self.take_gossip(&gossip, now, actions);
                self.compare(from, addr, &standing, now, actions);
            }
        }
    }

    fn take_ping(
        &mut self,
        from: NodeId,
        addr: SocketAddr,
        ping: &Ping,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if let Some(update) = ping.introduction.as_ref().filter(|it| it.node == from) {
            self.take_member(update, now, actions);
        }
        self.take_gossip(&ping.gossip, now, actions);
        self.take_demand(from, &ping.demand, now);
        self.held_config.take_ever_held(from, ping.standing.token, &ping.ever_held);
        self.compare(from, addr, &ping.standing, now, actions);
        let ack = self.acknowledge(from, ping, now);
        self.send(addr, from, Message::Ack(ack), actions);
    }

    fn acknowledge(&mut self, from: NodeId, ping: &Ping, now: Time) -> Ack {
        let inside = self.is_inside(from);
        // A node that is held for gone must hear of it to refute it.
        let held = self.members.get(from).map(|it| &it.update);
        let gone = held.filter(|it| MemberState::Suspect <= it.state).cloned();
        Ack {
            echo: ping.stamp,
            holders: self.held_config.holders_for(ping.holders_wanted, inside, now),
            standing: self.held_config.config_state(now),
            demand: self.demand_in_answer(from, ping, now),
            gossip: Gossip { members: gone.into_iter().collect(), news: Vec::new() },
        }
    }

    fn demand_in_answer(&mut self, from: NodeId, ping: &Ping, now: Time) -> Vec<AggregateDemand> {
        if ping.demand.is_empty() {
            return Vec::new();
        }
        let is_first = self.is_first_of_zone();
        match self.is_inside(from) {
            true => self.demand.overall(is_first, now),
            false if is_first => self.demand.subtree(now),
            false => Vec::new(),
        }
    }

    fn take_ack(&mut self, from: NodeId, ack: &Ack, actions: &mut Vec<Action>, now: Time) {
        if let Some((asker, echo)) = self.exchanges.relayed.remove(&ack.echo) {
            if let Some(addr) = self.addr_of(asker) {
                self.send(addr, asker, Message::Reached { echo, target: from }, actions);
            }
            return;
        }
        let Some(pending) = self.exchanges.pending.get(&ack.echo).copied() else { return };
        if pending.target != from && pending.target != ANY_NODE {
            return;
        }
        self.exchanges.pending.remove(&ack.echo);
        let (asked_at, token) = (pending.sent_at, ack.standing.token);
        self.held_config.apply_config_state(&ack.standing, asked_at, now);
        self.held_config.take_holders(from, token, ack.holders.as_ref(), asked_at);
        if ack.demand.is_empty() {
            return;
        }
        match self.members.get(from).map(|it| it.update.zone.clone()) {
            Some(zone) if zone == self.this.zone => self.demand.set_overall(&ack.demand, now),
            Some(zone) => self.demand.set_zone(&zone, &ack.demand, now),
            None => {}
        }
    }

    fn take_demand(&mut self, from: NodeId, sums: &[AggregateDemand], now: Time) {
        if sums.is_empty() {
            return;
        }
        match self.members.get(from).map(|it| it.update.zone.clone()) {
            Some(zone) if zone == self.this.zone => self.demand.set_child(from, sums, now),
            Some(zone) => self.demand.set_zone(&zone, sums, now),
            None => {}
        }
    }

    fn take_gossip(&mut self, gossip: &Gossip, now: Time, actions: &mut Vec<Action>) {
        for update in &gossip.members {
            self.take_member(update, now, actions);
        }
        for news in &gossip.news {
            self.take_news(news, now, actions);
        }
    }

    pub(super) fn take_member(
        &mut self,
        update: &MemberUpdate,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        match self.members.merge(update, now) {
            MergeOutcome::Known => {}
            MergeOutcome::Changed => {
                self.nonmember_addrs.remove(&update.node);
                self.gossip.add_member(update.clone());
                actions.push(Action::ViewChanged);
            }
            MergeOutcome::Refuted(refutation) => {
                self.gossip.add_member(refutation);
                self.push(now, actions);
            }
        }
    }

    /// Asks over TCP a node that holds something else, or is not known.
    fn compare(
        &mut self,
        from: NodeId,
        addr: SocketAddr,
        standing: &ConfigState,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let own = self.held_config.token();
        let stranger = self.members.get(from).is_none();
        let ahead = own.config < standing.token.config;
        let differs = own != standing.token && own.config <= standing.token.config;
        let rested = self.exchanges.fetch_at <= now;
        if ahead || (rested && (stranger || differs)) {
            self.fetch(addr, stranger, now, actions);
        }
    }

    /// Asks a node over TCP for what it holds and this one does not.
    pub(super) fn fetch(
        &mut self,
        addr: SocketAddr,
        with_members: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let under_way = self.fetching_since.is_some_and(|at| now.since(at) < FETCH_LOST);
        if under_way || self.leaving {
            return;
        }
        self.fetching_since = Some(now);
        self.exchanges.fetch_at = now + FETCH_PAUSE;
        let young = now.since(self.exchanges.started_at) < INTRODUCTION;
        let mut request = FetchRequest {
            config: None,
            records: Vec::new(),
            member_buckets: with_members.then(|| self.members.buckets()),
            want_replicas: false,
            want_news: young,
        };
        self.held_config.fill_request(&mut request);
        actions.push(Action::Fetch { addr, request: Box::new(request) });
    }

    /// Tells a few members at once.
    pub(super) fn push(&mut self, now: Time, actions: &mut Vec<Action>) {
        for target in self.push_targets() {
            let Some(addr) = self.addr_of(target) else { continue };
            let standing = self.held_config.config_state(now);
            let message = Message::Push { standing, gossip: Gossip::default() };
            self.send(addr, target, message, actions);
        }
    }

    /// Tells a few members at once if something must not wait.
    pub(super) fn push_urgent(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.gossip.is_urgent() && 0 < self.budget.available_priority() {
            self.push(now, actions);
        }
    }

    /// Sends a message with as much gossip as the budget allows.
    pub(super) fn send(
        &mut self,
        addr: SocketAddr,
        to: NodeId,
        mut message: Message,
        actions: &mut Vec<Action>,
    ) {
        let bytes = size(&message) + AROUND_BYTES;
        self.budget.spend_base(bytes);
        if let Message::Ping(Ping { gossip, .. })
        | Message::Ack(Ack { gossip, .. })
        | Message::Push { gossip, .. } = &mut message
        {
            let room = SendLimits {
                base: self.budget.available_base(),
                priority: self.budget.available_priority(),
                datagram: MAX_DATAGRAM_BYTES.saturating_sub(bytes),
            };
            let taken = self.gossip.take(room, self.members.alive_count());
            self.budget.spend_base(taken.base_bytes);
            self.budget.spend_priority(taken.priority_bytes);
            gossip.members.extend(taken.gossip.members);
            gossip.news.extend(taken.gossip.news);
        }
        actions.push(Action::Send { addr, to, message: Box::new(message) });
    }
}

fn size(message: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(message).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}
