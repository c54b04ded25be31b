//! Admission queue in front of the replicas. It is bounded, fair between the
//! organisations of each priority class, and rejects at once requests that
//! cannot be served in time.
//!
//! A class is served only while the higher classes are empty. Inside a class
//! the organisations are scheduled in proportion to their weights, measured in
//! the cost of their requests (start-time fair queueing). A full queue
//! displaces the newest request of the organisation with the highest queued
//! cost per weight, in the lowest class.
//!
//! At arrival, a node tries to route a request at once if the queue is empty.
//! If the queue is not empty, or all candidates are full, it calls
//! [`Queue::offer`]. Whenever a request ends, and about ten times a second, it
//! calls [`Queue::take`] and routes the request; it calls [`Queue::put_back`]
//! if the candidates are still full, and [`Queue::remove`] when a caller
//! disconnects. The node protects the queue by a mutex that is held briefly,
//! and keeps the number of queued requests in an atomic, which shows whether
//! the queue is empty.

mod class;
mod drain;

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use self::{class::Class, drain::DrainRate};
use crate::{
    config::Priority,
    id::OrganisationId,
    time::Time,
    unit::{Bytes, Tokens},
};

/// Shortest retry delay sent with a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest retry delay sent with a rejection.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueBounds {
    /// Maximum number of requests.
    pub max_requests: usize,
    /// Maximum total size of the request bodies, in bytes.
    pub max_bytes: u64,
}

impl Default for QueueBounds {
    fn default() -> Self {
        Self { max_requests: 4096, max_bytes: 64 * 1024 * 1024 }
    }
}

/// Scheduling data of an arriving request.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Weight of the organisation.
    pub weight: u32,
    /// Priority class of the request.
    pub priority: Priority,
    /// Cost: tokens of the prompt and of the expected response.
    pub cost: Tokens,
    /// Size of the request body.
    pub size: Bytes,
    /// Latest time at which the request can be sent and still meet its
    /// deadlines.
    pub start_by: Time,
}

/// Handle of a queued request, for its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    organisation: OrganisationId,
    priority: Priority,
    number: u64,
}

/// Reason for which a request is rejected. It was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// The request would leave the queue after its deadline.
    #[display("its deadline would pass before its turn")]
    TooLate,
    /// The queue is full, and the request's organisation occupies most of it.
    #[display("the queue is full")]
    Full,
    /// The request was queued and then displaced by one of an organisation that
    /// occupies less.
    #[display("the queue is full and its organisation holds most of it")]
    Displaced,
    /// The deadline passed in the queue.
    #[display("its deadline passed in the queue")]
    Expired,
}

/// Rejected request with the delay after which its caller should retry.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused<T> {
    /// The rejected request.
    pub item: T,
    /// Reason of the rejection.
    pub refusal: Refusal,
    /// Delay before a retry.
    pub retry_after: Duration,
}

/// Result of [`Queue::offer`].
#[derive(Debug, Clone, PartialEq)]
pub struct OfferResult<T> {
    /// Handle of the queued request; `None` if it is rejected.
    pub ticket: Option<Ticket>,
    /// Requests to reject: the offered one, or those that it displaced.
    pub refused: Vec<Refused<T>>,
}

/// Result of [`Queue::take`].
#[derive(Debug, Clone, PartialEq)]
pub struct TakeResult<T> {
    /// Next request, with the scheduling data that it was queued with.
    pub next: Option<(Arrival, T)>,
    /// Requests whose deadline passed in the queue.
    pub refused: Vec<Refused<T>>,
}

/// Queue of one node for one group of replicas.
#[derive(Debug)]
pub struct Queue<T> {
    bounds: QueueBounds,
    classes: [Class<T>; 3],
    drain: DrainRate,
    next_ticket: u64,
}

/// Creates an empty queue.
pub fn open<T>(bounds: QueueBounds) -> Queue<T> {
    Queue { bounds, classes: Default::default(), drain: DrainRate::default(), next_ticket: 0 }
}

impl<T> Queue<T> {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.classes.iter().map(Class::len).sum()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request or rejects it.
    pub fn offer(&mut self, arrival: Arrival, item: T, now: Time) -> OfferResult<T> {
        let wait = self.estimate_wait(&arrival, now);
        if arrival.start_by < now + wait {
            return self.refuse(item, Refusal::TooLate, wait);
        }
        let mut refused = Vec::new();
        while self.is_full(&arrival) {
            match self.displace(&arrival) {
                Some(item) => refused.push(refusal_of(item, Refusal::Displaced, wait)),
                None => {
                    let mut offered = self.refuse(item, Refusal::Full, wait);
                    offered.refused.append(&mut refused);
                    return offered;
                }
            }
        }
        if self.is_empty() {
            self.drain.start(now);
        }
        let ticket = self.new_ticket(&arrival);
        self.class(arrival.priority).add(ticket.number, arrival, item);
        OfferResult { ticket: Some(ticket), refused }
    }

    /// Takes the next request out of the queue.
    pub fn take(&mut self, now: Time) -> TakeResult<T> {
        let mut refused = Vec::new();
        while let Some((arrival, item)) = self.classes.iter_mut().find_map(Class::take) {
            if arrival.start_by < now {
                refused.push(refusal_of(item, Refusal::Expired, MIN_RETRY_AFTER));
                continue;
            }
            self.drain.add(arrival.cost, now);
            return TakeResult { next: Some((arrival, item)), refused };
        }
        TakeResult { next: None, refused }
    }

    /// Returns a request that could not be sent to the head of its
    /// organisation's queue.
    pub fn put_back(&mut self, arrival: Arrival, item: T, now: Time) -> Ticket {
        self.drain.revert(arrival.cost, now);
        let ticket = self.new_ticket(&arrival);
        self.class(arrival.priority).put_back(ticket.number, arrival, item);
        ticket
    }

    /// Removes the request of a caller that disconnected.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<T> {
        self.class(ticket.priority).remove(&ticket.organisation, ticket.number)
    }

    /// Time for which a request that arrives now would wait.
    pub fn estimate_wait(&self, arrival: &Arrival, now: Time) -> Duration {
        let idx = class_idx(arrival.priority);
        let above: u64 = self.classes[..idx].iter().map(Class::cost).sum();
        let ahead = above + self.classes[idx].cost_ahead(arrival);
        self.drain.time_for(Tokens(ahead), arrival.cost, now)
    }

    fn new_ticket(&mut self, arrival: &Arrival) -> Ticket {
        self.next_ticket += 1;
        Ticket {
            organisation: arrival.organisation.clone(),
            priority: arrival.priority,
            number: self.next_ticket,
        }
    }

    fn class(&mut self, priority: Priority) -> &mut Class<T> {
        &mut self.classes[class_idx(priority)]
    }

    fn is_full(&self, arrival: &Arrival) -> bool {
        let bytes: u64 = self.classes.iter().map(Class::bytes).sum();
        self.bounds.max_requests <= self.len() || self.bounds.max_bytes < bytes + arrival.size.0
    }

    /// Removes the newest request of the organisation that occupies most of the
    /// lowest non-empty class below the arrival's. If these classes are empty,
    /// does so in the arrival's class, unless the arrival's own organisation
    /// occupies most of it.
    fn displace(&mut self, arrival: &Arrival) -> Option<T> {
        let idx = class_idx(arrival.priority);
        let lower = self.classes[idx + 1..].iter_mut().rev();
        if let Some(item) = lower.filter(|it| 0 < it.len()).find_map(Class::displace_any) {
            return Some(item);
        }
        self.classes[idx].displace_for(arrival)
    }

    fn refuse(&self, item: T, refusal: Refusal, wait: Duration) -> OfferResult<T> {
        OfferResult { ticket: None, refused: vec![refusal_of(item, refusal, wait)] }
    }
}

fn refusal_of<T>(item: T, refusal: Refusal, wait: Duration) -> Refused<T> {
    Refused { item, refusal, retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
}

fn class_idx(priority: Priority) -> usize {
    match priority {
        Priority::High => 0,
        Priority::Normal => 1,
        Priority::Low => 2,
    }
}

#[cfg(test)]
mod tests;
