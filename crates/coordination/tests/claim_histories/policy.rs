//! The production policy and deliberately broken variants.

/// Policy of all nodes of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Production behaviour.
    Production,
    /// Sends first, then claims.
    ClaimAfterSend,
    /// Treats a write without a response as committed.
    TrustLostReply,
    /// Writes without a revision check while it considers its lease valid.
    LeaseForCompareAndSwap,
    /// Drops open claims by age.
    DropOpenClaims,
    /// Drops settled claims before their retention.
    ShortRetention,
    /// Considers a claim won once a read shows that the key is free.
    ClaimByRead,
    /// Sends when a claim is won although its caller got `not_run`.
    SendAfterRefusal,
    /// Reports from a stale read that a call is still running.
    StaleResponse,
}

/// Kind of a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ViolationKind {
    /// A call ran again within its retention.
    RanAgain,
    /// An attempt ran although its caller got `not_run`.
    RanAfterRefusal,
    /// A caller got the response of another call.
    WrongResponse,
    /// A retry within the retention did not get the recorded response.
    NotReplayed,
}

impl Policy {
    /// Broken variants, each with the kind of violation that must be found.
    pub(crate) const BROKEN: [(Self, ViolationKind); 8] = [
        (Self::ClaimAfterSend, ViolationKind::RanAgain),
        (Self::TrustLostReply, ViolationKind::RanAgain),
        (Self::LeaseForCompareAndSwap, ViolationKind::RanAgain),
        (Self::DropOpenClaims, ViolationKind::RanAgain),
        (Self::ShortRetention, ViolationKind::RanAgain),
        (Self::ClaimByRead, ViolationKind::RanAgain),
        (Self::SendAfterRefusal, ViolationKind::RanAfterRefusal),
        (Self::StaleResponse, ViolationKind::NotReplayed),
    ];
}
