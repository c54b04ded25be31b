//! The queue in front of each group of replicas, and how requests wait in it.
//!
//! A request goes straight to a replica while nobody waits. When its candidates
//! are full it is queued, or refused at once if its turn would come too late.
//! Whoever gives a place up, and a tick, let the next ones through.

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
    fleet::Placed,
    quantile::P95,
    refusal::Failure,
    route::{self, NoPlace, Want},
    work::Work,
};
use crate::node::Shared;

/// What the replicas of a group serve.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct GroupKey {
    /// Model.
    pub(super) model: ModelId,
    /// Version, if one is asked for.
    pub(super) version: Option<ModelVersion>,
    /// Adapter, if one is asked for.
    pub(super) adapter: Option<AdapterId>,
}

/// Queue in front of one group of replicas.
#[derive(Debug)]
pub(super) struct GroupQueue {
    queue: Mutex<Queue<Waiter>>,
    waiting: AtomicUsize,
    /// First token time that 95 in 100 requests stay below.
    pub(super) first_token: P95,
}

/// Request that waits.
#[derive(Debug)]
struct Waiter {
    want: Arc<Want>,
    turn_tx: oneshot::Sender<Result<Placed, Turned>>,
}

/// What a waiting request gets in place of a replica.
#[derive(Debug, Clone, Copy)]
enum Turned {
    /// To ask again at a time.
    Later(Time),
    /// An error.
    Away(Failure),
}

impl Default for GroupQueue {
    fn default() -> Self {
        Self {
            queue: Mutex::new(admission::open(QueueBounds::default())),
            waiting: AtomicUsize::new(0),
            first_token: P95::default(),
        }
    }
}

impl GroupQueue {
    /// Requests that wait.
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

/// Waits for a place on a replica.
pub(super) async fn admit(
    shared: &Arc<Shared>,
    work: &Work,
    want: &Arc<Want>,
) -> Result<Placed, Failure> {
    let group = &work.caller.profile.group;
    loop {
        let turned = if group.len() == 0 {
            match route::take_place(shared, want) {
                Ok(placed) => return Ok(placed),
                Err(NoPlace::Full) => wait_turn(shared, work, want).await,
                Err(NoPlace::Wait(until)) => Err(Turned::Later(until)),
                Err(NoPlace::Refused(code)) => Err(Turned::Away(code.into())),
            }
        } else {
            wait_turn(shared, work, want).await
        };
        match turned {
            Ok(placed) => return Ok(placed),
            Err(Turned::Away(failure)) => return Err(failure),
            Err(Turned::Later(until)) => pause(shared, work, until).await?,
        }
    }
}

async fn pause(shared: &Shared, work: &Work, until: Time) -> Result<(), Failure> {
    let limit = work.first_token_limit();
    tokio::time::sleep_until(shared.clock.instant(until.min(limit))).await;
    if limit <= shared.clock.now() { Err(ResultCode::DeadlineUnreachable.into()) } else { Ok(()) }
}

async fn wait_turn(shared: &Arc<Shared>, work: &Work, want: &Arc<Want>) -> Result<Placed, Turned> {
    let group = &work.caller.profile.group;
    let (turn_tx, turn_rx) = oneshot::channel();
    let waiter = Waiter { want: Arc::clone(want), turn_tx };
    let now = shared.clock.now();
    let offered = group.change(|it| it.offer(arrival(work, want), waiter, now));
    refuse(shared, offered.refused);
    let _place = Place { group, ticket: offered.ticket };
    // A place may have been given up since it was found full.
    let_through(shared, group);
    let lost = Turned::Away(ResultCode::Overloaded.into());
    turn_rx.await.unwrap_or(Err(lost))
}

/// Place in the queue, left when dropped.
struct Place<'a> {
    group: &'a GroupQueue,
    ticket: Option<Ticket>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = &self.ticket {
            self.group.change(|it| it.remove(ticket));
        }
    }
}

fn arrival(work: &Work, want: &Want) -> Arrival {
    let caller = &work.caller;
    let usual = caller.profile.group.first_token.get();
    Arrival {
        organisation: caller.organisation.clone(),
        weight: caller.weight,
        priority: caller.profile.priority,
        cost: Tokens(u64::from(want.prompt_tokens) + u64::from(work.max_tokens)),
        size: Bytes(work.prompt.len() as u64),
        start_by: work.first_token_limit() - usual,
    }
}

/// Lets requests through while there are places.
pub(super) fn let_through(shared: &Shared, group: &GroupQueue) {
    while group.len() != 0 {
        let now = shared.clock.now();
        let mut refused = Vec::new();
        let goes_on = group.change(|queue| {
            let taken = queue.take(now);
            refused = taken.refused;
            let Some((arrival, waiter)) = taken.next else { return false };
            if waiter.turn_tx.is_closed() {
                return true;
            }
            let turn = match route::take_place(shared, &waiter.want) {
                Ok(placed) => Ok(placed),
                Err(NoPlace::Full) => {
                    queue.put_back(arrival, waiter, now);
                    return false;
                }
                Err(NoPlace::Wait(until)) => Err(Turned::Later(until)),
                Err(NoPlace::Refused(code)) => Err(Turned::Away(code.into())),
            };
            // A caller that left meanwhile gives its place back by the drop.
            let _ = waiter.turn_tx.send(turn);
            true
        });
        refuse(shared, refused);
        if !goes_on {
            return;
        }
    }
}

fn refuse(shared: &Shared, refused: Vec<Refused<Waiter>>) {
    for Refused { item, refusal, retry_after } in refused {
        let request = item.want.request;
        shared.decisions.add(Decision::NotAdmitted { request, refusal });
        let code = match refusal {
            Refusal::TooLate | Refusal::Expired => ResultCode::DeadlineUnreachable,
            Refusal::Full | Refusal::Displaced => ResultCode::Overloaded,
        };
        let failure = Failure::from(code).with_retry_after(retry_after.max(Duration::ZERO));
        // A caller that left needs no answer.
        let _ = item.turn_tx.send(Err(Turned::Away(failure)));
    }
}
