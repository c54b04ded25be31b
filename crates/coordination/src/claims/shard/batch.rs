//! Group commit: decides the waiting operations in order on a copy of the
//! shard.

use std::time::Duration;

use citrongw_protocol::claim::SHARD_LIMIT_BYTES;
use citrongw_state::{
    claim::{
        CLAIM_OVERHEAD_BYTES, ClaimRequest, ClaimStatus, ClaimTable, SettledOutcome, Settlement,
    },
    id::{AttemptId, NodeId},
};

use super::Op;

/// Verdict on an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt holds the claim and may send, once.
    Won,
    /// Another attempt holds the claim and has not ended.
    Open {
        /// Node that runs the other attempt.
        node: NodeId,
        /// Attempt that holds the claim.
        attempt: AttemptId,
    },
    /// The call has ended.
    Settled {
        /// Recorded outcome of the call.
        outcome: SettledOutcome,
        /// Attempt that made the call.
        attempt: AttemptId,
    },
    /// The key was used for another request.
    KeyReused,
    /// The shard has no room.
    Full,
    /// The operation was a settlement, not a claim.
    NotAClaim,
}

impl Verdict {
    /// Whether no later value of the shard could change the verdict.
    pub(super) fn is_final(&self) -> bool {
        match self {
            Self::Won | Self::NotAClaim => true,
            // Even a settled claim may have been dropped and its key reused.
            Self::Open { .. } | Self::Settled { .. } | Self::KeyReused | Self::Full => false,
        }
    }
}

/// Group commit under construction.
#[derive(Debug)]
pub(super) struct Batch {
    node: NodeId,
    /// Content of the shard after the commit.
    pub(super) table: ClaimTable,
    reserved_bytes: usize,
    /// Whether a write is needed.
    pub(super) must_write: bool,
}

impl Batch {
    /// Creates a batch on the content of a shard.
    pub(super) fn new(node: NodeId, table: ClaimTable) -> Self {
        Self { node, table, reserved_bytes: 0, must_write: false }
    }

    /// Raises ages and drops claims past their retention.
    pub(super) fn advance(&mut self, elapsed: Duration, known_age: impl Fn(AttemptId) -> Duration) {
        self.table.advance_ages(elapsed, known_age);
        self.reserved_bytes = self.table.reserved_bytes();
    }

    /// Decides an operation. While the outcome of an earlier write is unknown
    /// (`is_uncertain`), the end of an attempt without a claim in the table
    /// also forces a write, after which the claim can't appear any more.
    pub(super) fn decide(&mut self, op: &Op, is_uncertain: bool) -> Verdict {
        match op {
            Op::Claim { request, replaces } => self.claim(request, *replaces),
            Op::Settle { key, attempt, settlement } => {
                self.must_write |= self.table.settle(*key, *attempt, settlement);
                self.must_write |= is_uncertain && *settlement == Settlement::NotRun;
                Verdict::NotAClaim
            }
        }
    }

    fn claim(&mut self, request: &ClaimRequest, replaces: Option<AttemptId>) -> Verdict {
        let status = self.table.claim_status(request);
        let holder = self.table.get(request.key).map(|it| it.attempt);
        match status {
            ClaimStatus::OpenBySelf => Verdict::Won,
            ClaimStatus::Unclaimed => self.open(request),
            ClaimStatus::KeyReused => Verdict::KeyReused,
            ClaimStatus::OpenByOther(_) | ClaimStatus::Settled(SettledOutcome::Unknown)
                if holder.is_some() && holder == replaces =>
            {
                self.open(request)
            }
            ClaimStatus::OpenByOther(node) => {
                Verdict::Open { node, attempt: holder.unwrap_or(request.attempt) }
            }
            ClaimStatus::Settled(outcome) => {
                Verdict::Settled { outcome, attempt: holder.unwrap_or(request.attempt) }
            }
        }
    }

    fn open(&mut self, request: &ClaimRequest) -> Verdict {
        let bytes = CLAIM_OVERHEAD_BYTES + request.answer_bytes as usize;
        if SHARD_LIMIT_BYTES < self.reserved_bytes + bytes {
            return Verdict::Full;
        }
        self.reserved_bytes += bytes;
        self.table.open(request, self.node);
        self.must_write = true;
        Verdict::Won
    }
}
