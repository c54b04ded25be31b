//! What operators ask of replica control, each as one change of a domain's
//! record.
//!
//! A change carries its attempt id into the record, so that a write whose reply
//! was lost is looked up before the operator is told anything, and a change
//! that is asked for again takes effect once.

use std::sync::Arc;

use bytes::Bytes;
use citrongw_protocol::{
    record::{
        DomainRecord, DrainCause, DrainingReplica, LeavingCause, LeavingMark, ReturnedMark,
        domain_key,
    },
    store::{Change, Expected, Store, StoreError, Write, WriteResult},
};
use citrongw_state::id::{AttemptId, FabricDomainId, Incarnation, InstanceId, ReplicaId, Revision};
use derive_more::{Display, Error};

use super::{call::decode_record, release::abandon_repair};

/// Attempts that a record remembers.
const ASKED_KEPT: usize = 32;
/// Conflicts after which a change is given up.
const MAX_CONFLICTS: u32 = 8;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorChange {
    /// The replica takes no new work, and ends.
    Drain(ReplicaId),
    /// This start of the instance takes no new work.
    Leave(InstanceId, Incarnation),
    /// This start of the instance may work again.
    Return(InstanceId, Incarnation),
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The record says so, as of this revision.
    Committed(Revision),
    /// There was nothing to change.
    Unchanged,
}

/// Failure to ask.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum OperatorChangeError {
    /// No record names the replica or the domain.
    #[display("domain or replica is not known")]
    Unknown,
    /// The service did not answer; the change may have taken effect. Asking
    /// again with the same attempt is safe.
    #[display("key-value service did not answer; the change may have taken effect")]
    NoAnswer,
    /// The service was not reached; nothing changed.
    #[display("key-value service was not reached; nothing changed")]
    NotReached,
    /// Others changed the record each time.
    #[display("record is changing too often; nothing changed")]
    Conflicts,
}

/// Changes the record of `domain`.
pub async fn ask(
    store: &dyn Store,
    domain: &FabricDomainId,
    ask: &OperatorChange,
    attempt: AttemptId,
) -> Result<ChangeOutcome, OperatorChangeError> {
    let mut unsure = false;
    for _ in 0..MAX_CONFLICTS {
        let failed = |error: StoreError| match error {
            StoreError::NotReached if !unsure => OperatorChangeError::NotReached,
            _ => OperatorChangeError::NoAnswer,
        };
        let snapshot = store.get(domain_key(domain)).await.map_err(failed)?;
        let found = snapshot.into_entry().as_ref().and_then(decode_record);
        let (record, revision) = found.ok_or(OperatorChangeError::Unknown)?;
        if record.asked.contains(&attempt) {
            return Ok(ChangeOutcome::Committed(revision));
        }
        let Some(next) = apply(&record, ask, attempt)? else { return Ok(ChangeOutcome::Unchanged) };
        match write(store, domain, &next, revision).await {
            Ok(WriteResult::Committed(revision)) => return Ok(ChangeOutcome::Committed(revision)),
            Ok(WriteResult::Conflict(_)) => {}
            Err(StoreError::NotReached) if !unsure => return Err(OperatorChangeError::NotReached),
            Err(_) => unsure = true,
        }
    }
    Err(if unsure { OperatorChangeError::NoAnswer } else { OperatorChangeError::Conflicts })
}

async fn write(
    store: &dyn Store,
    domain: &FabricDomainId,
    record: &DomainRecord,
    revision: Revision,
) -> Result<WriteResult, StoreError> {
    let refused = |error: serde_json::Error| StoreError::Refused { reason: error.to_string() };
    let value = serde_json::to_vec(record).map_err(refused)?;
    let write = Write {
        key: domain_key(domain),
        expected: Expected::Revision(revision),
        change: Change::Put(Bytes::from(value)),
        lease: None,
    };
    store.compare_and_swap(write).await
}

/// The record with the change, or none if it says so already.
fn apply(
    record: &Arc<DomainRecord>,
    ask: &OperatorChange,
    attempt: AttemptId,
) -> Result<Option<DomainRecord>, OperatorChangeError> {
    let mut next = DomainRecord::clone(record);
    match ask {
        OperatorChange::Drain(replica) => {
            if next.draining.iter().any(|it| it.spec.id == *replica) {
                return Ok(None);
            }
            let place = next.replicas.iter().position(|it| it.id == *replica);
            let spec = next.replicas.remove(place.ok_or(OperatorChangeError::Unknown)?);
            abandon_repair(&mut next, *replica);
            next.loads.retain(|it| it.replica != *replica);
            next.down.retain(|it| it.replica != *replica);
            next.draining.push(DrainingReplica { spec, cause: DrainCause::Operator });
        }
        OperatorChange::Leave(instance, incarnation) => {
            if next.is_leaving(instance, *incarnation) && !next.is_returned(instance, *incarnation)
            {
                return Ok(None);
            }
            next.returned.retain(|it| it.instance != *instance || it.incarnation != *incarnation);
            next.leaving.retain(|it| it.instance != *instance);
            next.leaving.push(LeavingMark {
                instance: instance.clone(),
                incarnation: *incarnation,
                cause: LeavingCause::Operator,
            });
        }
        OperatorChange::Return(instance, incarnation) => {
            if next.is_returned(instance, *incarnation) {
                return Ok(None);
            }
            next.leaving.retain(|it| it.instance != *instance || it.incarnation != *incarnation);
            next.returned.retain(|it| it.instance != *instance);
            next.returned
                .push(ReturnedMark { instance: instance.clone(), incarnation: *incarnation });
        }
    }
    next.asked.push(attempt);
    if ASKED_KEPT < next.asked.len() {
        next.asked.remove(0);
    }
    Ok(Some(next))
}

#[cfg(test)]
mod tests;
