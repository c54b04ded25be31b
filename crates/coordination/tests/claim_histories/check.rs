//! Invariants of a history, and counts of the events that occurred in it.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bytes::Bytes;
use citrongw_protocol::claim;
use citrongw_state::{
    claim::{ClaimPhase, SettledOutcome, StoredBody},
    id::AttemptId,
    time::Time,
};

use crate::{
    event::{Call, Response},
    policy::ViolationKind,
};

/// Retention of every call.
pub(crate) const RETENTION: Duration = Duration::from_millis(1500);

/// One execution at the backend server.
#[derive(Debug, Clone)]
struct Run {
    attempt: AttemptId,
    response: Bytes,
}

/// Violation of an invariant.
#[derive(Debug, Clone)]
pub(crate) struct Violation {
    /// Kind of the violation.
    pub(crate) kind: ViolationKind,
    /// Description of what was observed.
    pub(crate) text: String,
}

/// Checker of one history.
#[derive(Debug, Default)]
pub(crate) struct Check {
    /// Whether the backend server deduplicates repeated keys by itself.
    pub(crate) server_deduplicates: bool,
    /// Violations found so far.
    pub(crate) violations: Vec<Violation>,
    /// Number of occurrences of each kind of event.
    pub(crate) event_counts: BTreeMap<&'static str, u64>,
    opened_at: HashMap<AttemptId, Time>,
    settled_at: HashMap<AttemptId, (Time, u128, SettledOutcome)>,
    runs: HashMap<u128, Vec<Run>>,
    reported_not_run: Vec<AttemptId>,
}

impl Check {
    /// Counts an event.
    pub(crate) fn count(&mut self, event: &'static str) {
        *self.event_counts.entry(event).or_default() += 1;
    }

    /// Records a value that the store committed.
    pub(crate) fn record_commit(&mut self, value: &[u8], now: Time) {
        for (key, claim) in claim::decode(value).unwrap().claims() {
            self.opened_at.entry(claim.attempt).or_insert(now);
            if let ClaimPhase::Settled { outcome, .. } = &claim.phase {
                let settled = || (now, key.0, outcome.clone());
                self.settled_at.entry(claim.attempt).or_insert_with(settled);
            }
        }
    }

    /// Records an execution and returns its response.
    pub(crate) fn record_run(&mut self, call: &Call, attempt: AttemptId) -> Bytes {
        let runs = self.runs.entry(call.key).or_default();
        let own = |run: &&Run| run.response.starts_with(format!("{}:", call.body).as_bytes());
        if let Some(first) = runs.iter().find(own).filter(|_| self.server_deduplicates) {
            let response = first.response.clone();
            runs.push(Run { attempt, response: response.clone() });
            return response;
        }
        let response = Bytes::from(format!("{}:{}", call.body, runs.len()));
        let last = runs.last().map(|it| it.attempt);
        runs.push(Run { attempt, response: response.clone() });
        if let Some(last) = last {
            let settled = self.settled_at.get(&last).map(|it| it.0);
            let opened = self.opened_at.get(&attempt);
            let after_retention =
                settled.zip(opened).is_some_and(|(settled, opened)| settled + RETENTION <= *opened);
            if !after_retention || last == attempt {
                self.add_violation(ViolationKind::RanAgain, format!("key {} ran again", call.key));
            }
            self.count("ran again after the retention");
        }
        response
    }

    /// Checks the response that a caller gets at `now` to a request sent at
    /// `requested_at`.
    pub(crate) fn check_response(
        &mut self,
        call: &Call,
        response: &Response,
        requested_at: Time,
        now: Time,
    ) {
        self.count(match response {
            Response::NotRun(_) => "responded not_run",
            Response::KeyReused => "responded reused",
            Response::Unknown => "responded unknown",
            Response::Completed(_) => "responded completed",
        });
        match response {
            Response::NotRun(attempt) => self.reported_not_run.push(*attempt),
            Response::Completed(body) => {
                let runs = self.runs.get(&call.key).map(Vec::as_slice).unwrap_or_default();
                let own = body.starts_with(format!("{}:", call.body).as_bytes());
                if !own || !runs.iter().any(|it| it.response == *body) {
                    let text = format!("request {} got another response", call.id);
                    self.add_violation(ViolationKind::WrongResponse, text);
                }
            }
            Response::KeyReused | Response::Unknown => {}
        }
        self.check_replay(call, response, requested_at, now);
    }

    /// Checks that a retry within the retention gets the response of the
    /// completed execution.
    fn check_replay(&mut self, call: &Call, response: &Response, requested_at: Time, now: Time) {
        let mut replayed = false;
        let mut found = None;
        for (settled_at, key, outcome) in self.settled_at.values() {
            let SettledOutcome::Completed(stored) = outcome else { continue };
            let StoredBody::Whole(body) = &stored.body else { continue };
            let own = body.starts_with(format!("{}:", call.body).as_bytes());
            let is_retained = *settled_at <= requested_at && now < *settled_at + RETENTION;
            if *key != call.key || !is_retained {
                continue;
            }
            replayed = true;
            let is_expected = match response {
                Response::Completed(received) => received == body,
                Response::KeyReused => !own,
                Response::NotRun(_) => true,
                Response::Unknown => false,
            };
            if !is_expected {
                found = Some(format!("request {} got {response:?} for {body:?}", call.id));
            }
        }
        if let Some(text) = found {
            self.add_violation(ViolationKind::NotReplayed, text);
        }
        if replayed {
            self.count("retried after completion");
        }
    }

    /// Checks the invariants that need the whole history.
    pub(crate) fn finish(&mut self) {
        for attempt in std::mem::take(&mut self.reported_not_run) {
            if self.runs.values().flatten().any(|it| it.attempt == attempt) {
                let text = format!("attempt {attempt} ran although its caller got not_run");
                self.add_violation(ViolationKind::RanAfterRefusal, text);
            }
        }
    }

    fn add_violation(&mut self, kind: ViolationKind, text: String) {
        self.violations.push(Violation { kind, text });
    }
}

/// Event counts of many histories.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    event_counts: BTreeMap<&'static str, u64>,
}

impl Tally {
    /// Adds the counts of one history.
    pub(crate) fn add(&mut self, check: &Check) {
        for (event, count) in &check.event_counts {
            *self.event_counts.entry(event).or_default() += count;
        }
    }

    /// Adds another tally.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (event, count) in &other.event_counts {
            *self.event_counts.entry(event).or_default() += count;
        }
    }

    /// Returns the counts by kind of event.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.event_counts.iter().map(|(event, count)| (*event, *count))
    }
}
