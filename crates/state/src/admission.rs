//! The queue in front of the replicas: bounded, fair between organisations
//! inside each priority class, and quick to refuse what can't be served in
//! time.
//!
//! A class is served only while those above it are empty. Inside a class the
//! organisations take turns in proportion to their weights, measured in the
//! cost of what they ask for (start-time fair queueing). A full queue makes
//! room by giving up the youngest request of the organisation that holds most
//! for its weight, in the lowest class.
//!
//! How a node drives it: at arrival, if nothing is queued, try to route at
//! once; otherwise, or when routing says that all candidates are full,
//! [`Queue::offer`]. Whenever a request ends, and about ten times a second,
//! [`Queue::take`] and route what it gives; [`Queue::put_back`] if there is
//! still no room. [`Queue::remove`] when a caller goes away. The queue belongs
//! behind one short mutex; the count that tells whether it is empty is kept
//! beside it in an atomic.

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

/// Shortest pause that a refused caller is asked to make.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest such pause.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueBounds {
    /// Requests, at most.
    pub max_requests: usize,
    /// Bytes of their bodies, at most.
    pub max_bytes: u64,
}

impl Default for QueueBounds {
    fn default() -> Self {
        Self { max_requests: 4096, max_bytes: 64 * 1024 * 1024 }
    }
}

/// A request that asks to be queued.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Organisation that it belongs to.
    pub organisation: OrganisationId,
    /// Weight of the organisation.
    pub weight: u32,
    /// Priority class.
    pub priority: Priority,
    /// Cost: prompt and expected answer.
    pub cost: Tokens,
    /// Size of its body.
    pub size: Bytes,
    /// Latest time at which it may be sent and still keep its deadlines.
    pub start_by: Time,
}

/// Place in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    organisation: OrganisationId,
    priority: Priority,
    number: u64,
}

/// Why a request is refused. It was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// Its turn would come too late.
    #[display("its deadline would pass before its turn")]
    TooLate,
    /// The queue is full, and its organisation holds most of it.
    #[display("the queue is full")]
    Full,
    /// It was queued, and gave way to an organisation that holds less.
    #[display("the queue is full and its organisation holds most of it")]
    Displaced,
    /// Its deadline passed while it waited.
    #[display("its deadline passed in the queue")]
    Expired,
}

/// Refused request with the pause that its caller should make.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused<T> {
    /// The request.
    pub item: T,
    /// Why.
    pub refusal: Refusal,
    /// Pause before another try.
    pub retry_after: Duration,
}

/// Result of [`Queue::offer`].
#[derive(Debug, Clone, PartialEq)]
pub struct OfferResult<T> {
    /// Place of the request; none if it is refused.
    pub ticket: Option<Ticket>,
    /// Requests to refuse: this one, or those that gave way to it.
    pub refused: Vec<Refused<T>>,
}

/// Result of [`Queue::take`].
#[derive(Debug, Clone, PartialEq)]
pub struct TakeResult<T> {
    /// The next request and how it was queued.
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

/// Opens an empty queue.
pub fn open<T>(bounds: QueueBounds) -> Queue<T> {
    Queue { bounds, classes: Default::default(), drain: DrainRate::default(), next_ticket: 0 }
}

impl<T> Queue<T> {
    /// Requests queued.
    pub fn len(&self) -> usize {
        self.classes.iter().map(Class::len).sum()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request, or refuses it.
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

    /// Takes out the request whose turn it is.
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

    /// Puts a request that could not be sent back to the head of its
    /// organisation.
    pub fn put_back(&mut self, arrival: Arrival, item: T, now: Time) -> Ticket {
        self.drain.take_back(arrival.cost, now);
        let ticket = self.new_ticket(&arrival);
        self.class(arrival.priority).put_back(ticket.number, arrival, item);
        ticket
    }

    /// Takes out the request of a caller that went away.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<T> {
        self.class(ticket.priority).remove(&ticket.organisation, ticket.number)
    }

    /// Time until a request that arrives now would have its turn.
    pub fn estimate_wait(&self, arrival: &Arrival, now: Time) -> Duration {
        let place = place_of(arrival.priority);
        let above: u64 = self.classes[..place].iter().map(Class::cost).sum();
        let ahead = above + self.classes[place].cost_ahead(arrival);
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
        &mut self.classes[place_of(priority)]
    }

    fn is_full(&self, arrival: &Arrival) -> bool {
        let bytes: u64 = self.classes.iter().map(Class::bytes).sum();
        self.bounds.max_requests <= self.len() || self.bounds.max_bytes < bytes + arrival.size.0
    }

    /// Gives up the youngest request of the organisation that holds most, if
    /// that is not the arrival's own.
    fn displace(&mut self, arrival: &Arrival) -> Option<T> {
        let place = place_of(arrival.priority);
        let lower = self.classes[place + 1..].iter_mut().rev();
        if let Some(item) = lower.filter(|it| 0 < it.len()).find_map(Class::displace_any) {
            return Some(item);
        }
        self.classes[place].displace_for(arrival)
    }

    fn refuse(&self, item: T, refusal: Refusal, wait: Duration) -> OfferResult<T> {
        OfferResult { ticket: None, refused: vec![refusal_of(item, refusal, wait)] }
    }
}

fn refusal_of<T>(item: T, refusal: Refusal, wait: Duration) -> Refused<T> {
    Refused { item, refusal, retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
}

fn place_of(priority: Priority) -> usize {
    match priority {
        Priority::High => 0,
        Priority::Normal => 1,
        Priority::Low => 2,
    }
}

#[cfg(test)]
mod tests;
