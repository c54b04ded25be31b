//! Membership: which nodes are alive, and the gossip between them.
//!
//! One step function `(state, event, now) -> actions`; the driver in
//! [`driver`] feeds it from sockets, the clock and the key-value service.
//!
//! Each node pings another node three times a second. Half of the pings go to
//! the node's parent in the tree of its zone, so that confirmations and demand
//! totals reach every node in a few steps; most of the others go to the members
//! of the zone in shuffled rounds; a few go to other zones. Recent changes are
//! piggybacked on pings and acks. A node that responds neither directly nor
//! through other nodes is suspected, and declared dead if it does not refute the
//! suspicion.

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

/// Interval between ticks.
pub const TICK: Duration = Duration::from_millis(50);

/// Start-up settings of a node's membership.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// This node.
    pub this: NodeInfo,
    /// Peer addresses used to discover other nodes.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub random_seed: u64,
    /// Timing rules for accepting configuration changes.
    pub rules: Rules,
}

/// Input of the step function.
#[derive(Debug, Clone)]
pub enum Event {
    /// The periodic timer fired.
    Tick,
    /// A datagram was received.
    Received {
        /// Sender.
        from: NodeId,
        /// Source address.
        addr: SocketAddr,
        /// Decoded message.
        message: Message,
    },
    /// A fetch over TCP completed.
    Fetched {
        /// When the request was sent.
        requested_at: Time,
        /// The response; `None` if the fetch failed.
        response: Option<Box<FetchResponse>>,
    },
    /// A component of this node published a gossip item.
    Published(GossipItem),
    /// A read of the configuration key completed.
    HeadRead {
        /// When the read was sent.
        requested_at: Time,
        /// Revision of the key; `None` if the key is absent.
        found: StoreResult<Option<Revision>>,
    },
    /// A read of the configuration document completed.
    DocumentRead {
        /// When the preceding read of the key was sent.
        requested_at: Time,
        /// The document; `None` if there is none.
        current: StoreResult<Option<Box<StoredConfig>>>,
    },
    /// A read of the node records completed.
    RecordsRead(StoreResult<Vec<VersionedNodeRecord>>),
    /// A write of the zone's node record completed. Carries the record now
    /// stored.
    RecordWritten(StoreResult<Option<VersionedNodeRecord>>),
    /// An early read of the key-value service was requested.
    Refresh,
    /// This node is leaving.
    Leave,
}

/// Output of the step function, carried out by the driver.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination address.
        addr: SocketAddr,
        /// Destination node; zero if not known.
        to: NodeId,
        /// Message to send.
        message: Box<Message>,
    },
    /// Fetch state from a peer over TCP.
    Fetch {
        /// Peer address.
        addr: SocketAddr,
        /// Versions that this node has, and what it requests.
        request: Box<FetchRequest>,
    },
    /// Read the configuration key.
    ReadHead,
    /// Read the configuration document after a read of its key.
    ReadDocument {
        /// When the read of the key was sent.
        requested_at: Time,
    },
    /// Read all node records.
    ReadRecords,
    /// Write the zone's node record.
    WriteRecord {
        /// Condition of the compare-and-swap.
        expected: Expected,
        /// New record.
        record: NodeRecord,
    },
    /// Deliver a gossip item to this node's subscribers.
    Deliver(GossipItem),
    /// Put a configuration in force.
    InForce(Arc<VersionedConfig>),
    /// The member list changed, and with it possibly the set of live members.
    ViewChanged,
    /// Add a decision to the decision log.
    LogDecision(Decision),
}

/// Membership state machine of one node.
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
    /// Addresses of senders that are not members yet.
    nonmember_addrs: HashMap<NodeId, SocketAddr>,
    leaving: bool,
}

impl Membership {
    /// Creates the state of a node that knows only itself.
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

    /// Known members, this node included.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Configuration and node records that this node holds.
    pub fn held_config(&self) -> &HeldConfig {
        &self.held_config
    }

    /// Whether so many other nodes look dead that this node is more likely to be
    /// isolated itself and should not act on their loss.
    pub fn suspects_self(&self) -> bool {
        let alive = self.members.alive_count();
        let lost = self.members.suspect_count() + self.probing.recent_deaths();
        3 <= lost && alive < 3 * lost
    }

    /// Handles one event and returns the resulting actions.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.budget.refill(now);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received { from, addr, message } => {
                self.receive(from, addr, message, now, &mut actions);
            }
            Event::Fetched { requested_at, response } => {
                self.fetching_since = None;
                if let Some(response) = response {
                    self.apply_fetch_response(*response, requested_at, now, &mut actions);
                }
            }
            Event::Published(item) => self.publish(&item, now),
            Event::HeadRead { requested_at, found } => {
                self.handle_head_read(&found, requested_at, now, &mut actions);
            }
            Event::DocumentRead { requested_at, current } => {
                self.handle_document_read(current, requested_at, &mut actions);
            }
            Event::RecordsRead(records) => self.handle_records_read(records, now),
            Event::RecordWritten(written) => self.handle_record_written(written, now, &mut actions),
            Event::Refresh => self.store_schedule.refresh(),
            Event::Leave => self.leave(now, &mut actions),
        }
        self.push_urgent(now, &mut actions);
        self.apply_new_config(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let died = self.members.expire(now);
        if !died.is_empty() {
            self.probing.record_deaths(died.len(), now);
            actions.push(Action::ViewChanged);
        }
        for update in died {
            actions.push(Action::LogDecision(Decision::NodeDied { node: update.node }));
            self.gossip.add_member(update);
        }
        self.held_config.update_acceptance(now);
        if !self.leaving {
            self.probe(now, actions);
            self.start_store_calls(now, actions);
        }
        self.deliver_demand(now, actions);
    }

    fn publish(&mut self, item: &GossipItem, now: Time) {
        match item {
            GossipItem::Demand(demand) => self.demand.set_own(demand, now),
            _ => {
                self.gossip.add_item(item, now);
            }
        }
    }

    fn deliver_demand(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.probing.demand_due(now) {
            let is_first = self.is_first_of_zone();
            let items = self.demand.other_nodes(is_first, now);
            actions.extend(items.into_iter().map(Action::Deliver));
        }
    }

    fn apply_fetch_response(
        &mut self,
        response: FetchResponse,
        requested_at: Time,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        for update in &response.members {
            self.apply_member_update(update, now, actions);
        }
        for item in &response.gossip_items {
            self.apply_gossip_item(item, now, actions);
        }
        self.held_config.merge_records(response.records, requested_at);
        if let Some(transfer) = &response.config {
            self.held_config.offer_transfer(transfer, requested_at);
        }
    }

    fn apply_gossip_item(&mut self, item: &GossipItem, now: Time, actions: &mut Vec<Action>) {
        if self.gossip.add_item(item, now) {
            actions.push(Action::Deliver(item.clone()));
        }
    }

    /// Puts a new configuration in force and notifies a few peers at once.
    fn apply_new_config(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(document) = self.held_config.document() else { return };
        let revision = document.version.revision;
        if self.in_force == Some(revision) {
            return;
        }
        self.in_force = Some(revision);
        actions.push(Action::InForce(Arc::clone(&document.in_force)));
        actions.push(Action::LogDecision(Decision::ConfigInForce { revision }));
        self.push(now, actions);
    }

    /// Builds the response to a peer's fetch request.
    pub fn respond(&self, request: &FetchRequest) -> FetchResponse {
        let mut response = FetchResponse::default();
        self.held_config.fill_response(request, &mut response);
        if let Some(theirs) = &request.member_buckets {
            response.members = self.members.differing(theirs);
        }
        if request.want_gossip_items {
            response.gossip_items = self.gossip.recent();
        }
        response
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
