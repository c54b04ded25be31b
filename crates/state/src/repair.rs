//! Repair of replicas that lost members.
//!
//! The replicas of one domain are decided together because they compete for its
//! spares. Under `group-downtime`, the wait for a lost member lasts as long as
//! loading a spare takes, so that the total costs at most twice the better of
//! waiting and loading. Under `stranded-accelerators` there is no wait, because
//! the remaining members are idle while they wait but not while they load.
//! Spares go to the replicas with the highest value per spare; spares of other
//! domains are used once those of the domain are exhausted. Replicas that
//! cannot be completed are disbanded to complete others, after a time in which
//! their members may return.

use std::{cmp::Reverse, time::Duration};

use crate::{id::ReplicaId, objective::Objective};

/// Replica that lost members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DegradedReplica {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Number of members lost.
    pub lost: u32,
    /// Number of members that remain.
    pub remaining: u32,
    /// Accelerators of the complete replica.
    pub accelerators: u32,
    /// Time since the most recent loss of a member; `None` if the lost members
    /// cannot return.
    pub since_loss: Option<Duration>,
    /// Time since the replica became incomplete.
    pub degraded_for: Duration,
    /// Whether the remaining members may be assigned to other replicas.
    pub may_release_members: bool,
    /// Whether instances of other domains may join the remaining members.
    pub may_span_domains: bool,
}

/// Limits of the wait for lost members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimits {
    /// Time that a spare needs to load the weights.
    pub load_time: Duration,
    /// Longest wait for a member before a spare replaces it.
    pub max_wait: Duration,
    /// Time for which a replica without a spare keeps its remaining members.
    pub disband_after: Duration,
    /// Members needed by the smallest replica that is missing elsewhere.
    pub needed_elsewhere: Option<u32>,
}

/// Repair action for one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepairAction {
    /// Replaces the lost members with spares of the domain.
    Replace,
    /// Replaces the lost members with spares of the domain and, where those do
    /// not suffice, of other domains.
    ReplaceAcrossDomains,
    /// Turns the remaining members into spares.
    Disband,
}

/// Numbers of spares available for repairs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spares {
    /// Spares in the domain itself.
    pub in_domain: u32,
    /// Spares in other domains.
    pub in_other_domains: u32,
}

/// Decides on the replicas of one domain. Replicas that are not in the result
/// wait.
pub fn decide(
    objective: Objective,
    degraded: &[DegradedReplica],
    mut spares: Spares,
    limits: &WaitLimits,
) -> Vec<(ReplicaId, RepairAction)> {
    let mut ordered: Vec<&DegradedReplica> = degraded.iter().collect();
    ordered.sort_by_key(|it| (Reverse(rank(objective, it)), it.replica));
    let mut actions = Vec::new();
    let mut incomplete = Vec::new();
    for replica in ordered {
        if !wait_is_over(objective, replica, limits) {
            continue;
        }
        if replica.lost <= spares.in_domain {
            spares.in_domain -= replica.lost;
            actions.push((replica.replica, RepairAction::Replace));
        } else if replica.may_span_domains
            && 0 < replica.remaining
            && replica.lost <= spares.in_domain + spares.in_other_domains
        {
            spares.in_other_domains -= replica.lost - spares.in_domain;
            spares.in_domain = 0;
            actions.push((replica.replica, RepairAction::ReplaceAcrossDomains));
        } else if can_form_again(replica, spares, limits) {
            actions.push((replica.replica, RepairAction::Disband));
        } else {
            incomplete.push(replica);
        }
    }
    actions.extend(choose_disband(&incomplete, spares.in_domain, limits));
    actions
}

/// Value of a repair per spare, scaled to an integer.
fn rank(objective: Objective, degraded: &DegradedReplica) -> u64 {
    const SCALE: u64 = 1 << 20;
    objective.completion_value(degraded.accelerators) * SCALE / u64::from(degraded.lost.max(1))
}

fn wait_is_over(objective: Objective, degraded: &DegradedReplica, limits: &WaitLimits) -> bool {
    let max_wait = match objective {
        Objective::GroupDowntime => limits.load_time.min(limits.max_wait),
        // The remaining members are idle while they wait, but not while they
        // load.
        Objective::StrandedAccelerators => Duration::ZERO,
    };
    degraded.since_loss.is_none_or(|waited| max_wait <= waited)
}

/// Whether a replica that cannot be completed in place is to be formed again
/// from spares, which may include its own members.
fn can_form_again(degraded: &DegradedReplica, spares: Spares, limits: &WaitLimits) -> bool {
    !degraded.may_span_domains
        && 0 < degraded.remaining
        && limits.disband_after <= degraded.degraded_for
        && degraded.lost <= spares.in_domain + spares.in_other_domains
}

/// Finds the lowest-ranked replica whose members complete a higher-ranked one
/// or a replica that is missing entirely.
fn choose_disband(
    incomplete: &[&DegradedReplica],
    spares: u32,
    limits: &WaitLimits,
) -> Option<(ReplicaId, RepairAction)> {
    let needed = incomplete.first().map(|it| it.lost);
    let needed = needed.into_iter().chain(limits.needed_elsewhere).min()?;
    let may_release =
        |it: &&&DegradedReplica| it.may_release_members && limits.disband_after <= it.degraded_for;
    let others = incomplete.iter().skip(usize::from(1 < incomplete.len()));
    let alone = incomplete.len() == 1 && limits.needed_elsewhere.is_none();
    if alone {
        return None;
    }
    let donor = others.rev().filter(may_release).find(|it| needed <= spares + it.remaining)?;
    Some((donor.replica, RepairAction::Disband))
}

#[cfg(test)]
mod tests;
