//! What the owner of a domain has seen of its instances.

use std::time::Duration;

use citrongw_protocol::{engine::EngineStatus, instance_list::ListedInstance};
use citrongw_state::{
    id::Epoch,
    replica::{Member, NotRoutable, ReceivedReport, ReplicaSpec, check_member},
    time::Time,
};

/// One instance.
#[derive(Debug, Clone, Default)]
pub(super) struct ObservedInstance {
    /// What the instance list last said. None for an instance of another domain.
    pub(super) listed: Option<ListedInstance>,
    /// Its last answer.
    pub(super) last_report: Option<ReceivedReport>,
    /// Requests that run or wait on it.
    pub(super) running: u32,
    /// When it was first asked for.
    pub(super) first_seen_at: Time,
    /// When it was last given an order.
    pub(super) ordered_at: Option<Time>,
    /// Newest epoch that it refused an order with.
    pub(super) newer_epoch: Option<Epoch>,
    /// When it was first seen as a straggler or leaving.
    pub(super) leaving_at: Option<Time>,
}

/// How a member stands to its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberStatus {
    /// It vouches for the replica.
    Ready,
    /// It loads the replica's weights.
    Loads,
    /// It is alive and serves something else or nothing.
    Elsewhere,
    /// It is leaving.
    Leaving,
    /// It is another start of its process than the one claimed.
    Restarted,
    /// It has not answered since.
    Silent(Time),
}

impl ObservedInstance {
    /// A report within the freshness bound.
    pub(super) fn fresh(&self, now: Time, freshness: Duration) -> Option<&ReceivedReport> {
        self.last_report.as_ref().filter(|it| now.since(it.requested_at) <= freshness)
    }

    /// When it was last heard of.
    pub(super) fn silent_since(&self) -> Time {
        self.last_report.map_or(self.first_seen_at, |it| it.requested_at)
    }

    /// Takes in an answer.
    pub(super) fn record_status(&mut self, status: &EngineStatus, asked_at: Time) {
        if self.last_report.is_some_and(|it| asked_at <= it.requested_at) {
            return;
        }
        let old = self.last_report.map(|it| it.report.incarnation);
        if old.is_some_and(|it| it != status.member.incarnation) {
            self.newer_epoch = None;
            self.ordered_at = None;
            self.leaving_at = None;
        }
        self.last_report = Some(ReceivedReport { report: status.member, requested_at: asked_at });
        self.running = status.load.running + status.load.queued;
    }

    /// How it stands to a replica that names it as `member`.
    pub(super) fn standing(
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
            Err(NotRoutable::MemberLoading) => MemberStatus::Loads,
            Err(NotRoutable::MemberLeaving) => MemberStatus::Leaving,
        }
    }
}
