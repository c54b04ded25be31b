//! Claims of instances in other domains, for replicas that span several.
//!
//! The home domain's record lists the replica as pending before any claim is
//! made in another domain, and lists it as active only after every claim is
//! granted: this single compare-and-swap is the commit point. A claim is valid
//! only while the home's record names it. A partial claim therefore becomes
//! void when the home drops the pending replica, and any owner that finds the
//! claim later may clear it; expiry doesn't depend on the claimant's clock.
//! Domains are claimed in ascending order.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use citrongw_protocol::record::{DomainRecord, ForeignClaim};
use citrongw_state::{
    id::{FabricDomainId, InstanceId, ReplicaId, Revision},
    replica::{Member, ReplicaSpec},
    time::Time,
};

use super::domain::{Action, DomainControl, ForeignReadPurpose, RecordWrite};

/// Number of record reads after which a claim is abandoned.
const MAX_CLAIM_READS: u32 = 16;
/// Interval between two checks of the foreign claims.
const CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_secs(10);

/// Progress of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// The next domain's record is to be read.
    Read,
    /// A call is in flight.
    Waiting,
    /// Every domain has granted its part.
    Granted,
    /// A domain has refused its part.
    Refused,
}

#[derive(Debug, Clone)]
struct Claim {
    remaining: Vec<(FabricDomainId, Vec<Member>)>,
    step: ClaimStep,
    reads: u32,
    last_call_at: Time,
    found: Option<(Arc<DomainRecord>, Revision)>,
}

/// Claims made by one domain in others, and checks of the claims made in it.
#[derive(Debug, Clone, Default)]
pub struct ClaimTracker {
    in_progress: BTreeMap<ReplicaId, Claim>,
    foreign_members: BTreeMap<ReplicaId, Vec<(FabricDomainId, Member)>>,
    void: BTreeSet<(ReplicaId, InstanceId)>,
    checked_at: Option<Time>,
}

impl ClaimTracker {
    /// Sets the progress of a claim.
    pub(super) fn set_step(&mut self, replica: ReplicaId, step: ClaimStep) {
        if let Some(claim) = self.in_progress.get_mut(&replica) {
            claim.step = step;
        }
    }

    /// Handles the record read from another domain.
    pub(super) fn handle_read(
        &mut self,
        replica: ReplicaId,
        found: Option<(Arc<DomainRecord>, Revision)>,
    ) {
        if let Some(claim) = self.in_progress.get_mut(&replica) {
            claim.step = if found.is_some() { ClaimStep::Waiting } else { ClaimStep::Refused };
            claim.found = found;
        }
    }

    /// Records which claims in this domain are void according to their home's
    /// record.
    pub(super) fn handle_check(&mut self, claims: &[ForeignClaim], home: Option<&DomainRecord>) {
        for claim in claims {
            if !home.is_some_and(|it| it.confirms_claim(claim.replica, &claim.member.instance)) {
                self.void.insert((claim.replica, claim.member.instance.clone()));
            }
        }
    }

    /// Sets the members outside the home domain that a pending replica is to
    /// claim, with their domains.
    pub(super) fn set_foreign_members(
        &mut self,
        replica: ReplicaId,
        foreign_members: Vec<(FabricDomainId, Member)>,
    ) {
        self.foreign_members.insert(replica, foreign_members);
    }

    /// Progress of the claim of a pending replica.
    pub(super) fn step(&self, replica: ReplicaId) -> Option<ClaimStep> {
        self.in_progress.get(&replica).map(|it| it.step)
    }

    /// Whether a claim in this domain was found void.
    pub(super) fn is_void(&self, claim: &ForeignClaim) -> bool {
        self.void.contains(&(claim.replica, claim.member.instance.clone()))
    }

    /// Drops the state of claims that the record no longer lists.
    pub(super) fn retain(&mut self, record: &DomainRecord) {
        let pending = |id: &ReplicaId| record.pending.iter().any(|it| it.id == *id);
        self.in_progress.retain(|id, _| pending(id));
        let held = |id: &ReplicaId, instance: &InstanceId| {
            record.foreign.iter().any(|it| it.replica == *id && it.member.instance == *instance)
        };
        self.void.retain(|(id, instance)| held(id, instance));
    }
}

impl DomainControl {
    /// Advances every claim by one step.
    pub(super) fn advance_claims(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(record) = self.record.clone() else { return };
        self.claims.retain(&record);
        for spec in &record.pending {
            self.advance_claim(spec, record.replaced_by(spec.id), now, actions);
        }
        self.check_foreign(&record, now, actions);
    }

    fn advance_claim(
        &mut self,
        spec: &ReplicaSpec,
        old: Option<ReplicaId>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let members = self.claims.foreign_members.get(&spec.id).cloned();
        let claim =
            self.claims.in_progress.entry(spec.id).or_insert_with(|| new_claim(members, now));
        let timed_out = claim.step == ClaimStep::Waiting
            && claim.found.is_none()
            && self.settings.order_interval <= now.since(claim.last_call_at);
        if timed_out {
            claim.step = ClaimStep::Read;
        }
        if let Some((other, revision)) = claim.found.take() {
            let replica = spec.id;
            if let Some(write) = claim.advance(replica, old, &self.domain, &other, revision) {
                claim.step = ClaimStep::Waiting;
                claim.last_call_at = now;
                actions.push(Action::WriteForeign(replica, write));
                return;
            }
        }
        if claim.step != ClaimStep::Read {
            return;
        }
        let Some((domain, _)) = claim.remaining.first() else {
            claim.step = ClaimStep::Granted;
            return;
        };
        claim.reads += 1;
        claim.last_call_at = now;
        claim.step =
            if MAX_CLAIM_READS < claim.reads { ClaimStep::Refused } else { ClaimStep::Waiting };
        actions.push(Action::ReadForeign(domain.clone(), ForeignReadPurpose::Claim(spec.id)));
    }

    /// Reads the home records of foreign claims to check that the claims are
    /// still valid. The read starts after the claim was observed, so a home
    /// record that does not name the claim is conclusive.
    fn check_foreign(&mut self, record: &DomainRecord, now: Time, actions: &mut Vec<Action>) {
        let due = self.claims.checked_at.is_none_or(|it| CHECK_INTERVAL <= now.since(it));
        if record.foreign.is_empty() || !due {
            return;
        }
        self.claims.checked_at = Some(now);
        let homes: BTreeSet<&FabricDomainId> = record.foreign.iter().map(|it| &it.home).collect();
        for home in homes {
            let claims = record.foreign.iter().filter(|it| it.home == *home).cloned().collect();
            actions.push(Action::ReadForeign(home.clone(), ForeignReadPurpose::Check(claims)));
        }
    }
}

/// A claim that an earlier owner began has members unknown to this node and is
/// refused.
fn new_claim(members: Option<Vec<(FabricDomainId, Member)>>, now: Time) -> Claim {
    let step = if members.is_some() { ClaimStep::Read } else { ClaimStep::Refused };
    let mut remaining: BTreeMap<FabricDomainId, Vec<Member>> = BTreeMap::new();
    for (domain, member) in members.into_iter().flatten() {
        remaining.entry(domain).or_default().push(member);
    }
    Claim {
        remaining: remaining.into_iter().collect(),
        step,
        reads: 0,
        last_call_at: now,
        found: None,
    }
}

impl Claim {
    /// Evaluates the next domain's record: the claim is granted already,
    /// refused, or to be written.
    fn advance(
        &mut self,
        replica: ReplicaId,
        old: Option<ReplicaId>,
        home: &FabricDomainId,
        other: &Arc<DomainRecord>,
        revision: Revision,
    ) -> Option<RecordWrite> {
        let (domain, members) = self.remaining.first()?.clone();
        let is_granted = |member: &Member| {
            other.foreign.iter().any(|it| it.replica == replica && it.member == *member)
        };
        if members.iter().all(is_granted) {
            self.remaining.remove(0);
            self.step =
                if self.remaining.is_empty() { ClaimStep::Granted } else { ClaimStep::Read };
            return None;
        }
        // The replica under repair holds the retained members until this one
        // replaces it.
        let is_retained = |member: &Member| {
            let mut claims =
                other.foreign.iter().filter(|it| it.member.instance == member.instance);
            claims.all(|it| Some(it.replica) == old)
                && other.foreign.iter().any(|it| it.member == *member)
        };
        let is_unavailable = |it: &Member| {
            !is_retained(it) && other.names_instance(&it.instance)
                || other.is_leaving(&it.instance, it.incarnation)
        };
        if members.iter().any(|it| !is_granted(it) && is_unavailable(it)) {
            self.step = ClaimStep::Refused;
            return None;
        }
        let mut record = DomainRecord::clone(other);
        let claims = members.into_iter().filter(|it| !is_granted(it));
        record.foreign.extend(claims.map(|member| ForeignClaim {
            member,
            replica,
            home: home.clone(),
        }));
        Some(RecordWrite { domain, expected: Some(revision), record: Arc::new(record) })
    }
}
