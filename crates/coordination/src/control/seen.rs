//! State of instances as observed by the owner of their domain.

use std::time::Duration;

use citrongw_protocol::{engine::EngineStatus, instance_list::ListedInstance};
use citrongw_state::{
    id::Epoch,
    replica::{HeardReport, Member, NotRoutable, ReplicaSpec, check_member},
    time::Time,
};

/// Observed state of one instance.
#[derive(Debug, Clone, Default)]
pub(super) struct Seen {
    /// Latest entry of the instance list. `None` for an instance of another
    /// domain.
    pub(super) listed: Option<ListedInstance>,
    /// Last status report.
    pub(super) heard: Option<HeardReport>,
    /// Number of requests that run or wait on the instance.
    pub(super) running: u32,
    /// When the owner began to observe the instance.
    pub(super) first_at: Time,
    /// When the last order was sent to the instance.
    pub(super) ordered_at: Option<Time>,
    /// Newest epoch that the engine reported when it refused an order as
    /// outdated.
    pub(super) outrun_by: Option<Epoch>,
    /// When the instance was first detected as a straggler or as leaving.
    pub(super) leaving_at: Option<Time>,
}

/// Status of a member with respect to its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// The member reports that it serves the replica in its current epoch.
    Vouches,
    /// The member is loading the replica's weights.
    Loads,
    /// The member is alive but serves something else or nothing.
    Astray,
    /// The member is leaving.
    Leaves,
    /// The member's process has another incarnation than the one claimed.
    Restarted,
    /// The member has not reported since this time.
    Silent(Time),
}

impl Seen {
    /// Last report, if it is within the freshness bound.
    pub(super) fn fresh(&self, now: Time, freshness: Duration) -> Option<&HeardReport> {
        self.heard.as_ref().filter(|it| now.since(it.asked_at) <= freshness)
    }

    /// When the last report was requested, or when observation began if there
    /// is none.
    pub(super) fn silent_since(&self) -> Time {
        self.heard.map_or(self.first_at, |it| it.asked_at)
    }

    /// Stores a status report unless a newer one is known.
    pub(super) fn hear(&mut self, status: &EngineStatus, asked_at: Time) {
        if self.heard.is_some_and(|it| asked_at <= it.asked_at) {
            return;
        }
        let old = self.heard.map(|it| it.report.incarnation);
        if old.is_some_and(|it| it != status.member.incarnation) {
            self.outrun_by = None;
            self.ordered_at = None;
            self.leaving_at = None;
        }
        self.heard = Some(HeardReport { report: status.member, asked_at });
        self.running = status.load.running + status.load.queued;
    }

    /// Status of the instance with respect to a replica that lists it as
    /// `member`.
    pub(super) fn standing(
        &self,
        spec: &ReplicaSpec,
        member: &Member,
        now: Time,
        freshness: Duration,
    ) -> Standing {
        match check_member(spec, member, self.heard.as_ref(), now, freshness) {
            Ok(()) => Standing::Vouches,
            Err(NotRoutable::MemberSilent) => Standing::Silent(self.silent_since()),
            Err(NotRoutable::MemberRestarted) => Standing::Restarted,
            Err(NotRoutable::MemberElsewhere) => Standing::Astray,
            Err(NotRoutable::MemberLoading) => Standing::Loads,
            Err(NotRoutable::MemberLeaving) => Standing::Leaves,
        }
    }
}
