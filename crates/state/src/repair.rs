//! What to do about replicas that lost members.
//!
//! The replicas of one domain are looked at together, for they compete for its
//! spares. For the least group downtime, a lost member is waited for as long as
//! loading a spare would take: then neither waiting nor loading can cost more
//! than twice the better of the two. For the fewest stranded accelerators it is
//! not waited for at all, since only waiting leaves the others idle. Spares go to the replicas that return most for each, those of other domains
//! once the domain's own are used up. What is left over is taken apart to complete
//! others, once its members have had time to return.

use std::{cmp::Reverse, time::Duration};

use crate::{id::ReplicaId, objective::Objective};

/// Replica that lost members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DegradedReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// Members that it lost.
    pub lost: u32,
    /// Members that it has left.
    pub remaining: u32,
    /// Accelerators of the whole replica.
    pub accelerators: u32,
    /// Time since the last of its members was lost, if it may still return.
    pub since_loss: Option<Duration>,
    /// Time since the replica broke.
    pub degraded_for: Duration,
    /// Whether the members left may go to other replicas.
    pub may_release_members: bool,
    /// Whether instances of other domains may join the members left.
    pub may_span_domains: bool,
}

/// Bounds of waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimits {
    /// Time that loading a spare takes.
    pub load_time: Duration,
    /// Longest wait for a member before a spare takes its place.
    pub max_wait: Duration,
    /// Time that a replica without a spare is kept together.
    pub disband_after: Duration,
    /// Members that a replica missing elsewhere needs, the least of all.
    pub needed_elsewhere: Option<u32>,
}

/// What to do with one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepairAction {
    /// Spares of the domain take the places of the lost members.
    Replace,
    /// Spares of the domain and, where those do not reach, of other domains.
    ReplaceAcrossDomains,
    /// The members left become spares.
    Disband,
}

/// Spares that may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spares {
    /// In the domain.
    pub in_domain: u32,
    /// In other domains.
    pub in_other_domains: u32,
}

/// Decides on the replicas of one domain. Those not named wait.
pub fn decide(
    objective: Objective,
    broken: &[DegradedReplica],
    mut spares: Spares,
    patience: &WaitLimits,
) -> Vec<(ReplicaId, RepairAction)> {
    let mut ordered: Vec<&DegradedReplica> = broken.iter().collect();
    ordered.sort_by_key(|it| (Reverse(rank(objective, it)), it.replica));
    let mut steps = Vec::new();
    let mut lacking = Vec::new();
    for replica in ordered {
        if !wait_is_over(objective, replica, patience) {
            continue;
        }
        if replica.lost <= spares.in_domain {
            spares.in_domain -= replica.lost;
            steps.push((replica.replica, RepairAction::Replace));
        } else if replica.may_span_domains
            && 0 < replica.remaining
            && replica.lost <= spares.in_domain + spares.in_other_domains
        {
            spares.in_other_domains -= replica.lost - spares.in_domain;
            spares.in_domain = 0;
            steps.push((replica.replica, RepairAction::ReplaceAcrossDomains));
        } else if forms_anew(replica, spares, patience) {
            steps.push((replica.replica, RepairAction::Disband));
        } else {
            lacking.push(replica);
        }
    }
    steps.extend(take_apart(&lacking, spares.in_domain, patience));
    steps
}

/// Worth of a repair per spare, scaled to an integer.
fn rank(objective: Objective, broken: &DegradedReplica) -> u64 {
    const SCALE: u64 = 1 << 20;
    objective.completion_value(broken.accelerators) * SCALE / u64::from(broken.lost.max(1))
}

fn wait_is_over(objective: Objective, broken: &DegradedReplica, patience: &WaitLimits) -> bool {
    let most = match objective {
        Objective::GroupDowntime => patience.load_time.min(patience.max_wait),
        // The members left are idle while they wait, and not while they load.
        Objective::StrandedAccelerators => Duration::ZERO,
    };
    broken.since_loss.is_none_or(|waited| most <= waited)
}

/// Whether a replica that cannot be completed in place had better form anew,
/// with its own members among others.
fn forms_anew(broken: &DegradedReplica, spares: Spares, patience: &WaitLimits) -> bool {
    !broken.may_span_domains
        && 0 < broken.remaining
        && patience.disband_after <= broken.degraded_for
        && broken.lost <= spares.in_domain + spares.in_other_domains
}

/// Finds the last replicas whose members complete an earlier one, or a replica
/// that is missing altogether.
fn take_apart(
    lacking: &[&DegradedReplica],
    spares: u32,
    patience: &WaitLimits,
) -> Option<(ReplicaId, RepairAction)> {
    let needed = lacking.first().map(|it| it.lost);
    let needed = needed.into_iter().chain(patience.needed_elsewhere).min()?;
    let gives = |it: &&&DegradedReplica| {
        it.may_release_members && patience.disband_after <= it.degraded_for
    };
    let others = lacking.iter().skip(usize::from(1 < lacking.len()));
    let alone = lacking.len() == 1 && patience.needed_elsewhere.is_none();
    if alone {
        return None;
    }
    let giver = others.rev().filter(gives).find(|it| needed <= spares + it.remaining)?;
    Some((giver.replica, RepairAction::Disband))
}

#[cfg(test)]
mod tests;
