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
pub struct Broken {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Number of members lost.
    pub lost: u32,
    /// Number of members that remain.
    pub left: u32,
    /// Accelerators of the complete replica.
    pub accelerators: u32,
    /// Time since the most recent loss of a member; `None` if the lost members
    /// cannot return.
    pub waited: Option<Duration>,
    /// Time since the replica became incomplete.
    pub broken_for: Duration,
    /// Whether the remaining members may be assigned to other replicas.
    pub may_give: bool,
    /// Whether instances of other domains may join the remaining members.
    pub may_span: bool,
}

/// Limits of the wait for lost members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Time that a spare needs to load the weights.
    pub load_time: Duration,
    /// Longest wait for a member before a spare replaces it.
    pub most: Duration,
    /// Time for which a replica without a spare keeps its remaining members.
    pub together: Duration,
    /// Members needed by the smallest replica that is missing elsewhere.
    pub wanted_elsewhere: Option<u32>,
}

/// Repair action for one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Replaces the lost members with spares of the domain.
    Replace,
    /// Replaces the lost members with spares of the domain and, where those do
    /// not suffice, of other domains.
    ReplaceAcross,
    /// Turns the remaining members into spares.
    TakeApart,
}

/// Numbers of spares available for repairs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spares {
    /// Spares in the domain itself.
    pub here: u32,
    /// Spares in other domains.
    pub elsewhere: u32,
}

/// Decides on the replicas of one domain. Replicas that are not in the result
/// wait.
pub fn decide(
    objective: Objective,
    broken: &[Broken],
    mut spares: Spares,
    patience: &Patience,
) -> Vec<(ReplicaId, Step)> {
    let mut ordered: Vec<&Broken> = broken.iter().collect();
    ordered.sort_by_key(|it| (Reverse(rank(objective, it)), it.replica));
    let mut steps = Vec::new();
    let mut incomplete = Vec::new();
    for replica in ordered {
        if !wait_is_over(objective, replica, patience) {
            continue;
        }
        if replica.lost <= spares.here {
            spares.here -= replica.lost;
            steps.push((replica.replica, Step::Replace));
        } else if replica.may_span
            && 0 < replica.left
            && replica.lost <= spares.here + spares.elsewhere
        {
            spares.elsewhere -= replica.lost - spares.here;
            spares.here = 0;
            steps.push((replica.replica, Step::ReplaceAcross));
        } else if can_form_again(replica, spares, patience) {
            steps.push((replica.replica, Step::TakeApart));
        } else {
            incomplete.push(replica);
        }
    }
    steps.extend(choose_disband(&incomplete, spares.here, patience));
    steps
}

/// Value of a repair per spare, scaled to an integer.
fn rank(objective: Objective, broken: &Broken) -> u64 {
    const SCALE: u64 = 1 << 20;
    objective.worth(broken.accelerators) * SCALE / u64::from(broken.lost.max(1))
}

fn wait_is_over(objective: Objective, broken: &Broken, patience: &Patience) -> bool {
    let most = match objective {
        Objective::GroupDowntime => patience.load_time.min(patience.most),
        // The remaining members are idle while they wait, but not while they
        // load.
        Objective::StrandedAccelerators => Duration::ZERO,
    };
    broken.waited.is_none_or(|waited| most <= waited)
}

/// Whether a replica that cannot be completed in place is to be formed again
/// from spares, which may include its own members.
fn can_form_again(broken: &Broken, spares: Spares, patience: &Patience) -> bool {
    !broken.may_span
        && 0 < broken.left
        && patience.together <= broken.broken_for
        && broken.lost <= spares.here + spares.elsewhere
}

/// Finds the lowest-ranked replica whose members complete a higher-ranked one
/// or a replica that is missing entirely.
fn choose_disband(
    incomplete: &[&Broken],
    spares: u32,
    patience: &Patience,
) -> Option<(ReplicaId, Step)> {
    let needed = incomplete.first().map(|it| it.lost);
    let needed = needed.into_iter().chain(patience.wanted_elsewhere).min()?;
    let may_release = |it: &&&Broken| it.may_give && patience.together <= it.broken_for;
    let others = incomplete.iter().skip(usize::from(1 < incomplete.len()));
    let alone = incomplete.len() == 1 && patience.wanted_elsewhere.is_none();
    if alone {
        return None;
    }
    let donor = others.rev().filter(may_release).find(|it| needed <= spares + it.left)?;
    Some((donor.replica, Step::TakeApart))
}

#[cfg(test)]
mod tests;
