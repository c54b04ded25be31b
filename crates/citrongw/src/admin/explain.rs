//! What the node decided and why, from its log of decisions.

use citrongw_protocol::{
    admin::Explanation,
    decision::{Decision, RecordedDecision, Subject},
};

use crate::node::Shared;

/// Refusals shown.
const MAX_REFUSALS: usize = 100;

/// All about one subject.
pub(super) fn about(shared: &Shared, subject: Subject) -> Explanation {
    explanation(shared, shared.decisions.about(subject))
}

/// The last refusals.
pub(super) fn refusals(shared: &Shared) -> Explanation {
    let mut found = shared.decisions.select(|it| matches!(it, Decision::Refused { .. }));
    let surplus = found.len().saturating_sub(MAX_REFUSALS);
    found.drain(..surplus);
    explanation(shared, found)
}

fn explanation(shared: &Shared, decisions: Vec<RecordedDecision>) -> Explanation {
    Explanation { node: shared.node, decisions: decisions.into_iter().map(Into::into).collect() }
}
