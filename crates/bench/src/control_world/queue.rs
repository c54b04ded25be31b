//! Event queue ordered by time, and by insertion order for equal times.

use std::{cmp::Ordering, collections::BinaryHeap};

use citrongw_state::time::Time;

/// Queue of scheduled events.
#[derive(Debug)]
pub struct Queue<T> {
    heap: BinaryHeap<Entry<T>>,
    count: u64,
}

#[derive(Debug)]
struct Entry<T> {
    at: Time,
    number: u64,
    item: T,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), count: 0 }
    }
}

impl<T> Queue<T> {
    /// Schedules an item.
    pub fn push(&mut self, at: Time, item: T) {
        self.count += 1;
        self.heap.push(Entry { at, number: self.count, item });
    }

    /// Removes the first item if it is due by `end`.
    pub fn pop_before(&mut self, end: Time) -> Option<(Time, T)> {
        if self.heap.peek()?.at <= end {
            return self.heap.pop().map(|it| (it.at, it.item));
        }
        None
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}
