//! Detection that this node itself is probably isolated or was paused.
//!
//! When a large share of the other nodes appears dead at once, isolation or a
//! pause of this node is more likely than so many failures. While a node
//! suspects itself, it takes over no domains and rebuilds no replicas. The loss
//! is accepted once it has lasted for a time and the key-value service has
//! responded after that, which shows that this node is not the isolated one.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// A sudden loss is suspect if it is at least the number of nodes divided by
/// this.
const SUDDEN_LOSS_DIVISOR: usize = 3;
/// Time within which a loss counts as sudden.
const SUDDEN_LOSS_WINDOW: Duration = Duration::from_secs(10);
/// Time for which the loss must last before it is accepted.
const ACCEPTED_AFTER: Duration = Duration::from_secs(15);

/// Recent numbers of live nodes, and whether a sudden loss is suspect.
#[derive(Debug, Clone, Default)]
pub struct SelfSuspicion {
    recent_counts: VecDeque<(Time, usize)>,
    suspect_since: Option<Time>,
    alive_before_loss: usize,
    confirmed_at: Option<Time>,
}

impl SelfSuspicion {
    /// Records the number of live nodes, including this one.
    pub fn record_alive(&mut self, alive: usize, now: Time) {
        while self.recent_counts.front().is_some_and(|(at, _)| SUDDEN_LOSS_WINDOW < now.since(*at))
        {
            self.recent_counts.pop_front();
        }
        if self.recent_counts.back().map(|(_, count)| *count) != Some(alive)
            || self.recent_counts.is_empty()
        {
            self.recent_counts.push_back((now, alive));
        }
        let max_alive = self.recent_counts.iter().map(|(_, count)| *count).max().unwrap_or(alive);
        if self.suspect_since.is_none() && is_sudden(max_alive, alive) {
            self.suspect_since = Some(now);
            self.alive_before_loss = max_alive;
        }
        if self.suspect_since.is_some() && !is_sudden(self.alive_before_loss, alive) {
            self.suspect_since = None;
        }
        if let Some(since) = self.suspect_since
            && ACCEPTED_AFTER <= now.since(since)
            && self.confirmed_at.is_some_and(|it| since + ACCEPTED_AFTER <= it)
        {
            self.suspect_since = None;
            self.recent_counts = VecDeque::from([(now, alive)]);
        }
    }

    /// Records that the key-value service responded to a call sent at
    /// `sent_at`.
    pub fn record_store_response(&mut self, sent_at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Whether the node suspects that it is isolated.
    pub fn suspects_self(&self) -> bool {
        self.suspect_since.is_some()
    }
}

fn is_sudden(before: usize, alive: usize) -> bool {
    1 < before.saturating_sub(alive) && before <= before.saturating_sub(alive) * SUDDEN_LOSS_DIVISOR
}

#[cfg(test)]
mod tests;
