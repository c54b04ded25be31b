//! Replica that runs the most urgent request first.

use std::collections::BTreeSet;

/// Replica with slots and a queue. Times are in ticks.
#[derive(Debug, Default)]
pub(super) struct Server {
    queue: BTreeSet<(u8, u64, usize)>,
    running: BTreeSet<(u64, usize)>,
    next_order: u64,
    pub(super) is_lost: bool,
}

impl Server {
    /// Requests running or waiting.
    pub(super) fn load(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Enqueues a request; false if the queue is full.
    pub(super) fn push(&mut self, request: usize, urgency: u8, slots: usize, max: usize) -> bool {
        if slots <= self.running.len() && max <= self.queue.len() {
            return false;
        }
        self.queue.insert((urgency, self.next_order, request));
        self.next_order += 1;
        true
    }

    /// Ends requests that are due and returns them.
    pub(super) fn end_due(&mut self, now: u64) -> Vec<usize> {
        let rest = self.running.split_off(&(now + 1, 0));
        std::mem::replace(&mut self.running, rest).into_iter().map(|(_, it)| it).collect()
    }

    /// Takes the next request of the queue if a slot is free.
    pub(super) fn start_next(&mut self, slots: usize) -> Option<usize> {
        if slots <= self.running.len() {
            return None;
        }
        self.queue.pop_first().map(|(_, _, request)| request)
    }

    /// Runs a request until a tick.
    pub(super) fn run_until(&mut self, request: usize, tick: u64) {
        self.running.insert((tick, request));
    }

    /// Loses all requests.
    pub(super) fn lose(&mut self) -> Vec<usize> {
        self.is_lost = true;
        let queued = std::mem::take(&mut self.queue).into_iter().map(|(_, _, it)| it);
        let running = std::mem::take(&mut self.running).into_iter().map(|(_, it)| it);
        queued.chain(running).collect()
    }

    /// Requests that wait and run before a new one of an urgency, and the new one, if
    /// no slot is free.
    pub(super) fn ahead(&self, urgency: u8, slots: usize) -> usize {
        if self.running.len() < slots {
            return 0;
        }
        self.queue.iter().take_while(|it| it.0 <= urgency).count() + 1
    }
}
