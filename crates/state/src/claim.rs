//! Claims of at-most-once calls: what a table of claims says of a call, and
//! how it changes.
//!
//! A claim is open from the compare-and-swap that wrote it until its own
//! attempt settles it. Only the attempt named in an open claim may send the
//! call. An open claim is never dropped by age: its attempt may be paused and
//! about to send. A settled claim answers for its call until the retention has
//! passed since the settlement.
//!
//! Ages are lower bounds that writers carry forward; see [`ClaimTable::advance`].

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, IdempotencyKey, NodeId, OrganisationId, ServiceId};

/// Bytes of a claim beside its answer, in the encoded table, at most.
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

/// Digest of what a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{_0:032x}")]
pub struct RequestDigest(pub u128);

impl RequestDigest {
    /// Digest over method, path with query, and body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// One attempt to run a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key of the call.
    pub key: ClaimKey,
    /// What the call asks for.
    pub digest: RequestDigest,
    /// The attempt.
    pub attempt: AttemptId,
    /// Largest body of an answer that is stored.
    pub answer_bytes: u32,
    /// Time after the settlement for which the claim is kept.
    pub retention: Duration,
}

/// Answer of a call as it is stored for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the backend server gave one.
    pub content_type: Option<String>,
    /// Body.
    pub body: StoredBody,
}

/// Body of a stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// The whole body.
    Whole(Bytes),
    /// The body was larger than the bound and is not kept.
    TooLarge,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettledOutcome {
    /// It ran, with this answer.
    Completed(StoredResponse),
    /// It was sent and may have run.
    Unknown,
}

/// End of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// Nothing was sent and nothing will be: the claim is removed, or falls
    /// back to the unknown outcome of the attempt that it replaced.
    NotRun,
    /// The call was sent, with this outcome.
    Sent(SettledOutcome),
}

/// Claim of one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What the call asks for.
    pub digest: RequestDigest,
    /// Attempt that may send it, or did.
    pub attempt: AttemptId,
    /// How far it got.
    pub phase: ClaimPhase,
}

/// How far a claim got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPhase {
    /// Its attempt may be sending.
    Open {
        /// Node of the attempt.
        node: NodeId,
        /// Room that the answer needs.
        answer_bytes: u32,
        /// Time after the settlement for which it is kept.
        retention_ms: u64,
        /// Whether an earlier attempt of the call may have run.
        replaces: bool,
    },
    /// Its attempt has ended.
    Settled {
        /// What became of the call.
        outcome: SettledOutcome,
        /// Time since the settlement, at least.
        age_ms: u64,
        /// Time after the settlement for which it is kept.
        retention_ms: u64,
    },
}

/// What a table says of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStatus {
    /// Nobody claimed the key.
    Unclaimed,
    /// The claim of this very attempt is open.
    OpenBySelf,
    /// Another attempt of this node holds it open.
    OpenByOther(NodeId),
    /// The call has ended.
    Settled(SettledOutcome),
    /// The key was used for another request.
    KeyReused,
}

/// Claims of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl ClaimTable {
    /// Claim of a key.
    pub fn get(&self, key: ClaimKey) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// All claims, by key.
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

    /// What the table says of a request.
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

    /// Opens a claim. One that stands there gives way and counts as replaced.
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

    /// Ends an attempt. False if its claim is not open, which changes nothing.
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
    /// `elapsed` is the time since the writer learnt of this table; `known`
    /// gives, for an attempt, the time since the writer first saw it settled.
    /// Both began after the settlement, so that an age is never above the true
    /// one and no two clocks are compared.
    pub fn advance_ages(&mut self, elapsed: Duration, known: impl Fn(AttemptId) -> Duration) {
        self.claims.retain(|_, claim| {
            let ClaimPhase::Settled { age_ms, retention_ms, .. } = &mut claim.phase else {
                return true;
            };
            *age_ms = age_ms.saturating_add(millis(elapsed)).max(millis(known(claim.attempt)));
            *age_ms < *retention_ms
        });
    }

    /// Upper bound of the encoded size once every open claim is settled.
    pub fn reserved_bytes(&self) -> usize {
        self.claims.values().map(Claim::reserved_bytes).sum()
    }
}

impl Claim {
    fn reserved_bytes(&self) -> usize {
        let answer = match &self.phase {
            ClaimPhase::Open { answer_bytes, .. } => *answer_bytes as usize,
            ClaimPhase::Settled { outcome: SettledOutcome::Completed(answer), .. } => {
                answer.bytes()
            }
            ClaimPhase::Settled { outcome: SettledOutcome::Unknown, .. } => 0,
        };
        CLAIM_OVERHEAD_BYTES + answer
    }
}

impl StoredResponse {
    /// Answer within a bound; a larger body is not kept.
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

    /// Bytes of its content type and body.
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
