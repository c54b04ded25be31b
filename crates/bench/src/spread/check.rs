//! Invariants of every history.

use std::collections::BTreeMap;

use citrongw_coordination::config::rules::IN_FORCE_WITHIN;
use citrongw_state::{id::Revision, time::Time};

use super::fleet::Fleet;

/// Violation of an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A node put an older configuration version in force.
    Reverted {
        /// Index of the node.
        node: usize,
        /// Version in force before.
        from: Revision,
        /// Version in force after.
        to: Revision,
    },
    /// A node accepted requests under an old version for too long after a newer
    /// one was accepted.
    ServedStale {
        /// Index of the node.
        node: usize,
        /// Version in force on the node.
        held: Revision,
        /// Version that had been accepted.
        accepted: Revision,
        /// Time until which the node accepted requests.
        until: Time,
        /// Time at which the newer version was accepted.
        accepted_at: Time,
    },
    /// Two edits of the same version were both committed.
    BothCommitted {
        /// Version on which both edits were based.
        from: Revision,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct Served {
    held: Option<Revision>,
    until: Option<Time>,
}

/// Checker of one history.
#[derive(Debug, Default)]
pub struct Check {
    accepted: BTreeMap<Revision, Time>,
    served: Vec<Served>,
    committed: BTreeMap<Revision, u32>,
    violations: Vec<Violation>,
}

impl Check {
    /// Checks a node after each of its steps.
    pub fn observe(&mut self, fleet: &Fleet, idx: usize) {
        let node = &fleet.nodes[idx];
        if self.served.len() <= idx {
            self.served.resize(idx + 1, Served::default());
        }
        self.check_served(idx, fleet.now());
        if let Some(accepted) = node.membership.held_config().accepted() {
            self.accepted.entry(accepted).or_insert(fleet.now());
        }
        let held = node.in_force.last().map(|it| it.1);
        self.served[idx] = Served { held, until: node.serve_until };
    }

    /// The node may have accepted requests since the previous check, up to the
    /// current time.
    fn check_served(&mut self, idx: usize, now: Time) {
        let Served { held: Some(held), until: Some(until) } = self.served[idx] else { return };
        let until = until.min(now);
        let newer = (std::ops::Bound::Excluded(held), std::ops::Bound::Unbounded);
        for (accepted, accepted_at) in self.accepted.range(newer) {
            if *accepted_at + IN_FORCE_WITHIN < until {
                self.violations.push(Violation::ServedStale {
                    node: idx,
                    held,
                    accepted: *accepted,
                    until,
                    accepted_at: *accepted_at,
                });
            }
        }
    }

    /// Records that an edit was reported as committed.
    pub fn committed(&mut self, from: Revision) {
        let count = self.committed.entry(from).or_default();
        *count += 1;
        if *count == 2 {
            self.violations.push(Violation::BothCommitted { from });
        }
    }

    /// Accepted versions with their acceptance times.
    pub fn accepted(&self) -> &BTreeMap<Revision, Time> {
        &self.accepted
    }

    /// Ends the history and returns the violations.
    pub fn finish(mut self, fleet: &Fleet) -> Vec<Violation> {
        for (idx, node) in fleet.nodes.iter().enumerate() {
            for pair in node.in_force.windows(2) {
                let (from, to) = (pair[0].1, pair[1].1);
                if to <= from {
                    self.violations.push(Violation::Reverted { node: idx, from, to });
                }
            }
        }
        self.violations
    }
}
