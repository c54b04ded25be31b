//! What to do about replicas that lost members.
//!
//! The replicas of one domain are looked at together, for they compete for its
//! spares. A lost member is waited for as long as loading a spare would take:
//! then neither waiting nor loading can cost more than twice the better of the
//! two. Spares go to the replicas that return most for each. What is left over
//! is taken apart to complete others, once its members have had time to return.

use std::{cmp::Reverse, time::Duration};

use crate::{id::ReplicaId, objective::Objective};

/// Replica that lost members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The replica.
    pub replica: ReplicaId,
    /// Members that it lost.
    pub lost: u32,
    /// Members that it has left.
    pub left: u32,
    /// Accelerators of the whole replica.
    pub accelerators: u32,
    /// Time since the last of its members was lost, if it may still return.
    pub waited: Option<Duration>,
    /// Time since the replica broke.
    pub broken_for: Duration,
    /// Whether the members left may go to other replicas.
    pub may_give: bool,
}

/// Bounds of waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Time that loading a spare takes.
    pub load_time: Duration,
    /// Longest wait for a member before a spare takes its place.
    pub most: Duration,
    /// Time that a replica without a spare is kept together.
    pub together: Duration,
    /// Members that a replica missing elsewhere needs, the least of all.
    pub wanted_elsewhere: Option<u32>,
}

/// What to do with one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Spares take the places of the lost members.
    Replace,
    /// The members left become spares.
    TakeApart,
}

/// Decides on the replicas of one domain that has so many spares. Those not
/// named wait.
pub fn decide(
    objective: Objective,
    broken: &[Broken],
    spares: u32,
    patience: &Patience,
) -> Vec<(ReplicaId, Step)> {
    let mut ordered: Vec<&Broken> = broken.iter().collect();
    ordered.sort_by_key(|it| (Reverse(rank(objective, it)), it.replica));
    let mut steps = Vec::new();
    let mut spares = spares;
    let mut lacking = Vec::new();
    for replica in ordered {
        if !wait_is_over(replica, patience) {
            continue;
        }
        if replica.lost <= spares {
            spares -= replica.lost;
            steps.push((replica.replica, Step::Replace));
        } else {
            lacking.push(replica);
        }
    }
    steps.extend(take_apart(&lacking, spares, patience));
    steps
}

/// Worth of a repair per spare, scaled to an integer.
fn rank(objective: Objective, broken: &Broken) -> u64 {
    const SCALE: u64 = 1 << 20;
    objective.worth(broken.accelerators) * SCALE / u64::from(broken.lost.max(1))
}

fn wait_is_over(broken: &Broken, patience: &Patience) -> bool {
    let most = patience.load_time.min(patience.most);
    broken.waited.is_none_or(|waited| most <= waited)
}

/// Finds the last replicas whose members complete an earlier one, or a replica
/// that is missing altogether.
fn take_apart(lacking: &[&Broken], spares: u32, patience: &Patience) -> Option<(ReplicaId, Step)> {
    let needed = lacking.first().map(|it| it.lost);
    let needed = needed.into_iter().chain(patience.wanted_elsewhere).min()?;
    let gives = |it: &&&Broken| it.may_give && patience.together <= it.broken_for;
    let others = lacking.iter().skip(usize::from(1 < lacking.len()));
    let alone = lacking.len() == 1 && patience.wanted_elsewhere.is_none();
    if alone {
        return None;
    }
    let giver = others.rev().filter(gives).find(|it| needed <= spares + it.left)?;
    Some((giver.replica, Step::TakeApart))
}

#[cfg(test)]
mod tests;
