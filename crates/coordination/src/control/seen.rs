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
pub(super) struct Seen {
    /// What the instance list last said. None for an instance of another domain.
    pub(super) listed: Option<ListedInstance>,
    /// Its last answer.
    pub(super) heard: Option<ReceivedReport>,
    /// Requests that run or wait on it.
    pub(super) running: u32,
    /// When it was first asked for.
    pub(super) first_at: Time,
    /// When it was last given an order.
    pub(super) ordered_at: Option<Time>,
    /// Newest epoch that it refused an order with.
    pub(super) outrun_by: Option<Epoch>,
    /// When it was first seen as a straggler or leaving.
    pub(super) leaving_at: Option<Time>,
}

/// How a member stands to its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// It vouches for the replica.
    Vouches,
    /// It loads the replica's weights.
    Loads,
    /// It is alive and serves something else or nothing.
    Astray,
    /// It is leaving.
    Leaves,
    /// It is another start of its process than the one claimed.
    Restarted,
    /// It has not answered since.
    Silent(Time),
}

impl Seen {
    /// A report within the freshness bound.
    pub(super) fn fresh(&self, now: Time, freshness: Duration) -> Option<&ReceivedReport> {
        self.heard.as_ref().filter(|it| now.since(it.requested_at) <= freshness)
    }

    /// When it was last heard of.
    pub(super) fn silent_since(&self) -> Time {
        self.heard.map_or(self.first_at, |it| it.requested_at)
    }

    /// Takes in an answer.
    pub(super) fn hear(&mut self, status: &EngineStatus, asked_at: Time) {
        if self.heard.is_some_and(|it| asked_at <= it.requested_at) {
            return;
        }
        let old = self.heard.map(|it| it.report.incarnation);
        if old.is_some_and(|it| it != status.member.incarnation) {
            self.outrun_by = None;
            self.ordered_at = None;
            self.leaving_at = None;
        }
        self.heard = Some(ReceivedReport { report: status.member, requested_at: asked_at });
        self.running = status.load.running + status.load.queued;
    }

    /// How it stands to a replica that names it as `member`.
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
