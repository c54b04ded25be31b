//! Explanations of the node's decisions, from its decision log.

use citrongw_protocol::{
    admin::Explanation,
    decision::{Decision, RecordedDecision, Subject},
};

use crate::node::Shared;

/// Maximum number of refusals in an explanation.
const MAX_REFUSALS: usize = 100;

/// Returns all decisions about one subject.
pub(super) fn about(shared: &Shared, subject: Subject) -> Explanation {
    explanation(shared, shared.decisions.about(subject))
}

/// Returns the most recent refusals.
pub(super) fn refusals(shared: &Shared) -> Explanation {
    let mut found = shared.decisions.select(|it| matches!(it, Decision::Refused { .. }));
    let surplus = found.len().saturating_sub(MAX_REFUSALS);
    found.drain(..surplus);
    explanation(shared, found)
}

fn explanation(shared: &Shared, decisions: Vec<RecordedDecision>) -> Explanation {
    Explanation { node: shared.node, decisions: decisions.into_iter().map(Into::into).collect() }
}
