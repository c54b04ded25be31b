//! The decisions for one domain, as functions of its record, what its instances
//! report, and the time.
//!
//! [`next_plan`] gives the record that is to follow; [`orders`] gives the orders
//! that lead from what the instances report to the record. A replica that lost a
//! member goes on under a new epoch, which each member takes up in place of the
//! old one. An instance joins another replica only once the head of its old one
//! cannot be open any more: the head said that it left, closed or broke, or its
//! process is gone, or it has been out of reach for so long that it has broken
//! by itself.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
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

/// Pause before an order without effect is given again. Orders are answered in
/// milliseconds, and one given twice does no harm.
const ORDER_INTERVAL: Duration = Duration::from_millis(400);
/// Time that a replica without enough spares is kept together before its
/// members become spares.
const KEEP_TOGETHER: Duration = Duration::from_secs(3);
/// Time without a new instance after which weights of one model are given up for
/// another. The instances of a domain that was dark come back one by one.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
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
    /// When the heads that began to open will take requests.
    opens_at: HashMap<(ReplicaId, Epoch), Time>,
    /// Epochs that a member refused.
    refused: HashSet<(ReplicaId, Epoch)>,
    /// Since when each replica lacks a member.
    lacking_since: HashMap<(ReplicaId, Epoch), Time>,
    /// Since when each replica is being closed.
    closing_since: HashMap<(ReplicaId, Epoch), Time>,
    /// Since when a head is out of reach.
    lost_heads: HashMap<(ReplicaId, Epoch), Time>,
    /// Instances known at the last step, and when one was last added.
    known: BTreeSet<(InstanceId, Incarnation)>,
    grown_at: Option<Time>,
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

    /// Takes in that a head has begun to open.
    pub fn add_opening(&mut self, replica: ReplicaId, epoch: Epoch, opens_at: Time) {
        self.opens_at.insert((replica, epoch), opens_at);
    }

    /// Takes in that a member refused a join for its epoch.
    pub fn add_refused(&mut self, replica: ReplicaId, epoch: Epoch) {
        self.refused.insert((replica, epoch));
    }

    /// Takes in which instances there are.
    fn note_hosts(&mut self, hosts: &Hosts, now: Time) {
        let known: BTreeSet<_> = hosts.values().map(|it| (it.id.clone(), it.incarnation)).collect();
        if !known.is_subset(&self.known) {
            self.grown_at = Some(now);
        }
        self.known = known;
    }

    /// Whether no instance was added lately.
    fn is_settled(&self, now: Time) -> bool {
        self.grown_at.is_some_and(|at| SETTLE_TIME <= now.since(at))
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

/// What is to be done about a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Remedy {
    /// Nothing.
    None,
    /// Members are lost, or the replica broke: it serves nobody, and these places
    /// are to be filled.
    Replace(Vec<usize>),
    /// Members are leaving, and warm spares can take their places once its
    /// requests have ended.
    Swap(Vec<usize>),
    /// Its head is leaving, and another member can lead once its requests have
    /// ended.
    NewHead,
}

fn remedy(plan: &DomainPlan, replica: &PlannedReplica, hosts: &Hosts, memory: &Memory) -> Remedy {
    let (mut lost, mut leaving) = (Vec::new(), Vec::new());
    for (place, member) in replica.members.iter().enumerate() {
        match find(hosts, member) {
            Some(host) if host.is_alive() && host.leaving => leaving.push(place),
            Some(host) if host.is_alive() => {}
            _ => lost.push(place),
        }
    }
    let head = replica.head().and_then(|it| find(hosts, it));
    let says_broken = head
        .and_then(|it| it.membership)
        .is_some_and(|it| it.is_of(replica.id, replica.epoch) && it.state == MemberState::Broken);
    let is_broken = says_broken || memory.refused.contains(&(replica.id, replica.epoch));
    if !lost.is_empty() || is_broken {
        lost.extend(leaving);
        return Remedy::Replace(lost);
    }
    if leaving.is_empty() {
        return Remedy::None;
    }
    let spares = ranked_spares(plan, hosts, memory, &replica.model);
    let warm = spares.iter().filter(|it| is_warm(it, memory, &replica.model)).count();
    if leaving.len() <= warm {
        return Remedy::Swap(leaving);
    }
    let others_stay = leaving.len() < replica.members.len();
    if leaving.contains(&0) && others_stay { Remedy::NewHead } else { Remedy::None }
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
    memory.note_hosts(hosts, now);
    let mut next = plan.clone();
    if next.layout.is_empty() {
        next.layout = layout::layout(&rules.engine.models, hosts.len());
    }
    for idx in 0..next.replicas.len() {
        repair(&mut next, idx, hosts, memory, now);
    }
    dissolve(&mut next, hosts, rules, memory, now);
    form(&mut next, hosts, rules, memory, now, &mut draw_replica);
    (next != *plan).then_some(next)
}

/// Gives a replica the members that it is to have.
fn repair(next: &mut DomainPlan, idx: usize, hosts: &Hosts, memory: &mut Memory, now: Time) {
    let replica = &next.replicas[idx];
    let key = (replica.id, replica.epoch);
    let places = match remedy(next, replica, hosts, memory) {
        Remedy::None => {
            memory.lacking_since.remove(&key);
            return;
        }
        Remedy::Replace(places) => {
            memory.lacking_since.entry(key).or_insert(now);
            places
        }
        Remedy::Swap(places) => places,
        Remedy::NewHead => Vec::new(),
    };
    if !may_regroup(replica, hosts, memory) {
        return;
    }
    let spares = ranked_spares(next, hosts, memory, &replica.model);
    if spares.len() < places.len() {
        return;
    }
    let fillers: Vec<PlannedMember> = spares.into_iter().map(planned).collect();
    let epoch = next_epoch(next, hosts);
    let replica = &mut next.replicas[idx];
    for (place, filler) in places.iter().zip(fillers) {
        replica.members[*place] = filler;
    }
    choose_head(replica, &places, hosts);
    replica.epoch = epoch;
    next.epoch = epoch;
}

/// Puts a member first that stays; the present head if it does.
fn choose_head(replica: &mut PlannedReplica, filled: &[usize], hosts: &Hosts) {
    let stays = |place: &usize| {
        let host = find(hosts, &replica.members[*place]);
        !filled.contains(place) && host.is_some_and(|it| it.is_alive() && !it.leaving)
    };
    if let Some(kept) = (0..replica.members.len()).find(stays) {
        replica.members.swap(0, kept);
    }
}

/// Epoch above all that the record gave and the instances report.
fn next_epoch(plan: &DomainPlan, hosts: &Hosts) -> Epoch {
    let reported = hosts.values().filter_map(|it| Some(it.membership?.epoch)).max();
    plan.epoch.max(reported.unwrap_or_default()).next()
}

/// Whether the members of a replica may join it under another list. A head that
/// answers has to leave first, or to finish its requests; one that does not
/// answer has its epoch passed by: its members leave it by their next join, and
/// it can run nothing without them.
fn may_regroup(replica: &PlannedReplica, hosts: &Hosts, memory: &Memory) -> bool {
    let answers = replica.head().and_then(|it| find(hosts, it)).is_some_and(Host::is_alive);
    let is_released = memory.released.contains(&(replica.id, replica.epoch));
    !answers || is_released || busy_head(replica, hosts).is_none()
}

/// Whether the members of a replica may join other ones: its head cannot be
/// open any more.
fn may_dissolve(
    replica: &PlannedReplica,
    hosts: &Hosts,
    rules: &Rules<'_>,
    memory: &mut Memory,
    now: Time,
) -> bool {
    let key = (replica.id, replica.epoch);
    let Some(head) = replica.head() else { return true };
    let host = hosts.get(&head.instance);
    if host
        .is_some_and(|it| it.incarnation != head.incarnation || it.liveness == Liveness::Refusing)
    {
        return true;
    }
    if host.is_some_and(Host::is_alive) {
        return may_regroup(replica, hosts, memory);
    }
    // It is gone, or cut off and open until it has noticed that its members
    // are gone.
    let silent_since = host.map(|it| it.liveness).and_then(|it| match it {
        Liveness::Silent { since } => Some(since),
        Liveness::Alive | Liveness::Refusing => None,
    });
    let since = *memory.lost_heads.entry(key).or_insert(silent_since.unwrap_or(now));
    rules.stall_time <= now.since(since)
}

/// Spares that a model may use, in the order in which it takes them: those that
/// are warm for it, those with its weights, those without any, and those that
/// are kept for another model.
fn ranked_spares<'a>(
    plan: &DomainPlan,
    hosts: &'a Hosts,
    memory: &Memory,
    model: &ModelId,
) -> Vec<&'a Host> {
    let kept_for = |host: &Host| {
        let standby = memory.standby(host).map(|it| &it.model);
        standby.or_else(|| host.staged.first()).cloned()
    };
    let mut spares: Vec<(Option<ModelId>, &Host)> =
        free_hosts(plan, hosts, memory).into_iter().map(|it| (kept_for(it), it)).collect();
    spares.sort_by_key(|(kept_for, host)| {
        let is_of_model = kept_for.as_ref() == Some(model);
        (!is_warm(host, memory, model), !is_of_model, kept_for.is_some())
    });
    spares.into_iter().map(|(_, host)| host).collect()
}

/// Whether a spare joins a replica of the model in a moment.
fn is_warm(host: &Host, memory: &Memory, model: &ModelId) -> bool {
    let ready = host.membership.is_some_and(|it| it.state == MemberState::Ready);
    ready && memory.standby(host).is_some_and(|it| it.model == *model)
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
            !may_dissolve(replica, hosts, rules, memory, now)
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
    now: Time,
    draw_replica: &mut impl FnMut() -> ReplicaId,
) {
    let grown = layout::layout(&rules.engine.models, hosts.len());
    if next.layout.len() < grown.len() {
        next.layout = grown;
    }
    for model in next.missing_models() {
        let Some(spec) = rules.engine.model(&model) else { continue };
        let mut spares = ranked_spares(next, hosts, memory, &model);
        if !memory.is_settled(now) {
            spares.retain(|it| it.staged.is_empty() || it.staged.contains(&model));
        }
        if spares.len() < spec.size {
            continue;
        }
        let members = spares.into_iter().take(spec.size).map(planned).collect();
        let epoch = next_epoch(next, hosts);
        next.epoch = epoch;
        next.replicas.push(PlannedReplica { id: draw_replica(), epoch, model, members });
    }
}

/// Replicas whose members all answer under the record's list and whose head has
/// opened.
pub fn serving(
    plan: &DomainPlan,
    hosts: &Hosts,
    memory: &Memory,
    now: Time,
) -> HashSet<(ReplicaId, Epoch)> {
    // A head whose opening has had its time is open before it reports so.
    let is_open = |replica: &PlannedReplica, state: Option<MemberState>| match state {
        Some(MemberState::Open) => true,
        Some(MemberState::Ready) => {
            memory.opens_at.get(&(replica.id, replica.epoch)).is_some_and(|at| *at <= now)
        }
        _ => false,
    };
    let serves = |replica: &&PlannedReplica| {
        let state = |member| -> Option<MemberState> {
            let membership = find(hosts, member)?.membership?;
            membership.is_of(replica.id, replica.epoch).then_some(membership.state)
        };
        let remedy = remedy(plan, replica, hosts, memory);
        !matches!(remedy, Remedy::Replace(_))
            && replica.members.iter().all(|it| state(it).is_some())
            && is_open(replica, replica.head().and_then(state))
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
        match remedy(plan, replica, hosts, memory) {
            Remedy::None => {
                memory.closing_since.remove(&(replica.id, replica.epoch));
                due.extend(forming_orders(replica, hosts));
            }
            Remedy::Replace(_) => due.extend(leave_order(replica, hosts)),
            Remedy::Swap(_) | Remedy::NewHead => {
                due.extend(close_order(replica, hosts, memory, now));
            }
        }
    }
    due.extend(stray_orders(plan, hosts, memory));
    due.extend(standby_orders(plan, hosts, rules, memory, now));
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

/// Head of a replica that takes requests or still has some.
fn busy_head<'a>(replica: &PlannedReplica, hosts: &'a Hosts) -> Option<(&'a Host, MemberState)> {
    let head = find(hosts, replica.head()?).filter(|it| it.is_alive())?;
    let state = head.membership.filter(|it| it.is_of(replica.id, replica.epoch))?.state;
    matches!(state, MemberState::Open | MemberState::Closing).then_some((head, state))
}

/// Order that frees the members of a replica that serves nobody.
fn leave_order<'a>(replica: &PlannedReplica, hosts: &'a Hosts) -> Option<(&'a Host, Order)> {
    let (head, _) = busy_head(replica, hosts)?;
    Some((head, Order::Leave { replica: replica.id, epoch: replica.epoch }))
}

/// Order that frees the members of a replica once its requests have ended.
fn close_order<'a>(
    replica: &PlannedReplica,
    hosts: &'a Hosts,
    memory: &mut Memory,
    now: Time,
) -> Option<(&'a Host, Order)> {
    let (id, epoch) = (replica.id, replica.epoch);
    let (head, state) = busy_head(replica, hosts)?;
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
    now: Time,
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
    let free = free_hosts(plan, hosts, memory);
    for host in free.iter().copied() {
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
    if plan.replicas.iter().any(is_forming) || !memory.is_settled(now) {
        return due;
    }
    let targets = spare_targets(plan, rules, free.len());
    let surplus = |counts: &BTreeMap<&ModelId, usize>, model: &ModelId| {
        targets.get(model).copied().unwrap_or_default()
            < counts.get(model).copied().unwrap_or_default()
    };
    // A spare too many of one model takes up the weights of another.
    let spare = free
        .iter()
        .find(|it| memory.standby(it).is_some_and(|standby| surplus(&counts, &standby.model)));
    if let (true, Some(host)) = (cold.is_empty(), spare)
        && let Some(count) = memory.standby(host).and_then(|it| counts.get_mut(&it.model))
    {
        *count -= 1;
        cold.push(host);
    }
    for host in cold {
        let lacking = targets
            .iter()
            .find(|(model, target)| counts.get(*model).copied().unwrap_or_default() < **target);
        let Some((&model, _)) = lacking else { break };
        *counts.entry(model).or_default() += 1;
        due.push((host, memory.begin_standby(host, model, plan.epoch).join(host)));
    }
    due
}

/// Spares that each model is to have of so many. Each model has one before any
/// has more; then the one with the most members comes first, for it is the
/// likeliest to lose one.
fn spare_targets<'a>(
    plan: &DomainPlan,
    rules: &'a Rules<'_>,
    spares: usize,
) -> BTreeMap<&'a ModelId, usize> {
    let members = |model: &ModelId| -> usize {
        plan.replicas.iter().filter(|it| it.model == *model).map(|it| it.members.len()).sum()
    };
    let mut targets: BTreeMap<&ModelId, usize> =
        rules.engine.models.iter().map(|it| (&it.model, 0)).collect();
    for _ in 0..spares {
        let neediest = targets
            .iter_mut()
            .min_by_key(|(model, count)| (**count, std::cmp::Reverse(members(model))));
        let Some((_, count)) = neediest else { break };
        *count += 1;
    }
    targets
}

#[cfg(test)]
mod tests;
