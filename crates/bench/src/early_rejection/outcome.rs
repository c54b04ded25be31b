//! What callers got.

use std::time::Duration;

/// Length of the intervals in which service is compared with that before the burst.
const INTERVAL: Duration = Duration::from_millis(500);
/// Share of the in-time responses before the burst from which service is as before.
const AS_BEFORE: f64 = 0.95;

/// How a caller's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// First event within the target latency of the first try, and complete.
    InTime,
    /// Complete within the timeout.
    Late,
    /// Rejected after the caller had returned.
    RejectedAgain,
    /// The timeout passed.
    TimedOut,
}

/// Counts of one class, of requests whose first try came from the start of the burst
/// on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassOutcome {
    /// Responses in time.
    pub in_time: u32,
    /// Responses complete but late.
    pub late: u32,
    /// Callers that returned and were rejected again.
    pub rejected_again: u32,
    /// Requests whose timeout passed.
    pub timed_out: u32,
    /// First tries that were rejected.
    pub first_rejected: u32,
}

impl ClassOutcome {
    /// Requests.
    pub fn total(&self) -> u32 {
        self.in_time + self.late + self.rejected_again + self.timed_out
    }

    /// Share of a count in all requests.
    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.total().max(1))
    }
}

/// Outcome of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Counts by class.
    pub classes: Vec<ClassOutcome>,
    /// First tries that were rejected before the burst.
    pub rejected_before: u32,
    /// Longest time that a request waited at the omniscient gateway.
    pub longest_wait: Duration,
    /// Requests and those in time by interval of their first try.
    intervals: Vec<(u32, u32)>,
}

impl Outcome {
    pub(super) fn new(classes: usize) -> Self {
        Self { classes: vec![ClassOutcome::default(); classes], ..Self::default() }
    }

    pub(super) fn record(&mut self, class: usize, arrived: Duration, counts: bool, end: Ending) {
        let interval = (arrived.as_millis() / INTERVAL.as_millis()) as usize;
        if self.intervals.len() <= interval {
            self.intervals.resize(interval + 1, (0, 0));
        }
        self.intervals[interval].0 += 1;
        self.intervals[interval].1 += u32::from(end == Ending::InTime);
        if !counts {
            return;
        }
        let outcome = &mut self.classes[class];
        match end {
            Ending::InTime => outcome.in_time += 1,
            Ending::Late => outcome.late += 1,
            Ending::RejectedAgain => outcome.rejected_again += 1,
            Ending::TimedOut => outcome.timed_out += 1,
        }
    }

    /// Time from the end of the burst until requests are in time as before it, for
    /// good; none if that does not happen.
    pub fn time_until_as_before(
        &self,
        burst_at: Duration,
        burst_end: Duration,
    ) -> Option<Duration> {
        let share = |(all, good): (u32, u32)| f64::from(good) / f64::from(all.max(1));
        let index = |at: Duration| (at.as_millis() / INTERVAL.as_millis()) as usize;
        let before = &self.intervals[index(burst_at) / 2..index(burst_at)];
        let sums = before.iter().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        let floor = share(sums) * AS_BEFORE;
        let after = &self.intervals[index(burst_end)..];
        let bad = after.iter().rposition(|it| share(*it) < floor).map_or(0, |it| it + 1);
        (bad < after.len()).then(|| INTERVAL * bad as u32)
    }
}
