//! Times of requests at the servers of one model or service, learned from responses.

use std::time::Duration;

/// Samples from which a mean is known.
const MIN_SAMPLES: u32 = 8;
/// Samples after which a mean forgets older ones: half a minute of one gateway's
/// requests, so that long ones do not sway it.
const MAX_WEIGHT: u32 = 64;
/// Largest sample, as a multiple of the mean: callers that read slowly hold a slot
/// for longer than the server needs.
const MAX_SAMPLE_FACTOR: f64 = 10.0;
/// Distinct priorities; lower ones count as the lowest of these.
const PRIORITIES: usize = 4;
/// Weight of a request in the shares of the priorities: half a minute of one gateway's
/// requests.
const SHARE_WEIGHT: f64 = 1.0 / 64.0;
/// Share of the slots that are taken when the shares of the priorities are converted
/// to waits. Full pools are near 1, where the formula has no value.
const FULL: f64 = 0.95;
/// Weight of a sample in the measured waits: a few seconds of one gateway's requests,
/// as the mix of requests changes within a burst.
const WAIT_WEIGHT: f64 = 1.0 / 16.0;
/// Waits that the prior estimate counts as, beside the measured ones.
const PRIOR_SAMPLES: f64 = 4.0;
/// Bounds of the factor from the pool's wait to that of one priority.
const WAIT_FACTORS: (f64, f64) = (0.02, 10.0);

/// Mean over the latest samples.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    samples: u32,
    seconds: f64,
}

impl Mean {
    fn record(&mut self, sample: Duration) {
        let mut sample = sample.as_secs_f64();
        if MIN_SAMPLES <= self.samples {
            sample = sample.min(self.seconds * MAX_SAMPLE_FACTOR);
        }
        self.samples = (self.samples + 1).min(MAX_WEIGHT);
        self.seconds += (sample - self.seconds) / f64::from(self.samples);
    }

    fn get(&self) -> Option<Duration> {
        (MIN_SAMPLES <= self.samples).then(|| Duration::from_secs_f64(self.seconds))
    }
}

/// Learned times that a decision needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimates {
    /// Time to the first event, or to the response of a plain call, without a queue.
    pub first_event: Duration,
    /// Time that a request holds a slot.
    pub hold: Duration,
    /// Wait of a request of this priority, as a multiple of the wait that the pool's
    /// load implies for all.
    pub wait_factor: f64,
    /// Seconds by which the measured waits of this priority differ from that, at most
    /// zero: they are shorter if requests that run later than this one fill the queues.
    /// Longer ones are not added, as a full pool makes even the first in the queue wait.
    pub wait_correction_s: f64,
    /// Part of the arriving requests that have this priority.
    pub share: f64,
}

impl Estimates {
    /// Wait of a request while the load of the pool implies `pool_wait` for all.
    pub fn wait(&self, pool_wait: Duration) -> Duration {
        if pool_wait.is_zero() {
            return Duration::ZERO;
        }
        let wait_s = pool_wait.as_secs_f64() * self.wait_factor + self.wait_correction_s;
        Duration::from_secs_f64(wait_s.max(0.0))
    }
}

/// Differences of measured and expected waits over the latest requests of one
/// priority.
#[derive(Debug, Clone, Copy, Default)]
struct WaitErrors {
    sum_s: f64,
    weight: f64,
}

/// Means of the times at the servers of one model or service, and the waits of its
/// requests by priority.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    first_event: Mean,
    hold: Mean,
    shares: [f64; PRIORITIES],
    wait_errors: [WaitErrors; PRIORITIES],
}

impl ServiceTimes {
    /// Records the time from sending a request to its first event, or to the response
    /// of a plain call. It counts only if the server had a free slot.
    pub fn record_first_event(&mut self, took: Duration, had_free_slot: bool) {
        if had_free_slot {
            self.first_event.record(took);
        }
    }

    /// Records the time from the first event, or the response of a plain call, to the
    /// end. The slot was held for the time to a first event without a queue as well.
    pub fn record_end(&mut self, after_first_event: Duration) {
        if let Some(first_event) = self.first_event.get() {
            self.hold.record(first_event + after_first_event);
        }
    }

    /// Records the time to the first event of a request that was in time when it was
    /// sent, while the load of the pool implied a wait.
    pub fn record_wait(&mut self, priority: u8, took: Duration, expected_wait: Duration) {
        let Some(first_event) = self.first_event.get() else { return };
        if expected_wait.is_zero() {
            return;
        }
        let expected_s = expected_wait.as_secs_f64() * self.wait_factor(priority);
        let error_s = took.as_secs_f64() - first_event.as_secs_f64() - expected_s;
        let errors = &mut self.wait_errors[index(priority)];
        errors.sum_s += error_s - errors.sum_s * WAIT_WEIGHT;
        errors.weight += 1.0 - errors.weight * WAIT_WEIGHT;
    }

    /// Records the priority of a request that arrived.
    pub fn record_arrival(&mut self, priority: u8) {
        for share in &mut self.shares {
            *share -= *share * SHARE_WEIGHT;
        }
        self.shares[index(priority)] += SHARE_WEIGHT;
    }

    /// Estimates for a request; none until enough responses were seen.
    pub fn estimates(&self, priority: u8) -> Option<Estimates> {
        let (first_event, hold) = (self.first_event.get()?, self.hold.get()?);
        let errors = &self.wait_errors[index(priority)];
        Some(Estimates {
            first_event,
            hold,
            wait_factor: self.wait_factor(priority),
            wait_correction_s: (errors.sum_s / (errors.weight + PRIOR_SAMPLES)).min(0.0),
            share: self.share(priority),
        })
    }

    /// Factor that follows from the shares of the priorities, if servers run the most
    /// urgent request first: the part of the queue that is ahead of the request, by the
    /// part of the servers' time that more urgent ones leave (M/M/1 with priorities).
    fn share(&self, priority: u8) -> f64 {
        let total: f64 = self.shares.iter().sum();
        if total <= 0.0 { 1.0 } else { self.shares[index(priority)] / total }
    }

    fn wait_factor(&self, priority: u8) -> f64 {
        let total: f64 = self.shares.iter().sum();
        if total <= 0.0 {
            return 1.0;
        }
        let load_to = |end: usize| self.shares[..end].iter().sum::<f64>() / total * FULL;
        let queue = |load: f64| load / (1.0 - load);
        let (higher, with_own) = (load_to(index(priority)), load_to(index(priority) + 1));
        let factor = queue(with_own) / queue(FULL) / (1.0 - higher);
        factor.clamp(WAIT_FACTORS.0, WAIT_FACTORS.1)
    }
}

/// Lower priorities share the last index.
fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

#[cfg(test)]
mod tests;
