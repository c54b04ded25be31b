//! The decisions for one domain, as functions of its record, what its instances
//! report, and the time.
//!
//! [`next_plan`] gives the record that is to follow; [`orders`] gives the orders
//! that lead from what the instances report to the record. An instance may join
//! another replica only once the head of the replica that it was in cannot run
//! a request with it any more: the head said that it left, closed or broke, or
//! its process is gone, or it has been out of reach for so long that it has
//! broken by itself.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use citrongw_state::{
    id::{Epoch, Incarnation, InstanceId, ModelId, ReplicaId},
    time::Time,
};

use super::{
    layout,
    loads::LoadBudget,
    plan::{DomainPlan, PlannedMember, PlannedReplica},
};
use crate::{
    adapter::Order,
    directory::EngineSpec,
    instance::{MemberState, Membership},
};

/// Pause before an order without effect is given again; an answer to the first
/// has come by then.
const ORDER_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time that a replica without enough spares is kept together before its
/// members become spares.
const KEEP_TOGETHER: Duration = Duration::from_secs(3);
/// Longest time that the requests of a replica with a leaving member may take
/// to end; the member goes after this anyway.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Marks replicas of one spare, whose ids are digests; others are drawn below.
const STANDBY_BIT: u64 = 1 << 63;

/// Whether an instance answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It answered lately, or has not been asked.
    Alive,
    /// It does not answer.
    Silent {
        /// Since when.
        since: Time,
    },
    /// Its address refuses connections.
    Refusing,
}

/// Instance of the domain as the owner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// The instance.
    pub id: InstanceId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Address for orders.
    pub addr: SocketAddr,
    /// Whether it answers.
    pub liveness: Liveness,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Models whose weights are on its host.
    pub staged: Vec<ModelId>,
    /// Its place in a replica.
    pub membership: Option<Membership>,
}

impl Host {
    fn is_alive(&self) -> bool {
        self.liveness == Liveness::Alive
    }
}

/// Instances of the domain.
pub type Hosts = BTreeMap<InstanceId, Host>;

/// What the owner remembers between steps.
#[derive(Debug, Default)]
pub struct Memory {
    /// When each order was last given.
    sent: HashMap<(InstanceId, Order), Time>,
    /// Heads that confirmed that they left.
    released: HashSet<(ReplicaId, Epoch)>,
    /// Epochs that a member refused.
    refused: HashSet<(ReplicaId, Epoch)>,
    /// Since when each replica lacks a member.
    lacking_since: HashMap<(ReplicaId, Epoch), Time>,
    /// Since when each replica is being closed.
    closing_since: HashMap<(ReplicaId, Epoch), Time>,
    /// Since when a head is out of reach.
    lost_heads: HashMap<(ReplicaId, Epoch), Time>,
    /// Replica of its own that each spare is kept warm in.
    standbys: HashMap<(InstanceId, Incarnation), Standby>,
}

/// Replica with a spare as its one member.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Standby {
    replica: ReplicaId,
    epoch: Epoch,
    model: ModelId,
}

impl Standby {
    fn join(&self, host: &Host) -> Order {
        Order::Join {
            replica: self.replica,
            epoch: self.epoch,
            model: self.model.clone(),
            members: vec![host.id.clone()],
        }
    }
}

impl Memory {
    /// Takes in that a head confirmed that it left.
    pub fn add_released(&mut self, replica: ReplicaId, epoch: Epoch) {
        self.released.insert((replica, epoch));
    }

    /// Takes in that a member refused a join for its epoch.
    pub fn add_refused(&mut self, replica: ReplicaId, epoch: Epoch) {
        self.refused.insert((replica, epoch));
    }

    fn standby(&self, host: &Host) -> Option<&Standby> {
        self.standbys.get(&(host.id.clone(), host.incarnation))
    }

    /// Gives a spare a replica of its own.
    fn begin_standby(&mut self, host: &Host, model: &ModelId, epoch: Epoch) -> Standby {
        // An epoch below one that the spare has seen would be refused.
        let seen = host.membership.map_or(epoch, |it| it.epoch.max(epoch));
        let replica = standby_replica(host);
        let standby = Standby { replica, epoch: seen.next(), model: model.clone() };
        self.standbys.insert((host.id.clone(), host.incarnation), standby.clone());
        standby
    }

    /// Whether the spare belongs to nothing, or only to a replica of its own.
    fn is_free(&self, host: &Host) -> bool {
        let Some(membership) = host.membership else { return true };
        let own = standby_replica(host);
        membership.replica == Some(own) && membership.state != MemberState::Open
    }

    fn may_send(&mut self, instance: &InstanceId, order: &Order, now: Time) -> bool {
        let key = (instance.clone(), order.clone());
        if self.sent.get(&key).is_some_and(|at| now.since(*at) < ORDER_INTERVAL) {
            return false;
        }
        self.sent.insert(key, now);
        true
    }

    fn forget_old(&mut self, now: Time) {
        self.sent.retain(|_, at| now.since(*at) < ORDER_INTERVAL * 4);
    }
}

/// Replica that a spare is kept warm in: the same for every owner, so that a new
/// one knows it.
fn standby_replica(host: &Host) -> ReplicaId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(host.id.as_str().as_bytes());
    hasher.update(&host.incarnation.0.to_le_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    ReplicaId(STANDBY_BIT | u64::from_le_bytes(word) >> 1)
}

/// What the steps of a domain go by.
#[derive(Debug, Clone, Copy)]
pub struct Rules<'a> {
    /// The engine.
    pub engine: &'a EngineSpec,
    /// Time after which a replica that lost a member breaks by itself.
    pub stall_time: Duration,
}

/// What ails a replica.
struct Ailment {
    /// Places whose instance is gone or does not answer.
    lost: Vec<usize>,
    /// Places whose instance is leaving.
    leaving: Vec<usize>,
    /// Whether its head says that it is broken, or a member refused its epoch.
    broken: bool,
}

impl Ailment {
    fn is_none(&self) -> bool {
        self.lost.is_empty() && self.leaving.is_empty() && !self.broken
    }
}

fn ailment(replica: &PlannedReplica, hosts: &Hosts, memory: &Memory) -> Ailment {
    let mut found = Ailment { lost: Vec::new(), leaving: Vec::new(), broken: false };
    for (place, member) in replica.members.iter().enumerate() {
        match find(hosts, member) {
            Some(host) if host.is_alive() && host.leaving => found.leaving.push(place),
            Some(host) if host.is_alive() => {}
            _ => found.lost.push(place),
        }
    }
    let head = replica.head().and_then(|it| find(hosts, it));
    let says_broken = head
        .and_then(|it| it.membership)
        .is_some_and(|it| it.is_of(replica.id, replica.epoch) && it.state == MemberState::Broken);
    found.broken = says_broken || memory.refused.contains(&(replica.id, replica.epoch));
    found
}

fn find<'a>(hosts: &'a Hosts, member: &PlannedMember) -> Option<&'a Host> {
    hosts.get(&member.instance).filter(|it| it.incarnation == member.incarnation)
}

/// Record that is to follow, if another one is.
pub fn next_plan(
    plan: &DomainPlan,
    hosts: &Hosts,
    rules: &Rules<'_>,
    memory: &mut Memory,
    now: Time,
    mut draw_replica: impl FnMut() -> ReplicaId,
) -> Option<DomainPlan> {
    let mut next = plan.clone();
    if next.layout.is_empty() {
        next.layout = layout::layout(&rules.engine.models, hosts.len());
    }
    for idx in 0..next.replicas.len() {
        repair(&mut next, idx, hosts, rules, memory, now);
    }
    dissolve(&mut next, hosts, rules, memory, now);
    form(&mut next, hosts, rules, memory, &mut draw_replica);
    (next != *plan).then_some(next)
}

/// Fills the places of a replica that lost members from spares.
fn repair(
    next: &mut DomainPlan,
    idx: usize,
    hosts: &Hosts,
    rules: &Rules<'_>,
    memory: &mut Memory,
    now: Time,
) {
    let replica = &next.replicas[idx];
    let key = (replica.id, replica.epoch);
    let ailment = ailment(replica, hosts, memory);
    if ailment.is_none() {
        memory.lacking_since.remove(&key);
        return;
    }
    memory.lacking_since.entry(key).or_insert(now);
    if !may_regroup(replica, hosts, rules, memory, now) {
        return;
    }
    let places: Vec<usize> = ailment.lost.iter().chain(&ailment.leaving).copied().collect();
    let Some(fillers) = pick_spares(next, hosts, memory, &next.replicas[idx].model, places.len())
    else {
        return;
    };
    let epoch = next_epoch(next, hosts);
    let replica = &mut next.replicas[idx];
    for (place, filler) in places.iter().zip(fillers) {
        replica.members[*place] = filler;
    }
    // A head that stays keeps its place; else a member with warm weights leads.
    if places.contains(&0)
        && let Some(kept) = (0..replica.members.len()).find(|it| !places.contains(it))
    {
        replica.members.swap(0, kept);
    }
    replica.epoch = epoch;
    next.epoch = epoch;
}

/// Epoch above all that the record gave and the instances report.
fn next_epoch(plan: &DomainPlan, hosts: &Hosts) -> Epoch {
    let reported = hosts.values().filter_map(|it| Some(it.membership?.epoch)).max();
    plan.epoch.max(reported.unwrap_or_default()).next()
}

/// Whether the members of a replica may join under another list: its head can
/// run no request with them any more.
fn may_regroup(
    replica: &PlannedReplica,
    hosts: &Hosts,
    rules: &Rules<'_>,
    memory: &mut Memory,
    now: Time,
) -> bool {
    let key = (replica.id, replica.epoch);
    if memory.released.contains(&key) {
        return true;
    }
    let Some(head) = replica.head() else { return true };
    let Some(host) = hosts.get(&head.instance) else {
        // Its entry lapsed: it is gone, or cut off and still open for a while.
        let since = *memory.lost_heads.entry(key).or_insert(now);
        return rules.stall_time <= now.since(since);
    };
    if host.incarnation != head.incarnation {
        return true;
    }
    match host.liveness {
        Liveness::Refusing => true,
        Liveness::Silent { since } => {
            let since = *memory.lost_heads.entry(key).or_insert(since);
            rules.stall_time <= now.since(since)
        }
        Liveness::Alive => match host.membership {
            // A head that is not open would be opened by nobody but this owner.
            Some(membership) if membership.is_of(replica.id, replica.epoch) => {
                !matches!(membership.state, MemberState::Open | MemberState::Closing)
            }
            _ => true,
        },
    }
}

/// Spares for so many places, those with the model's weights first; none if
/// there are too few.
fn pick_spares(
    plan: &DomainPlan,
    hosts: &Hosts,
    memory: &Memory,
    model: &ModelId,
    count: usize,
) -> Option<Vec<PlannedMember>> {
    let mut spares: Vec<&Host> = free_hosts(plan, hosts, memory);
    if spares.len() < count {
        return None;
    }
    let is_warm = |host: &Host| {
        let ready = host.membership.is_some_and(|it| it.state == MemberState::Ready);
        ready && memory.standby(host).is_some_and(|it| it.model == *model)
    };
    // Weights of another model stay where they are if they can.
    spares.sort_by_key(|it| (!is_warm(it), !it.staged.contains(model), !it.staged.is_empty()));
    Some(spares.into_iter().take(count).map(planned).collect())
}

fn planned(host: &Host) -> PlannedMember {
    PlannedMember { instance: host.id.clone(), incarnation: host.incarnation }
}

/// Instances that can be used and belong to no replica.
fn free_hosts<'a>(plan: &DomainPlan, hosts: &'a Hosts, memory: &Memory) -> Vec<&'a Host> {
    let is_free = |host: &&Host| {
        host.is_alive() && !host.leaving && memory.is_free(host) && !plan.holds(&host.id)
    };
    hosts.values().filter(is_free).collect()
}

/// Gives up replicas that have lacked members for long, so that their other
/// members can complete something else.
fn dissolve(
    next: &mut DomainPlan,
    hosts: &Hosts,
    rules: &Rules<'_>,
    memory: &mut Memory,
    now: Time,
) {
    let replicas = std::mem::take(&mut next.replicas);
    next.replicas = replicas
        .into_iter()
        .filter(|replica| {
            let key = (replica.id, replica.epoch);
            let Some(since) = memory.lacking_since.get(&key) else { return true };
            if now.since(*since) < KEEP_TOGETHER {
                return true;
            }
            let ailment = ailment(replica, hosts, memory);
            ailment.lost.is_empty() || !may_regroup(replica, hosts, rules, memory, now)
        })
        .collect();
}

/// Forms the replicas that the layout lacks, and more where instances were
/// added.
fn form(
    next: &mut DomainPlan,
    hosts: &Hosts,
    rules: &Rules<'_>,
    memory: &Memory,
    draw_replica: &mut impl FnMut() -> ReplicaId,
) {
    let grown = layout::layout(&rules.engine.models, hosts.len());
    if next.layout.len() < grown.len() {
        next.layout = grown;
    }
    for model in next.missing_models() {
        let Some(spec) = rules.engine.model(&model) else { continue };
        let Some(members) = pick_spares(next, hosts, memory, &model, spec.size) else { continue };
        let epoch = next_epoch(next, hosts);
        next.epoch = epoch;
        next.replicas.push(PlannedReplica { id: draw_replica(), epoch, model, members });
    }
}

/// Replicas whose members all answer under the record's list and whose head is
/// open.
pub fn serving(plan: &DomainPlan, hosts: &Hosts, memory: &Memory) -> HashSet<(ReplicaId, Epoch)> {
    let serves = |replica: &&PlannedReplica| {
        let state = |member| -> Option<MemberState> {
            let membership = find(hosts, member)?.membership?;
            membership.is_of(replica.id, replica.epoch).then_some(membership.state)
        };
        ailment(replica, hosts, memory).is_none()
            && replica.members.iter().all(|it| state(it).is_some())
            && replica.head().and_then(state) == Some(MemberState::Open)
    };
    plan.replicas.iter().filter(serves).map(|it| (it.id, it.epoch)).collect()
}

/// Orders that are due.
pub fn orders(
    plan: &DomainPlan,
    hosts: &Hosts,
    rules: &Rules<'_>,
    memory: &mut Memory,
    loads: &mut LoadBudget,
    now: Time,
) -> Vec<(InstanceId, SocketAddr, Order)> {
    memory.forget_old(now);
    let mut due = Vec::new();
    for replica in &plan.replicas {
        let ailment = ailment(replica, hosts, memory);
        if ailment.is_none() {
            memory.closing_since.remove(&(replica.id, replica.epoch));
            due.extend(forming_orders(replica, hosts));
        } else {
            due.extend(parting_order(replica, &ailment, hosts, memory, now));
        }
    }
    due.extend(stray_orders(plan, hosts, memory));
    due.extend(standby_orders(plan, hosts, rules, memory));
    due.retain(|(host, order)| {
        let affordable = !begins_load(host, order) || loads.has_one();
        let sent = affordable && memory.may_send(&host.id, order, now);
        if sent && begins_load(host, order) {
            loads.take();
        }
        sent
    });
    due.into_iter().map(|(host, order)| (host.id.clone(), host.addr, order)).collect()
}

/// Whether the order loads weights from the weight store.
fn begins_load(host: &Host, order: &Order) -> bool {
    match order {
        Order::Join { model, .. } => !host.staged.contains(model),
        Order::Open { .. } | Order::Close { .. } | Order::Leave { .. } => false,
    }
}

/// Orders that bring a whole replica to serve.
fn forming_orders<'a>(replica: &PlannedReplica, hosts: &'a Hosts) -> Vec<(&'a Host, Order)> {
    let (id, epoch) = (replica.id, replica.epoch);
    let mut due = Vec::new();
    let mut ready = 0;
    for (rank, member) in replica.members.iter().enumerate() {
        let Some(host) = find(hosts, member) else { continue };
        match host.membership {
            Some(it) if it.is_of(id, epoch) => {
                let is_ready = matches!(it.state, MemberState::Ready | MemberState::Open);
                ready += usize::from(it.rank == rank && is_ready);
            }
            _ => {
                let (model, members) = (replica.model.clone(), replica.member_ids());
                due.push((host, Order::Join { replica: id, epoch, model, members }));
            }
        }
    }
    let head = replica.head().and_then(|it| find(hosts, it));
    if ready == replica.members.len()
        && let Some(head) = head
        && head.membership.is_some_and(|it| it.state == MemberState::Ready)
    {
        due.push((head, Order::Open { replica: id, epoch }));
    }
    due
}

/// Order that lets the members of an ailing replica go.
fn parting_order<'a>(
    replica: &PlannedReplica,
    ailment: &Ailment,
    hosts: &'a Hosts,
    memory: &mut Memory,
    now: Time,
) -> Option<(&'a Host, Order)> {
    let (id, epoch) = (replica.id, replica.epoch);
    let head = find(hosts, replica.head()?).filter(|it| it.is_alive())?;
    let state = head.membership.filter(|it| it.is_of(id, epoch))?.state;
    if !matches!(state, MemberState::Open | MemberState::Closing) {
        return None;
    }
    if !ailment.lost.is_empty() {
        return Some((head, Order::Leave { replica: id, epoch }));
    }
    // Members that leave stay while the head has work.
    let since = *memory.closing_since.entry((id, epoch)).or_insert(now);
    if CLOSE_TIMEOUT <= now.since(since) {
        return Some((head, Order::Leave { replica: id, epoch }));
    }
    (state == MemberState::Open).then_some((head, Order::Close { replica: id, epoch }))
}

/// Lets instances go that report a replica which the record does not give them.
fn stray_orders<'a>(
    plan: &DomainPlan,
    hosts: &'a Hosts,
    memory: &Memory,
) -> Vec<(&'a Host, Order)> {
    let strays =
        hosts.values().filter(|it| it.is_alive() && !plan.holds(&it.id) && !memory.is_free(it));
    strays
        .filter_map(|host| {
            let membership = host.membership?;
            let (replica, epoch) = (membership.replica?, membership.epoch);
            Some((host, Order::Leave { replica, epoch }))
        })
        .collect()
}

/// Keeps spares warm once all replicas are formed: each joins a replica of its
/// own that is never opened, and so holds the weights as a member does.
fn standby_orders<'a>(
    plan: &DomainPlan,
    hosts: &'a Hosts,
    rules: &Rules<'_>,
    memory: &mut Memory,
) -> Vec<(&'a Host, Order)> {
    let is_forming = |replica: &PlannedReplica| {
        let head = replica.head().and_then(|it| find(hosts, it));
        head.and_then(|it| it.membership).is_none_or(|it| {
            !it.is_of(replica.id, replica.epoch) || it.state == MemberState::Joining
        })
    };
    // A spare that became a member begins anew when it is free again.
    memory.standbys.retain(|(id, _), _| !plan.holds(id));
    let mut counts: BTreeMap<&ModelId, usize> =
        rules.engine.models.iter().map(|it| (&it.model, 0)).collect();
    let (mut cold, mut due) = (Vec::new(), Vec::new());
    for host in free_hosts(plan, hosts, memory) {
        if let Some(standby) = memory.standby(host) {
            let standby = standby.clone();
            if let Some(count) = counts.get_mut(&standby.model) {
                *count += 1;
            }
            if !host.membership.is_some_and(|it| it.is_of(standby.replica, standby.epoch)) {
                due.push((host, standby.join(host)));
            }
            continue;
        }
        let staged = counts.keys().find(|it| host.staged.contains(it)).copied();
        match staged {
            Some(model) => {
                if let Some(count) = counts.get_mut(model) {
                    *count += 1;
                }
                due.push((host, memory.begin_standby(host, model, plan.epoch).join(host)));
            }
            None => cold.push(host),
        }
    }
    if plan.replicas.iter().any(is_forming) {
        return due;
    }
    let members = |model: &ModelId| -> usize {
        plan.replicas.iter().filter(|it| it.model == *model).map(|it| it.members.len()).sum()
    };
    for host in cold {
        // The model with the most members for its spares is the likeliest to
        // need the next one.
        let neediest = counts.iter().max_by(|a, b| {
            let need = |(model, count): &(&&ModelId, &usize)| {
                members(model) as f64 / (**count as f64 + 1.0)
            };
            need(a).total_cmp(&need(b))
        });
        let Some((&model, _)) = neediest else { break };
        *counts.entry(model).or_default() += 1;
        due.push((host, memory.begin_standby(host, model, plan.epoch).join(host)));
    }
    due
}

#[cfg(test)]
mod tests;
