//! One group commit: the operations that wait, decided in order on a copy of
//! the shard.

use std::time::Duration;

use citrongw_protocol::claim::SHARD_LIMIT_BYTES;
use citrongw_state::{
    claim::{
        CLAIM_OVERHEAD_BYTES, ClaimRequest, ClaimStatus, ClaimTable, SettledOutcome, Settlement,
    },
    id::{AttemptId, NodeId},
};

use super::Op;

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt holds the claim and may send, once.
    Won,
    /// Another attempt holds it, and has not ended.
    Open {
        /// Node of the attempt.
        node: NodeId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The call has ended.
    Settled {
        /// What became of it.
        outcome: SettledOutcome,
        /// The attempt that ended.
        attempt: AttemptId,
    },
    /// The key was used for another request.
    Reused,
    /// The shard has no room.
    Full,
    /// The operation was no claim.
    NotAClaim,
}

impl Verdict {
    /// Whether no later value of the shard could say otherwise.
    pub(super) fn is_final(&self) -> bool {
        match self {
            Self::Won | Self::NotAClaim => true,
            // Even a settled claim may have been dropped and its key used again.
            Self::Open { .. } | Self::Settled { .. } | Self::Reused | Self::Full => false,
        }
    }
}

/// Group commit under construction.
#[derive(Debug)]
pub(super) struct Batch {
    node: NodeId,
    /// The shard after the commit.
    pub(super) table: ClaimTable,
    reserved_bytes: usize,
    /// Whether a write is needed.
    pub(super) must_write: bool,
}

impl Batch {
    /// Batch on a shard.
    pub(super) fn new(node: NodeId, table: ClaimTable) -> Self {
        Self { node, table, reserved_bytes: 0, must_write: false }
    }

    /// Raises ages and drops claims past their retention.
    pub(super) fn advance(&mut self, elapsed: Duration, known: impl Fn(AttemptId) -> Duration) {
        self.table.advance_ages(elapsed, known);
        self.reserved_bytes = self.table.reserved_bytes();
    }

    /// Decides an operation. While a write is `in_doubt`, the end of an
    /// attempt whose claim is not there is recorded by a write of its own,
    /// after which the claim can't appear any more.
    pub(super) fn decide(&mut self, op: &Op, in_doubt: bool) -> Verdict {
        match op {
            Op::Claim { request, replaces } => self.claim(request, *replaces),
            Op::Settle { key, attempt, settlement } => {
                self.must_write |= self.table.settle(*key, *attempt, settlement);
                self.must_write |= in_doubt && *settlement == Settlement::NotRun;
                Verdict::NotAClaim
            }
        }
    }

    fn claim(&mut self, request: &ClaimRequest, replaces: Option<AttemptId>) -> Verdict {
        let standing = self.table.claim_status(request);
        let holder = self.table.get(request.key).map(|it| it.attempt);
        match standing {
            ClaimStatus::OpenBySelf => Verdict::Won,
            ClaimStatus::Unclaimed => self.open(request),
            ClaimStatus::KeyReused => Verdict::Reused,
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
