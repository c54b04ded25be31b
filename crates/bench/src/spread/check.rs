//! What must hold of every history.

use std::collections::BTreeMap;

use citrongw_coordination::config::rules::IN_FORCE_WITHIN;
use citrongw_state::{id::Revision, time::Time};

use super::fleet::Fleet;

/// Break of a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A node put an older version in force.
    WentBack {
        /// The node's place.
        node: usize,
        /// Version before.
        from: Revision,
        /// Version after.
        to: Revision,
    },
    /// A node took requests under an old version too long after a newer one was
    /// accepted.
    ServedOld {
        /// The node's place.
        node: usize,
        /// Version it held.
        held: Revision,
        /// Version that had been accepted.
        accepted: Revision,
        /// Until when it took requests.
        until: Time,
        /// When the newer version was accepted.
        accepted_at: Time,
    },
    /// Two edits from one version were both committed.
    BothCommitted {
        /// The version.
        from: Revision,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct Served {
    held: Option<Revision>,
    until: Option<Time>,
}

/// Observer of one history.
#[derive(Debug, Default)]
pub struct Check {
    accepted: BTreeMap<Revision, Time>,
    served: Vec<Served>,
    committed: BTreeMap<Revision, u32>,
    violations: Vec<Violation>,
}

impl Check {
    /// Looks at a node after a step of it.
    pub fn look(&mut self, fleet: &Fleet, idx: usize) {
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

    /// The node may have taken requests since the last look, until now at most.
    fn check_served(&mut self, idx: usize, now: Time) {
        let Served { held: Some(held), until: Some(until) } = self.served[idx] else { return };
        let until = until.min(now);
        let newer = (std::ops::Bound::Excluded(held), std::ops::Bound::Unbounded);
        for (accepted, accepted_at) in self.accepted.range(newer) {
            if *accepted_at + IN_FORCE_WITHIN < until {
                self.violations.push(Violation::ServedOld {
                    node: idx,
                    held,
                    accepted: *accepted,
                    until,
                    accepted_at: *accepted_at,
                });
            }
        }
    }

    /// Notes that an edit was answered as committed.
    pub fn committed(&mut self, from: Revision) {
        let count = self.committed.entry(from).or_default();
        *count += 1;
        if *count == 2 {
            self.violations.push(Violation::BothCommitted { from });
        }
    }

    /// Accepted versions with their times.
    pub fn accepted(&self) -> &BTreeMap<Revision, Time> {
        &self.accepted
    }

    /// Ends the history.
    pub fn finish(mut self, fleet: &Fleet) -> Vec<Violation> {
        for (idx, node) in fleet.nodes.iter().enumerate() {
            for pair in node.in_force.windows(2) {
                let (from, to) = (pair[0].1, pair[1].1);
                if to <= from {
                    self.violations.push(Violation::WentBack { node: idx, from, to });
                }
            }
        }
        self.violations
    }
}
