//! Calls that must never run twice.

use citrongw_protocol::{claim::ShardId, code::ResultCode};
use citrongw_state::claim::{ClaimKey, RequestDigest};

use super::{answer::BackendAnswer, call::Call};

/// Runs a call at most once.
pub(super) fn run(call: &Call) -> Result<BackendAnswer, ResultCode> {
    let key = call.key.as_ref().ok_or(ResultCode::KeyMissing)?;
    let key = ClaimKey::of(&call.caller.organisation, &call.caller.service, key);
    let digest = RequestDigest::of(call.method.as_str(), &call.full_path, &call.body);
    tracing::debug!(%key, %digest, shard = %ShardId::of(key), "no claims are kept");
    Err(ResultCode::ClaimUnavailable)
}
