//! Membership: which nodes live, and how they tell each other what they know.
//!
//! One step function `(state, event, now) -> actions`; the driver in
//! [`driver`] feeds it from sockets, the clock and the key-value service.
//!
//! Each node asks another three times a second. Half of the questions go to the
//! node above it in the order of its zone, so that confirmations and sums reach
//! everybody in a few steps; most others go round the zone; a few go to other
//! zones. What has changed rides along. A node that does not answer, directly
//! or through others, is suspected, and held for dead if it does not refute.

pub mod budget;
pub mod demand;
pub mod driver;
mod exchange;
pub mod gossip;
pub mod members;
mod probing;
mod store_schedule;
mod targets;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use citrongw_protocol::{
    decision::Decision,
    gossip_item::GossipItem,
    node_record::{NodeRecord, VersionedNodeRecord},
    peer::{FetchRequest, FetchResponse, MemberState, Message},
    store::{Expected, StoreResult},
};
use citrongw_state::{
    id::{NodeId, Revision},
    time::Time,
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    config::{VersionedConfig, edit::StoredConfig, held_config::HeldConfig, rules::Rules},
    node_view::NodeInfo,
};

use self::{
    budget::Budget, demand::DemandTree, exchange::Exchanges, gossip::GossipQueue, members::Members,
    probing::Probing, store_schedule::StoreSchedule,
};

/// Pause between two ticks.
pub const TICK: Duration = Duration::from_millis(50);

/// What a node is told at its start.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The node.
    pub this: NodeInfo,
    /// Addresses at which other nodes may be found.
    pub seeds: Vec<SocketAddr>,
    /// Seed of its random choices.
    pub random_seed: u64,
    /// Rules of the configuration.
    pub rules: Rules,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message came.
    Received {
        /// Who sent it.
        from: NodeId,
        /// From where.
        addr: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A question over TCP ended.
    Fetched {
        /// When it was asked.
        requested_at: Time,
        /// The answer, if there was one.
        answer: Option<Box<FetchResponse>>,
    },
    /// This node has news.
    Published(GossipItem),
    /// A read of the configuration key ended.
    HeadRead {
        /// When it was sent.
        requested_at: Time,
        /// Version found, if any.
        found: StoreResult<Option<Revision>>,
    },
    /// A read of the document ended.
    DocumentRead {
        /// When the read of the key before it was sent.
        requested_at: Time,
        /// The document.
        current: StoreResult<Option<Box<StoredConfig>>>,
    },
    /// A read of the node records ended.
    RecordsRead(StoreResult<Vec<VersionedNodeRecord>>),
    /// A write of the zone's node record ended. Carries what now stands there.
    RecordWritten(StoreResult<Option<VersionedNodeRecord>>),
    /// The service should be read soon.
    Refresh,
    /// This node leaves.
    Leave,
}

/// What is to be done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        addr: SocketAddr,
        /// To whom; zero if not known.
        to: NodeId,
        /// The message.
        message: Box<Message>,
    },
    /// Ask over TCP.
    Fetch {
        /// Where.
        addr: SocketAddr,
        /// The question.
        request: Box<FetchRequest>,
    },
    /// Read the configuration key.
    ReadHead,
    /// Read the whole document, after a read of the key sent at this time.
    ReadDocument {
        /// When the key was asked for.
        requested_at: Time,
    },
    /// Read all node records.
    ReadRecords,
    /// Write the zone's node record.
    WriteRecord {
        /// What must stand there.
        expected: Expected,
        /// The record.
        record: NodeRecord,
    },
    /// Tell this node's subscribers.
    Deliver(GossipItem),
    /// A configuration is in force.
    InForce(Arc<VersionedConfig>),
    /// The live members changed.
    ViewChanged,
    /// Record a decision.
    Decided(Decision),
}

/// Membership of one node.
#[derive(Debug)]
pub struct Membership {
    this: NodeInfo,
    seeds: Vec<SocketAddr>,
    rng: SmallRng,
    members: Members,
    gossip: GossipQueue,
    held_config: HeldConfig,
    budget: Budget,
    demand: DemandTree,
    exchanges: Exchanges,
    probing: Probing,
    store_schedule: StoreSchedule,
    in_force: Option<Revision>,
    fetching_since: Option<Time>,
    /// Addresses of nodes heard that are not members yet.
    nonmember_addrs: HashMap<NodeId, SocketAddr>,
    leaving: bool,
}

impl Membership {
    /// A node that knows itself alone.
    pub fn new(settings: MembershipSettings, now: Time) -> Self {
        let this = settings.this;
        let rng = SmallRng::seed_from_u64(settings.random_seed);
        Self {
            members: Members::new(&this),
            gossip: GossipQueue::default(),
            held_config: HeldConfig::new(this.id, this.zone.clone(), settings.rules),
            budget: budget::open(),
            demand: DemandTree::default(),
            exchanges: Exchanges::new(now),
            probing: Probing::new(now),
            store_schedule: StoreSchedule::new(now),
            in_force: None,
            fetching_since: None,
            nonmember_addrs: HashMap::new(),
            leaving: false,
            seeds: settings.seeds,
            this,
            rng,
        }
    }

    /// Members known.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What the node holds.
    pub fn holding(&self) -> &HeldConfig {
        &self.held_config
    }

    /// Whether so many others look dead that this node should doubt itself
    /// before it acts on it.
    pub fn suspects_self(&self) -> bool {
        let alive = self.members.alive_count();
        let lost = self.members.suspects() + self.probing.recent_deaths();
        3 <= lost && alive < 3 * lost
    }

    /// Takes in an event.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.budget.refill(now);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received { from, addr, message } => {
                self.receive(from, addr, message, now, &mut actions);
            }
            Event::Fetched { requested_at, answer } => {
                self.fetching_since = None;
                if let Some(answer) = answer {
                    self.take_answer(*answer, requested_at, now, &mut actions);
                }
            }
            Event::Published(news) => self.publish(&news, now),
            Event::HeadRead { requested_at, found } => {
                self.take_head(&found, requested_at, now, &mut actions);
            }
            Event::DocumentRead { requested_at, current } => {
                self.take_document(current, requested_at, &mut actions);
            }
            Event::RecordsRead(records) => self.take_records(records, now),
            Event::RecordWritten(written) => self.take_written(written, now, &mut actions),
            Event::Refresh => self.store_schedule.refresh(),
            Event::Leave => self.leave(now, &mut actions),
        }
        self.push_urgent(now, &mut actions);
        self.note_in_force(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let died = self.members.expire(now);
        if !died.is_empty() {
            self.probing.record_deaths(died.len(), now);
            actions.push(Action::ViewChanged);
        }
        for update in died {
            actions.push(Action::Decided(Decision::NodeDied { node: update.node }));
            self.gossip.add_member(update);
        }
        self.held_config.update_acceptance(now);
        if !self.leaving {
            self.probe(now, actions);
            self.start_store_calls(now, actions);
        }
        self.tell_demand(now, actions);
    }

    fn publish(&mut self, news: &GossipItem, now: Time) {
        match news {
            GossipItem::Demand(demand) => self.demand.set_own(demand, now),
            _ => {
                self.gossip.add_item(news, now);
            }
        }
    }

    fn tell_demand(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.probing.demand_due(now) {
            let is_first = self.is_first_of_zone();
            let news = self.demand.other_nodes(is_first, now);
            actions.extend(news.into_iter().map(Action::Deliver));
        }
    }

    fn take_answer(
        &mut self,
        answer: FetchResponse,
        asked_at: Time,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        for update in &answer.members {
            self.take_member(update, now, actions);
        }
        for news in &answer.news {
            self.take_news(news, now, actions);
        }
        self.held_config.take_records(answer.records, asked_at);
        if let Some(transfer) = &answer.config {
            self.held_config.take_transfer(transfer, asked_at);
        }
    }

    fn take_news(&mut self, news: &GossipItem, now: Time, actions: &mut Vec<Action>) {
        if self.gossip.add_item(news, now) {
            actions.push(Action::Deliver(news.clone()));
        }
    }

    /// Puts a new configuration in force and tells a few others at once.
    fn note_in_force(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(document) = self.held_config.document() else { return };
        let revision = document.version.revision;
        if self.in_force == Some(revision) {
            return;
        }
        self.in_force = Some(revision);
        actions.push(Action::InForce(Arc::clone(&document.in_force)));
        actions.push(Action::Decided(Decision::ConfigInForce { revision }));
        self.push(now, actions);
    }

    /// Answers a question over TCP.
    pub fn respond(&self, request: &FetchRequest) -> FetchResponse {
        let mut answer = FetchResponse::default();
        self.held_config.fill_response(request, &mut answer);
        if let Some(theirs) = &request.member_buckets {
            answer.members = self.members.differing(theirs);
        }
        if request.want_news {
            answer.news = self.gossip.recent();
        }
        answer
    }

    fn leave(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.leaving = true;
        let left = self.members.set_state(self.this.id, MemberState::Left, now);
        if let Some(update) = left {
            self.gossip.add_member(update);
        }
        self.push(now, actions);
    }
}
