//! Self-doubt of a node that suddenly sees much as dead.
//!
//! It is likelier that this node was cut off or paused than that a large share
//! of all others died at once. While it doubts, it takes over and rebuilds
//! nothing. It believes what it sees once that has lasted, and the key-value
//! service has answered since: then this node is not the one cut off.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Share that must vanish for doubt, as one part in so many.
const SUDDEN_PARTS: usize = 3;
/// Time within which it must vanish.
const SUDDEN_WITHIN: Duration = Duration::from_secs(10);
/// Time for which the loss must last before it is believed.
const BELIEVED_AFTER: Duration = Duration::from_secs(15);

/// What was seen of late.
#[derive(Debug, Clone, Default)]
pub struct SelfSuspicion {
    seen: VecDeque<(Time, usize)>,
    since: Option<Time>,
    expected: usize,
    confirmed_at: Option<Time>,
}

impl SelfSuspicion {
    /// Takes in how many are alive, this node among them.
    pub fn record_alive(&mut self, alive: usize, now: Time) {
        while self.seen.front().is_some_and(|(at, _)| SUDDEN_WITHIN < now.since(*at)) {
            self.seen.pop_front();
        }
        if self.seen.back().map(|(_, count)| *count) != Some(alive) || self.seen.is_empty() {
            self.seen.push_back((now, alive));
        }
        let most = self.seen.iter().map(|(_, count)| *count).max().unwrap_or(alive);
        if self.since.is_none() && is_sudden(most, alive) {
            self.since = Some(now);
            self.expected = most;
        }
        if self.since.is_some() && !is_sudden(self.expected, alive) {
            self.since = None;
        }
        if let Some(since) = self.since
            && BELIEVED_AFTER <= now.since(since)
            && self.confirmed_at.is_some_and(|it| since + BELIEVED_AFTER <= it)
        {
            self.since = None;
            self.seen = VecDeque::from([(now, alive)]);
        }
    }

    /// Takes in that the key-value service answered a call sent at `sent_at`.
    pub fn record_store_response(&mut self, sent_at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Whether the node doubts what it sees.
    pub fn suspects_self(&self) -> bool {
        self.since.is_some()
    }
}

fn is_sudden(before: usize, alive: usize) -> bool {
    1 < before.saturating_sub(alive) && before <= before.saturating_sub(alive) * SUDDEN_PARTS
}

#[cfg(test)]
mod tests;
