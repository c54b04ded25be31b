//! State of instances as observed by the owner of their domain.

use std::time::Duration;

use citrongw_protocol::{engine::EngineStatus, instance_list::ListedInstance};
use citrongw_state::{
    id::Epoch,
    replica::{Member, NotRoutable, ReceivedReport, ReplicaSpec, check_member},
    time::Time,
};

/// Observed state of one instance.
#[derive(Debug, Clone, Default)]
pub(super) struct ObservedInstance {
    /// Latest entry of the instance list. `None` for an instance of another
    /// domain.
    pub(super) listed: Option<ListedInstance>,
    /// Last status report.
    pub(super) last_report: Option<ReceivedReport>,
    /// Number of requests that run or wait on the instance.
    pub(super) requests: u32,
    /// When the owner began to observe the instance.
    pub(super) first_seen_at: Time,
    /// When the last order was sent to the instance.
    pub(super) ordered_at: Option<Time>,
    /// Newest epoch that the engine reported when it refused an order as
    /// outdated.
    pub(super) newer_epoch: Option<Epoch>,
    /// When the instance was first detected as a straggler or as leaving.
    pub(super) leaving_at: Option<Time>,
}

/// Status of a member with respect to its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberStatus {
    /// The member reports that it serves the replica in its current epoch.
    Ready,
    /// The member is loading the replica's weights.
    Loading,
    /// The member is alive but serves something else or nothing.
    Elsewhere,
    /// The member is leaving.
    Leaving,
    /// The member's process has another incarnation than the one claimed.
    Restarted,
    /// The member has not reported since this time.
    Silent(Time),
}

impl ObservedInstance {
    /// Last report, if it is within the freshness bound.
    pub(super) fn fresh(&self, now: Time, freshness: Duration) -> Option<&ReceivedReport> {
        self.last_report.as_ref().filter(|it| now.since(it.requested_at) <= freshness)
    }

    /// When the last report was requested, or when observation began if there
    /// is none.
    pub(super) fn silent_since(&self) -> Time {
        self.last_report.map_or(self.first_seen_at, |it| it.requested_at)
    }

    /// Stores a status report unless a newer one is known.
    pub(super) fn record_status(&mut self, status: &EngineStatus, requested_at: Time) {
        if self.last_report.is_some_and(|it| requested_at <= it.requested_at) {
            return;
        }
        let old = self.last_report.map(|it| it.report.incarnation);
        if old.is_some_and(|it| it != status.member.incarnation) {
            self.newer_epoch = None;
            self.ordered_at = None;
            self.leaving_at = None;
        }
        self.last_report = Some(ReceivedReport { report: status.member, requested_at });
        self.requests = status.load.running + status.load.queued;
    }

    /// Status of the instance with respect to a replica that lists it as
    /// `member`.
    pub(super) fn member_status(
        &self,
        spec: &ReplicaSpec,
        member: &Member,
        now: Time,
        freshness: Duration,
    ) -> MemberStatus {
        match check_member(spec, member, self.last_report.as_ref(), now, freshness) {
            Ok(()) => MemberStatus::Ready,
            Err(NotRoutable::MemberSilent) => MemberStatus::Silent(self.silent_since()),
            Err(NotRoutable::MemberRestarted) => MemberStatus::Restarted,
            Err(NotRoutable::MemberElsewhere) => MemberStatus::Elsewhere,
            Err(NotRoutable::MemberLoading) => MemberStatus::Loading,
            Err(NotRoutable::MemberLeaving) => MemberStatus::Leaving,
        }
    }
}
