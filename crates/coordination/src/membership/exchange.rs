//! Pings, acks and fetch requests, with the gossip piggybacked on them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use citrongw_protocol::peer::{
    Ack, AggregateDemand, ConfigState, FetchRequest, Gossip, MAX_DATAGRAM_BYTES, MemberState,
    MemberUpdate, Message, Ping, SenderTimestamp,
};
use citrongw_state::{id::NodeId, time::Time};

use super::{Action, Membership, gossip::SendLimits, members::MergeOutcome};

/// Time after the start during which every ping carries the sender's own member
/// entry, its introduction.
const INTRODUCTION_PERIOD: Duration = Duration::from_secs(10);
/// After that, one ping in this many carries the introduction.
const INTRODUCE_EVERY: u64 = 32;
/// Time after which a fetch without a result counts as lost.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Minimum pause between fetches, unless the peer has a newer configuration.
const FETCH_PAUSE: Duration = Duration::from_millis(200);
/// Bytes of a datagram beside its message: 41 for the authentication header and
/// tag, 28 for the UDP and IP headers.
const OVERHEAD_BYTES: usize = 41 + 28;
/// Placeholder for a node whose id is not known.
pub(super) const ANY_NODE: NodeId = NodeId(0);

/// Ping that awaits its ack.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPing {
    pub(super) target: NodeId,
    pub(super) sent_at: Time,
    pub(super) indirect_requested: bool,
    pub(super) suspected: bool,
}

/// Pings in flight and fetch timing of one node.
#[derive(Debug)]
pub(super) struct Exchanges {
    pub(super) ping_count: u64,
    pub(super) pending: BTreeMap<SenderTimestamp, PendingPing>,
    /// Pings sent on behalf of other nodes, by stamp: the requester and its stamp.
    pub(super) relayed: BTreeMap<SenderTimestamp, (NodeId, SenderTimestamp)>,
    started_at: Time,
    next_fetch_at: Time,
}

impl Exchanges {
    pub(super) fn new(now: Time) -> Self {
        Self {
            ping_count: 0,
            pending: BTreeMap::new(),
            relayed: BTreeMap::new(),
            started_at: now,
            next_fetch_at: now,
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
        let starting = now.since(self.exchanges.started_at) < INTRODUCTION_PERIOD;
        let introduces =
            to == ANY_NODE || starting || self.exchanges.ping_count % INTRODUCE_EVERY == 0;
        let message = Message::Ping(Ping {
            stamp,
            introduction: self.members.own().filter(|_| introduces).cloned(),
            config_state: self.held_config.config_state(now),
            holder_query: self.held_config.holder_query(now),
            ever_held: match self.is_in_zone(to) {
                true => self.held_config.ever_held_bits(now),
                false => Vec::new(),
            },
            demand,
            gossip: Gossip::default(),
        });
        self.send(addr, to, message, actions);
    }

    /// Demand to attach to a ping to `target`.
    fn demand_for(&mut self, target: NodeId, now: Time) -> Vec<AggregateDemand> {
        let parent = self.parent();
        if parent == Some(target) || (parent.is_none() && !self.is_in_zone(target)) {
            return self.demand.subtree(now);
        }
        Vec::new()
    }

    fn is_in_zone(&self, node: NodeId) -> bool {
        self.members.get(node).is_some_and(|it| it.update.zone == self.this.zone)
    }

    /// Handles a received message.
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
            Message::Ping(ping) => self.handle_ping(from, addr, &ping, now, actions),
            Message::Ack(ack) => {
                self.apply_gossip(&ack.gossip, now, actions);
                self.handle_ack(from, &ack, actions, now);
                self.fetch_if_different(from, addr, &ack.config_state, now, actions);
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
            Message::Push { config_state, gossip } => {
                self.apply_gossip(&gossip, now, actions);
                self.fetch_if_different(from, addr, &config_state, now, actions);
            }
        }
    }

    fn handle_ping(
        &mut self,
        from: NodeId,
        addr: SocketAddr,
        ping: &Ping,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if let Some(update) = ping.introduction.as_ref().filter(|it| it.node == from) {
            self.apply_member_update(update, now, actions);
        }
        self.apply_gossip(&ping.gossip, now, actions);
        self.apply_demand(from, &ping.demand, now);
        self.held_config.add_ever_held(from, ping.config_state.token, &ping.ever_held);
        self.fetch_if_different(from, addr, &ping.config_state, now, actions);
        let ack = self.acknowledge(from, ping, now);
        self.send(addr, from, Message::Ack(ack), actions);
    }

    fn acknowledge(&mut self, from: NodeId, ping: &Ping, now: Time) -> Ack {
        let same_zone = self.is_in_zone(from);
        // Returns the entry of a sender that is recorded as suspect or gone, so that
        // it can refute it.
        let recorded = self.members.get(from).map(|it| &it.update);
        let not_alive = recorded.filter(|it| MemberState::Suspect <= it.state).cloned();
        Ack {
            echo: ping.stamp,
            holders: self.held_config.holders_for(ping.holder_query, same_zone, now),
            config_state: self.held_config.config_state(now),
            demand: self.demand_for_ack(from, ping, now),
            gossip: Gossip { members: not_alive.into_iter().collect(), items: Vec::new() },
        }
    }

    fn demand_for_ack(&mut self, from: NodeId, ping: &Ping, now: Time) -> Vec<AggregateDemand> {
        if ping.demand.is_empty() {
            return Vec::new();
        }
        let is_first = self.is_first_of_zone();
        match self.is_in_zone(from) {
            true => self.demand.overall(is_first, now),
            false if is_first => self.demand.subtree(now),
            false => Vec::new(),
        }
    }

    fn handle_ack(&mut self, from: NodeId, ack: &Ack, actions: &mut Vec<Action>, now: Time) {
        if let Some((requester, echo)) = self.exchanges.relayed.remove(&ack.echo) {
            if let Some(addr) = self.addr_of(requester) {
                self.send(addr, requester, Message::Reached { echo, target: from }, actions);
            }
            return;
        }
        let Some(pending) = self.exchanges.pending.get(&ack.echo).copied() else { return };
        if pending.target != from && pending.target != ANY_NODE {
            return;
        }
        self.exchanges.pending.remove(&ack.echo);
        let (requested_at, token) = (pending.sent_at, ack.config_state.token);
        self.held_config.apply_config_state(&ack.config_state, requested_at, now);
        self.held_config.add_holders(from, token, ack.holders.as_ref(), requested_at);
        if ack.demand.is_empty() {
            return;
        }
        match self.members.get(from).map(|it| it.update.zone.clone()) {
            Some(zone) if zone == self.this.zone => self.demand.set_overall(&ack.demand, now),
            Some(zone) => self.demand.set_zone(&zone, &ack.demand, now),
            None => {}
        }
    }

    fn apply_demand(&mut self, from: NodeId, sums: &[AggregateDemand], now: Time) {
        if sums.is_empty() {
            return;
        }
        match self.members.get(from).map(|it| it.update.zone.clone()) {
            Some(zone) if zone == self.this.zone => self.demand.set_child(from, sums, now),
            Some(zone) => self.demand.set_zone(&zone, sums, now),
            None => {}
        }
    }

    fn apply_gossip(&mut self, gossip: &Gossip, now: Time, actions: &mut Vec<Action>) {
        for update in &gossip.members {
            self.apply_member_update(update, now, actions);
        }
        for item in &gossip.items {
            self.apply_gossip_item(item, now, actions);
        }
    }

    pub(super) fn apply_member_update(
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

    /// Fetches from a peer that is not a member yet or holds different state that
    /// is not older.
    fn fetch_if_different(
        &mut self,
        from: NodeId,
        addr: SocketAddr,
        state: &ConfigState,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let own = self.held_config.token();
        let is_nonmember = self.members.get(from).is_none();
        let ahead = own.config < state.token.config;
        let differs = own != state.token && own.config <= state.token.config;
        let pause_over = self.exchanges.next_fetch_at <= now;
        if ahead || (pause_over && (is_nonmember || differs)) {
            self.fetch(addr, is_nonmember, now, actions);
        }
    }

    /// Requests from a peer over TCP what it holds and this node lacks.
    pub(super) fn fetch(
        &mut self,
        addr: SocketAddr,
        with_members: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let in_progress = self.fetching_since.is_some_and(|at| now.since(at) < FETCH_TIMEOUT);
        if in_progress || self.leaving {
            return;
        }
        self.fetching_since = Some(now);
        self.exchanges.next_fetch_at = now + FETCH_PAUSE;
        let starting = now.since(self.exchanges.started_at) < INTRODUCTION_PERIOD;
        let mut request = FetchRequest {
            config: None,
            records: Vec::new(),
            member_buckets: with_members.then(|| self.members.buckets()),
            want_replicas: false,
            want_gossip_items: starting,
        };
        self.held_config.fill_request(&mut request);
        actions.push(Action::Fetch { addr, request: Box::new(request) });
    }

    /// Sends a push to a few members immediately.
    pub(super) fn push(&mut self, now: Time, actions: &mut Vec<Action>) {
        for target in self.push_targets() {
            let Some(addr) = self.addr_of(target) else { continue };
            let standing = self.held_config.config_state(now);
            let message = Message::Push { config_state: standing, gossip: Gossip::default() };
            self.send(addr, target, message, actions);
        }
    }

    /// Sends a push if an urgent item is queued and the budget allows.
    pub(super) fn push_urgent(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.gossip.is_urgent() && 0 < self.budget.available_priority() {
            self.push(now, actions);
        }
    }

    /// Sends a message with as much gossip as the budget and the datagram allow.
    pub(super) fn send(
        &mut self,
        addr: SocketAddr,
        to: NodeId,
        mut message: Message,
        actions: &mut Vec<Action>,
    ) {
        let bytes = size(&message) + OVERHEAD_BYTES;
        self.budget.spend_base(bytes);
        if let Message::Ping(Ping { gossip, .. })
        | Message::Ack(Ack { gossip, .. })
        | Message::Push { gossip, .. } = &mut message
        {
            let limits = SendLimits {
                base: self.budget.available_base(),
                priority: self.budget.available_priority(),
                datagram: MAX_DATAGRAM_BYTES.saturating_sub(bytes),
            };
            let selection = self.gossip.take(limits, self.members.alive_count());
            self.budget.spend_base(selection.base_bytes);
            self.budget.spend_priority(selection.priority_bytes);
            gossip.members.extend(selection.gossip.members);
            gossip.items.extend(selection.gossip.items);
        }
        actions.push(Action::Send { addr, to, message: Box::new(message) });
    }
}

fn size(message: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(message).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}
