//! Events in order of simulated time.

use std::{cmp::Ordering, collections::BinaryHeap};

use citrongw_state::time::Time;

/// Event with its time and insertion number.
#[derive(Debug)]
struct Scheduled<E> {
    at: Time,
    number: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

// The heap returns the greatest element, so the order is reversed to return the
// earliest.
impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Queue of future events. Events at the same time are returned in insertion
/// order.
#[derive(Debug)]
pub struct Timeline<E> {
    heap: BinaryHeap<Scheduled<E>>,
    added: u64,
}

impl<E> Default for Timeline<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), added: 0 }
    }
}

impl<E> Timeline<E> {
    /// Schedules an event.
    pub fn add(&mut self, at: Time, event: E) {
        self.added += 1;
        self.heap.push(Scheduled { at, number: self.added, event });
    }

    /// Removes the next event at or before `end`.
    pub fn next(&mut self, end: Time) -> Option<(Time, E)> {
        if end < self.heap.peek()?.at {
            return None;
        }
        self.heap.pop().map(|it| (it.at, it.event))
    }
}
