//! The queue of each replica group, and the admission of requests from it.
//!
//! While the queue is empty, a request is sent to a replica directly. If its
//! candidates are full it is queued, or refused at once if it would be admitted too
//! late. Waiting requests are admitted when a permit is released and periodically.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use citrongw_protocol::{code::ResultCode, decision::Decision};
use citrongw_state::{
    admission::{self, Arrival, Queue, QueueBounds, Refusal, Refused, Ticket},
    id::{AdapterId, ModelId, ModelVersion},
    time::Time,
    unit::{Bytes, Tokens},
};
use tokio::sync::oneshot;

use super::{
    fleet::ReplicaPermit,
    quantile::P95,
    refusal::Failure,
    route::{self, RouteCriteria, RouteError},
    work::Work,
};
use crate::node::Shared;

/// Key of a replica group: what its replicas serve.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct GroupKey {
    /// Model that the replicas serve.
    pub(super) model: ModelId,
    /// Version, if the profile requires one.
    pub(super) version: Option<ModelVersion>,
    /// Adapter, if the profile requires one.
    pub(super) adapter: Option<AdapterId>,
}

/// Queue of one replica group.
#[derive(Debug)]
pub(super) struct GroupQueue {
    queue: Mutex<Queue<Waiter>>,
    waiting: AtomicUsize,
    /// 95th percentile of the time to first token.
    pub(super) first_token_p95: P95,
}

/// Queued request.
#[derive(Debug)]
struct Waiter {
    criteria: Arc<RouteCriteria>,
    permit_tx: oneshot::Sender<Result<ReplicaPermit, AdmissionError>>,
}

/// Why a request got no permit.
#[derive(Debug, Clone, Copy)]
enum AdmissionError {
    /// The request may try again at this time.
    RetryAt(Time),
    /// The request fails.
    Rejected(Failure),
}

impl Default for GroupQueue {
    fn default() -> Self {
        Self {
            queue: Mutex::new(admission::open(QueueBounds::default())),
            waiting: AtomicUsize::new(0),
            first_token_p95: P95::default(),
        }
    }
}

impl GroupQueue {
    /// Number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    fn change<T>(&self, change: impl FnOnce(&mut Queue<Waiter>) -> T) -> T {
        let mut queue: MutexGuard<'_, Queue<Waiter>> =
            self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let res = change(&mut queue);
        self.waiting.store(queue.len(), Ordering::Relaxed);
        res
    }
}

/// Waits for a permit on a replica.
pub(super) async fn admit(
    shared: &Arc<Shared>,
    work: &Work,
    criteria: &Arc<RouteCriteria>,
) -> Result<ReplicaPermit, Failure> {
    let group = &work.caller.profile.group;
    loop {
        let result = if group.len() == 0 {
            match route::acquire_replica(shared, criteria) {
                Ok(permit) => return Ok(permit),
                Err(RouteError::Full) => wait_in_queue(shared, work, criteria).await,
                Err(RouteError::RetryAt(until)) => Err(AdmissionError::RetryAt(until)),
                Err(RouteError::Refused(code)) => Err(AdmissionError::Rejected(code.into())),
            }
        } else {
            wait_in_queue(shared, work, criteria).await
        };
        match result {
            Ok(permit) => return Ok(permit),
            Err(AdmissionError::Rejected(failure)) => return Err(failure),
            Err(AdmissionError::RetryAt(until)) => pause(shared, work, until).await?,
        }
    }
}

async fn pause(shared: &Shared, work: &Work, until: Time) -> Result<(), Failure> {
    let deadline = work.first_token_deadline();
    tokio::time::sleep_until(shared.clock.instant(until.min(deadline))).await;
    if deadline <= shared.clock.now() {
        Err(ResultCode::DeadlineUnreachable.into())
    } else {
        Ok(())
    }
}

async fn wait_in_queue(
    shared: &Arc<Shared>,
    work: &Work,
    criteria: &Arc<RouteCriteria>,
) -> Result<ReplicaPermit, AdmissionError> {
    let group = &work.caller.profile.group;
    let (permit_tx, permit_rx) = oneshot::channel();
    let waiter = Waiter { criteria: Arc::clone(criteria), permit_tx };
    let now = shared.clock.now();
    let offered = group.change(|it| it.offer(arrival(work, criteria), waiter, now));
    refuse(shared, offered.refused);
    let _guard = QueueGuard { group, ticket: offered.ticket };
    // A permit may have been released since all candidates were found full.
    admit_waiting(shared, group);
    let closed = AdmissionError::Rejected(ResultCode::Overloaded.into());
    permit_rx.await.unwrap_or(Err(closed))
}

/// Removes its request from the queue on drop.
struct QueueGuard<'a> {
    group: &'a GroupQueue,
    ticket: Option<Ticket>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = &self.ticket {
            self.group.change(|it| it.remove(ticket));
        }
    }
}

fn arrival(work: &Work, criteria: &RouteCriteria) -> Arrival {
    let caller = &work.caller;
    let first_token_p95 = caller.profile.group.first_token_p95.get();
    Arrival {
        organisation: caller.organisation.clone(),
        weight: caller.weight,
        priority: caller.profile.priority,
        cost: Tokens(u64::from(criteria.prompt_tokens) + u64::from(work.max_tokens)),
        size: Bytes(work.prompt.len() as u64),
        start_by: work.first_token_deadline() - first_token_p95,
    }
}

/// Admits queued requests while replicas have free capacity.
pub(super) fn admit_waiting(shared: &Shared, group: &GroupQueue) {
    while group.len() != 0 {
        let now = shared.clock.now();
        let mut refused = Vec::new();
        let proceed = group.change(|queue| {
            let taken = queue.take(now);
            refused = taken.refused;
            let Some((arrival, waiter)) = taken.next else { return false };
            if waiter.permit_tx.is_closed() {
                return true;
            }
            let reply = match route::acquire_replica(shared, &waiter.criteria) {
                Ok(permit) => Ok(permit),
                Err(RouteError::Full) => {
                    queue.put_back(arrival, waiter, now);
                    return false;
                }
                Err(RouteError::RetryAt(until)) => Err(AdmissionError::RetryAt(until)),
                Err(RouteError::Refused(code)) => Err(AdmissionError::Rejected(code.into())),
            };
            // If the caller has disconnected, dropping the reply releases the permit.
            let _ = waiter.permit_tx.send(reply);
            true
        });
        refuse(shared, refused);
        if !proceed {
            return;
        }
    }
}

fn refuse(shared: &Shared, refused: Vec<Refused<Waiter>>) {
    for Refused { item, refusal, retry_after } in refused {
        let request = item.criteria.request;
        shared.decisions.add(Decision::NotAdmitted { request, refusal });
        let code = match refusal {
            Refusal::TooLate | Refusal::Expired => ResultCode::DeadlineUnreachable,
            Refusal::Full | Refusal::Displaced => ResultCode::Overloaded,
        };
        let failure = Failure::from(code).with_retry_after(retry_after.max(Duration::ZERO));
        // The caller may have disconnected.
        let _ = item.permit_tx.send(Err(AdmissionError::Rejected(failure)));
    }
}
