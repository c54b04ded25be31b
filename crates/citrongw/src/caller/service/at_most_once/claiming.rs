//! Claims a call, or determines the result for a caller that can't claim it.

use citrongw_coordination::claims::{
    driver::ClaimResult,
    permit::{Held, Permit},
    shard::Verdict,
};
use citrongw_protocol::{code::ResultCode, decision::Decision};
use citrongw_state::{
    claim::{ClaimKey, ClaimRequest, RequestDigest, SettledOutcome, StoredBody, StoredResponse},
    id::{AttemptId, NodeId},
};

use super::CallResult;
use crate::{
    caller::service::{backend_response::BackendResponse, call::Call},
    node::Shared,
};

/// Divisor of the deadline that gives the longest time for a claim.
const CLAIM_DEADLINE_DIVISOR: u32 = 2;

/// Call whose claim this attempt holds.
#[derive(Debug)]
pub(super) struct ClaimedCall {
    /// Permit to send the call.
    pub(super) permit: Permit<Held>,
    /// Whether an earlier attempt of the call may have run.
    pub(super) replaces: bool,
}

/// Claims a call. A backend server that accepts the key deduplicates repeats itself,
/// so an attempt without a known outcome may be replaced there.
pub(super) async fn claim(
    shared: &Shared,
    call: &Call,
    key: ClaimKey,
) -> Result<ClaimedCall, CallResult> {
    let mut replaces = None;
    loop {
        let verdict = match claim_once(shared, call, key, replaces).await {
            ClaimResult::Won(permit) => {
                return Ok(ClaimedCall { permit, replaces: replaces.is_some() });
            }
            ClaimResult::Lost(verdict) => verdict,
            ClaimResult::Unavailable => return Err(Err(ResultCode::ClaimUnavailable)),
        };
        let unresolved = unresolved(shared, &verdict).filter(|_| call.rule.passes_key);
        if unresolved.is_none() || unresolved == replaces {
            return Err(lost_claim_result(shared, call, verdict));
        }
        replaces = unresolved;
    }
}

async fn claim_once(
    shared: &Shared,
    call: &Call,
    key: ClaimKey,
    replaces: Option<AttemptId>,
) -> ClaimResult {
    let request = ClaimRequest {
        key,
        digest: RequestDigest::of(call.method.as_str(), &call.full_path, &call.body),
        attempt: AttemptId(rand::random()),
        answer_bytes: call.rule.answer_bytes,
        retention: call.rule.retention(),
    };
    let deadline = call.arrived_at + call.caller.profile.deadline() / CLAIM_DEADLINE_DIVISOR;
    shared.services.claims.claim(request, replaces, shared.clock.instant(deadline)).await
}

/// Returns the attempt of the verdict if it ended without a known outcome.
fn unresolved(shared: &Shared, verdict: &Verdict) -> Option<AttemptId> {
    match verdict {
        Verdict::Open { node, attempt } if !is_alive(shared, *node) => Some(*attempt),
        Verdict::Settled { outcome: SettledOutcome::Unknown, attempt } => Some(*attempt),
        _ => None,
    }
}

fn is_alive(shared: &Shared, node: NodeId) -> bool {
    shared.nodes.alive().iter().any(|it| it.id == node)
}

/// Result for a caller whose attempt doesn't hold the claim.
fn lost_claim_result(shared: &Shared, call: &Call, verdict: Verdict) -> CallResult {
    match verdict {
        Verdict::Open { node, .. } if is_alive(shared, node) => Err(ResultCode::StillRunning),
        Verdict::Open { .. } | Verdict::Settled { outcome: SettledOutcome::Unknown, .. } => {
            Err(ResultCode::OutcomeUnknown)
        }
        Verdict::Settled { outcome: SettledOutcome::Completed(stored), attempt } => {
            shared.decisions.add(Decision::CallReplayed { request: call.request, attempt });
            replay(stored)
        }
        Verdict::KeyReused => Err(ResultCode::KeyReused),
        Verdict::Full | Verdict::Won | Verdict::NotAClaim => Err(ResultCode::ClaimUnavailable),
    }
}

fn replay(stored: StoredResponse) -> CallResult {
    let StoredResponse { status, content_type, body } = stored;
    match body {
        StoredBody::Whole(body) => Ok(BackendResponse { status, content_type, body }),
        StoredBody::TooLarge => Err(ResultCode::AnswerNotKept),
    }
}
