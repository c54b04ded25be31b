//! The shipped policy and variants of it that are broken on purpose.

/// Policy of all nodes of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// As shipped.
    Shipped,
    /// Sends first, then claims.
    ClaimAfterSend,
    /// Takes a write without an answer for committed.
    TrustLostReply,
    /// Writes without comparing while it believes that it holds a lease.
    LeaseForCompareAndSwap,
    /// Drops open claims by age.
    DropOpenClaims,
    /// Drops settled claims before their retention.
    ShortRetention,
    /// Claims by reading that the key is free.
    ClaimByRead,
    /// Sends when a claim is won after its caller was told `not_run`.
    SendAfterRefusal,
    /// Answers that a call still runs from what it once read.
    StaleAnswer,
}

/// What did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ViolationKind {
    /// A call ran again inside its retention.
    RanAgain,
    /// An attempt ran whose caller was told that it did not.
    RanAfterRefusal,
    /// A caller got another answer than its own.
    WrongAnswer,
    /// A resend inside the retention did not get the answer of the run.
    NotReplayed,
}

impl Policy {
    /// The broken ones, with the fault by which each must be caught.
    pub(crate) const BROKEN: [(Self, ViolationKind); 8] = [
        (Self::ClaimAfterSend, ViolationKind::RanAgain),
        (Self::TrustLostReply, ViolationKind::RanAgain),
        (Self::LeaseForCompareAndSwap, ViolationKind::RanAgain),
        (Self::DropOpenClaims, ViolationKind::RanAgain),
        (Self::ShortRetention, ViolationKind::RanAgain),
        (Self::ClaimByRead, ViolationKind::RanAgain),
        (Self::SendAfterRefusal, ViolationKind::RanAfterRefusal),
        (Self::StaleAnswer, ViolationKind::NotReplayed),
    ];
}
