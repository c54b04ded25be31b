//! Claims of at-most-once calls: the state of a call in a claim table, and its
//! transitions.
//!
//! A claim is open from the compare-and-swap that writes it until its own
//! attempt settles it. Only the attempt named in an open claim may send the
//! call. An open claim never expires, because its attempt may be paused and
//! about to send. A settled claim provides the result of its call until the
//! retention has passed since the settlement.
//!
//! Ages are lower bounds that each writer carries forward; see
//! [`ClaimTable::advance_ages`].

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, IdempotencyKey, NodeId, OrganisationId, ServiceId};

/// Upper bound of the encoded size of a claim without its response.
pub const CLAIM_OVERHEAD_BYTES: usize = 96;

/// Digest of a caller's key within its organisation and service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[display("{_0:032x}")]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Key of a call.
    pub fn of(organisation: &OrganisationId, service: &ServiceId, key: &IdempotencyKey) -> Self {
        Self(digest(&[organisation.as_str(), service.as_str(), key.as_str()].map(str::as_bytes)))
    }
}

/// Digest of the content of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{_0:032x}")]
pub struct RequestDigest(pub u128);

impl RequestDigest {
    /// Digest over method, path with query, and body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Attempt that requests a claim of its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key derived from the caller's idempotency key.
    pub key: ClaimKey,
    /// Digest of the call's content.
    pub digest: RequestDigest,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Largest response that is stored, in bytes.
    pub answer_bytes: u32,
    /// Time after the settlement for which the claim is kept.
    pub retention: Duration,
}

/// Response of a call, stored for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the backend server set one and the body is stored.
    pub content_type: Option<String>,
    /// Body, if it is small enough.
    pub body: StoredBody,
}

/// Body of a stored response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// Complete body.
    Whole(Bytes),
    /// The body exceeds the bound and is not stored.
    TooLarge,
}

/// Outcome of a call that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettledOutcome {
    /// The call ran and returned this response.
    Completed(StoredResponse),
    /// The call was sent and may have run.
    Unknown,
}

/// End of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// The call was not sent and never will be. The claim is removed, or takes
    /// the unknown outcome of the attempt that it replaced.
    NotRun,
    /// The call was sent, with this outcome.
    Sent(SettledOutcome),
}

/// Claim of one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the call's content.
    pub digest: RequestDigest,
    /// Attempt that may send the call, or that has sent it.
    pub attempt: AttemptId,
    /// Whether the attempt has ended.
    pub phase: ClaimPhase,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPhase {
    /// The attempt may send the call.
    Open {
        /// Node that makes the attempt.
        node: NodeId,
        /// Bytes reserved for the response.
        answer_bytes: u32,
        /// Time after the settlement for which the claim is kept, in
        /// milliseconds.
        retention_ms: u64,
        /// Whether an earlier attempt of the call may have run.
        replaces: bool,
    },
    /// The attempt has ended.
    Settled {
        /// Outcome of the call.
        outcome: SettledOutcome,
        /// Lower bound of the time since the settlement, in milliseconds.
        age_ms: u64,
        /// Time after the settlement for which the claim is kept, in
        /// milliseconds.
        retention_ms: u64,
    },
}

/// Status of a request's claim in a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The key has no claim.
    Unclaimed,
    /// The claim of the requesting attempt itself is open.
    OpenBySelf,
    /// Another attempt, made by the given node, has an open claim.
    OpenByOther(NodeId),
    /// The call has ended with this outcome.
    Settled(SettledOutcome),
    /// The key was used for a different request.
    KeyReused,
}

/// Claims of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl ClaimTable {
    /// Returns the claim of a key.
    pub fn get(&self, key: ClaimKey) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// All claims, ordered by key.
    pub fn claims(&self) -> impl Iterator<Item = (ClaimKey, &Claim)> {
        self.claims.iter().map(|(key, claim)| (*key, claim))
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the status of a request's claim.
    pub fn claim_status(&self, request: &ClaimRequest) -> ClaimStatus {
        let Some(claim) = self.get(request.key) else { return ClaimStatus::Unclaimed };
        if claim.digest != request.digest {
            return ClaimStatus::KeyReused;
        }
        match &claim.phase {
            ClaimPhase::Open { .. } if claim.attempt == request.attempt => ClaimStatus::OpenBySelf,
            ClaimPhase::Open { node, .. } => ClaimStatus::OpenByOther(*node),
            ClaimPhase::Settled { outcome, .. } => ClaimStatus::Settled(outcome.clone()),
        }
    }

    /// Opens a claim. An existing claim of the key is replaced.
    pub fn open(&mut self, request: &ClaimRequest, node: NodeId) {
        let phase = ClaimPhase::Open {
            node,
            answer_bytes: request.answer_bytes,
            retention_ms: millis(request.retention),
            replaces: self.claims.contains_key(&request.key),
        };
        let claim = Claim { digest: request.digest, attempt: request.attempt, phase };
        self.claims.insert(request.key, claim);
    }

    /// Settles the claim of an attempt. Returns false and changes nothing if
    /// the claim is not open.
    pub fn settle(&mut self, key: ClaimKey, attempt: AttemptId, settlement: &Settlement) -> bool {
        let Some(claim) = self.claims.get_mut(&key).filter(|it| it.attempt == attempt) else {
            return false;
        };
        let ClaimPhase::Open { retention_ms, replaces, .. } = claim.phase else { return false };
        let outcome = match settlement {
            Settlement::Sent(outcome) => outcome.clone(),
            Settlement::NotRun if replaces => SettledOutcome::Unknown,
            Settlement::NotRun => {
                self.claims.remove(&key);
                return true;
            }
        };
        claim.phase = ClaimPhase::Settled { outcome, age_ms: 0, retention_ms };
        true
    }

    /// Raises the ages of settled claims and drops those past their retention.
    ///
    /// `elapsed` is the time since the writer read this table; `observed_age`
    /// returns, for an attempt, the time since the writer first read it as
    /// settled. Both begin after the settlement, so that an age never exceeds
    /// the true one and clocks of different nodes are not compared.
    pub fn advance_ages(
        &mut self,
        elapsed: Duration,
        observed_age: impl Fn(AttemptId) -> Duration,
    ) {
        self.claims.retain(|_, claim| {
            let ClaimPhase::Settled { age_ms, retention_ms, .. } = &mut claim.phase else {
                return true;
            };
            *age_ms =
                age_ms.saturating_add(millis(elapsed)).max(millis(observed_age(claim.attempt)));
            *age_ms < *retention_ms
        });
    }

    /// Upper bound of the encoded size after all open claims are settled.
    pub fn reserved_bytes(&self) -> usize {
        self.claims.values().map(Claim::reserved_bytes).sum()
    }
}

impl Claim {
    fn reserved_bytes(&self) -> usize {
        let response_bytes = match &self.phase {
            ClaimPhase::Open { answer_bytes, .. } => *answer_bytes as usize,
            ClaimPhase::Settled { outcome: SettledOutcome::Completed(response), .. } => {
                response.bytes()
            }
            ClaimPhase::Settled { outcome: SettledOutcome::Unknown, .. } => 0,
        };
        CLAIM_OVERHEAD_BYTES + response_bytes
    }
}

impl StoredResponse {
    /// Response as it is stored. If the content type and the body exceed the
    /// bound, only the status is stored.
    pub fn bounded(
        status: u16,
        content_type: Option<String>,
        body: &Bytes,
        bound_bytes: u32,
    ) -> Self {
        let whole = Self { status, content_type, body: StoredBody::Whole(body.clone()) };
        if whole.bytes() <= bound_bytes as usize {
            return whole;
        }
        Self { status, content_type: None, body: StoredBody::TooLarge }
    }

    /// Bytes of the content type and the body.
    pub fn bytes(&self) -> usize {
        let body = match &self.body {
            StoredBody::Whole(body) => body.len(),
            StoredBody::TooLarge => 0,
        };
        body + self.content_type.as_ref().map_or(0, String::len)
    }
}

fn digest(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(first)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
