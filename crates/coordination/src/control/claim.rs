//! Claims of instances in other domains, for replicas that span several.
//!
//! The home domain's record lists the replica as pending before any claim is
//! made elsewhere, and makes it active only after every claim stands: that one
//! compare-and-swap decides. A claim holds only while the home's record names
//! it, so a half-made one ends when the home drops the pending replica, and
//! whoever finds the claim later may clear it; no clock of the claimant counts.
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

/// Reads of one domain after which a claim is given up.
const CLAIM_READS: u32 = 16;
/// Pause between two checks of one foreign claim.
const CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_secs(10);

/// What a claim waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// To read the next domain's record.
    Read,
    /// For an answer.
    Waiting,
    /// Every domain has granted.
    Granted,
    /// A domain has refused.
    Refused,
}

/// Claim of one replica.
#[derive(Debug, Clone)]
struct Claim {
    left: Vec<(FabricDomainId, Vec<Member>)>,
    step: ClaimStep,
    reads: u32,
    asked_at: Time,
    found: Option<(Arc<DomainRecord>, Revision)>,
}

/// Claims made from one domain, and checks of those made in it.
#[derive(Debug, Clone, Default)]
pub struct ClaimTracker {
    made: BTreeMap<ReplicaId, Claim>,
    members: BTreeMap<ReplicaId, Vec<(FabricDomainId, Member)>>,
    void: BTreeSet<(ReplicaId, InstanceId)>,
    checked_at: Option<Time>,
}

impl ClaimTracker {
    /// Sets what a claim waits for.
    pub(super) fn set(&mut self, replica: ReplicaId, step: ClaimStep) {
        if let Some(claim) = self.made.get_mut(&replica) {
            claim.step = step;
        }
    }

    /// Takes in another domain's record.
    pub(super) fn handle_read(
        &mut self,
        replica: ReplicaId,
        found: Option<(Arc<DomainRecord>, Revision)>,
    ) {
        if let Some(claim) = self.made.get_mut(&replica) {
            claim.step = if found.is_some() { ClaimStep::Waiting } else { ClaimStep::Refused };
            claim.found = found;
        }
    }

    /// Takes in which claims here are void, by their home's record.
    pub(super) fn handle_check(&mut self, claims: &[ForeignClaim], home: Option<&DomainRecord>) {
        for claim in claims {
            if !home.is_some_and(|it| it.confirms_claim(claim.replica, &claim.member.instance)) {
                self.void.insert((claim.replica, claim.member.instance.clone()));
            }
        }
    }

    /// Remembers which domain each proposed member is in.
    pub(super) fn propose(&mut self, replica: ReplicaId, elsewhere: Vec<(FabricDomainId, Member)>) {
        self.members.insert(replica, elsewhere);
    }

    /// Whether the claim of a pending replica is decided.
    pub(super) fn step(&self, replica: ReplicaId) -> Option<ClaimStep> {
        self.made.get(&replica).map(|it| it.step)
    }

    /// Whether a claim here was found void.
    pub(super) fn is_void(&self, claim: &ForeignClaim) -> bool {
        self.void.contains(&(claim.replica, claim.member.instance.clone()))
    }

    /// Forgets what the record no longer lists.
    pub(super) fn retain(&mut self, record: &DomainRecord) {
        let pending = |id: &ReplicaId| record.pending.iter().any(|it| it.id == *id);
        self.made.retain(|id, _| pending(id));
        let held = |id: &ReplicaId, instance: &InstanceId| {
            record.foreign.iter().any(|it| it.replica == *id && it.member.instance == *instance)
        };
        self.void.retain(|(id, instance)| held(id, instance));
    }
}

impl DomainControl {
    /// Takes the next step of every claim.
    pub(super) fn advance_claims(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(record) = self.record.clone() else { return };
        self.claims.retain(&record);
        for spec in &record.pending {
            self.go_on_with(spec, record.replaced_by(spec.id), now, actions);
        }
        self.check_foreign(&record, now, actions);
    }

    fn go_on_with(
        &mut self,
        spec: &ReplicaSpec,
        old: Option<ReplicaId>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let members = self.claims.members.get(&spec.id).cloned();
        let claim = self.claims.made.entry(spec.id).or_insert_with(|| begin(members, now));
        let lost = claim.step == ClaimStep::Waiting
            && claim.found.is_none()
            && self.settings.order_interval <= now.since(claim.asked_at);
        if lost {
            claim.step = ClaimStep::Read;
        }
        if let Some((other, revision)) = claim.found.take() {
            let replica = spec.id;
            if let Some(write) = claim.advance(replica, old, &self.domain, &other, revision) {
                claim.step = ClaimStep::Waiting;
                claim.asked_at = now;
                actions.push(Action::WriteForeign(replica, write));
                return;
            }
        }
        if claim.step != ClaimStep::Read {
            return;
        }
        let Some((domain, _)) = claim.left.first() else {
            claim.step = ClaimStep::Granted;
            return;
        };
        claim.reads += 1;
        claim.asked_at = now;
        claim.step =
            if CLAIM_READS < claim.reads { ClaimStep::Refused } else { ClaimStep::Waiting };
        actions.push(Action::ReadForeign(domain.clone(), ForeignReadPurpose::Claim(spec.id)));
    }

    /// Asks the homes of foreign claims whether they still hold. The question
    /// is put after the claim was seen, so an answer that does not name the
    /// claim is final.
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

/// A claim whose members are not known to this node, which an earlier owner
/// began, is refused.
fn begin(members: Option<Vec<(FabricDomainId, Member)>>, now: Time) -> Claim {
    let step = if members.is_some() { ClaimStep::Read } else { ClaimStep::Refused };
    let mut left: BTreeMap<FabricDomainId, Vec<Member>> = BTreeMap::new();
    for (domain, member) in members.into_iter().flatten() {
        left.entry(domain).or_default().push(member);
    }
    Claim { left: left.into_iter().collect(), step, reads: 0, asked_at: now, found: None }
}

impl Claim {
    /// Goes on from the next domain's record: granted already, refused, or to
    /// be written.
    fn advance(
        &mut self,
        replica: ReplicaId,
        old: Option<ReplicaId>,
        home: &FabricDomainId,
        other: &Arc<DomainRecord>,
        revision: Revision,
    ) -> Option<RecordWrite> {
        let (domain, members) = self.left.first()?.clone();
        let granted = |member: &Member| {
            other.foreign.iter().any(|it| it.replica == replica && it.member == *member)
        };
        if members.iter().all(granted) {
            self.left.remove(0);
            self.step = if self.left.is_empty() { ClaimStep::Granted } else { ClaimStep::Read };
            return None;
        }
        // The replica under repair holds the members that stay until this one
        // takes its place.
        let stays = |member: &Member| {
            let mut claims =
                other.foreign.iter().filter(|it| it.member.instance == member.instance);
            claims.all(|it| Some(it.replica) == old)
                && other.foreign.iter().any(|it| it.member == *member)
        };
        let taken = |it: &Member| {
            !stays(it) && other.names_instance(&it.instance)
                || other.is_leaving(&it.instance, it.incarnation)
        };
        if members.iter().any(|it| !granted(it) && taken(it)) {
            self.step = ClaimStep::Refused;
            return None;
        }
        let mut record = DomainRecord::clone(other);
        let claims = members.into_iter().filter(|it| !granted(it));
        record.foreign.extend(claims.map(|member| ForeignClaim {
            member,
            replica,
            home: home.clone(),
        }));
        Some(RecordWrite { domain, expected: Some(revision), record: Arc::new(record) })
    }
}
