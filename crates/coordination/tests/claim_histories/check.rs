//! What must hold in a history, and what came about in it.

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
    event::{Answer, Call},
    policy::ViolationKind,
};

/// Retention of every call.
pub(crate) const RETENTION: Duration = Duration::from_millis(1500);

/// One run at the backend server.
#[derive(Debug, Clone)]
struct Run {
    attempt: AttemptId,
    answer: Bytes,
}

/// Something that did not hold.
#[derive(Debug, Clone)]
pub(crate) struct Violation {
    /// Kind of it.
    pub(crate) fault: ViolationKind,
    /// What was seen.
    pub(crate) text: String,
}

/// Observer of one history.
#[derive(Debug, Default)]
pub(crate) struct Check {
    /// Whether the backend server drops a repeated key by itself.
    pub(crate) server_drops_repeats: bool,
    /// What did not hold.
    pub(crate) violations: Vec<Violation>,
    /// How often what came about.
    pub(crate) seen: BTreeMap<&'static str, u64>,
    opened_at: HashMap<AttemptId, Time>,
    settled_at: HashMap<AttemptId, (Time, u128, SettledOutcome)>,
    runs: HashMap<u128, Vec<Run>>,
    told_not_run: Vec<AttemptId>,
}

impl Check {
    /// Counts what came about.
    pub(crate) fn count(&mut self, what: &'static str) {
        *self.seen.entry(what).or_default() += 1;
    }

    /// Takes in a value that the store committed.
    pub(crate) fn committed(&mut self, value: &[u8], now: Time) {
        for (key, claim) in claim::decode(value).unwrap().claims() {
            self.opened_at.entry(claim.attempt).or_insert(now);
            if let ClaimPhase::Settled { outcome, .. } = &claim.phase {
                let settled = || (now, key.0, outcome.clone());
                self.settled_at.entry(claim.attempt).or_insert_with(settled);
            }
        }
    }

    /// Takes in a run and gives its answer.
    pub(crate) fn ran(&mut self, call: &Call, attempt: AttemptId) -> Bytes {
        let runs = self.runs.entry(call.key).or_default();
        let own = |run: &&Run| run.answer.starts_with(format!("{}:", call.body).as_bytes());
        if let Some(first) = runs.iter().find(own).filter(|_| self.server_drops_repeats) {
            let answer = first.answer.clone();
            runs.push(Run { attempt, answer: answer.clone() });
            return answer;
        }
        let answer = Bytes::from(format!("{}:{}", call.body, runs.len()));
        let last = runs.last().map(|it| it.attempt);
        runs.push(Run { attempt, answer: answer.clone() });
        if let Some(last) = last {
            let settled = self.settled_at.get(&last).map(|it| it.0);
            let opened = self.opened_at.get(&attempt);
            let after_retention =
                settled.zip(opened).is_some_and(|(settled, opened)| settled + RETENTION <= *opened);
            if !after_retention || last == attempt {
                self.violate(ViolationKind::RanAgain, format!("key {} ran again", call.key));
            }
            self.count("ran again after the retention");
        }
        answer
    }

    /// Takes in what a caller is told at `now` of a request made at `asked_at`.
    pub(crate) fn on_answer(&mut self, call: &Call, answer: &Answer, asked_at: Time, now: Time) {
        self.count(match answer {
            Answer::NotRun(_) => "told not_run",
            Answer::Reused => "told reused",
            Answer::Unknown => "told unknown",
            Answer::Completed(_) => "told completed",
        });
        match answer {
            Answer::NotRun(attempt) => self.told_not_run.push(*attempt),
            Answer::Completed(body) => {
                let runs = self.runs.get(&call.key).map(Vec::as_slice).unwrap_or_default();
                let own = body.starts_with(format!("{}:", call.body).as_bytes());
                if !own || !runs.iter().any(|it| it.answer == *body) {
                    let text = format!("request {} got another answer", call.id);
                    self.violate(ViolationKind::WrongAnswer, text);
                }
            }
            Answer::Reused | Answer::Unknown => {}
        }
        self.check_replay(call, answer, asked_at, now);
    }

    /// A resend inside the retention gets the answer of the completed run.
    fn check_replay(&mut self, call: &Call, answer: &Answer, asked_at: Time, now: Time) {
        let mut replayed = false;
        let mut found = None;
        for (settled_at, key, outcome) in self.settled_at.values() {
            let SettledOutcome::Completed(stored) = outcome else { continue };
            let StoredBody::Whole(body) = &stored.body else { continue };
            let own = body.starts_with(format!("{}:", call.body).as_bytes());
            let inside = *settled_at <= asked_at && now < *settled_at + RETENTION;
            if *key != call.key || !inside {
                continue;
            }
            replayed = true;
            let fits = match answer {
                Answer::Completed(told) => told == body,
                Answer::Reused => !own,
                Answer::NotRun(_) => true,
                Answer::Unknown => false,
            };
            if !fits {
                found = Some(format!("request {} got {answer:?} for {body:?}", call.id));
            }
        }
        if let Some(text) = found {
            self.violate(ViolationKind::NotReplayed, text);
        }
        if replayed {
            self.count("asked after completion");
        }
    }

    /// Looks at the whole history.
    pub(crate) fn finish(&mut self) {
        for attempt in std::mem::take(&mut self.told_not_run) {
            if self.runs.values().flatten().any(|it| it.attempt == attempt) {
                let text = format!("attempt {attempt} ran and was told not_run");
                self.violate(ViolationKind::RanAfterRefusal, text);
            }
        }
    }

    fn violate(&mut self, fault: ViolationKind, text: String) {
        self.violations.push(Violation { fault, text });
    }
}

/// What came about in many histories.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    seen: BTreeMap<&'static str, u64>,
}

impl Tally {
    /// Adds a history.
    pub(crate) fn add(&mut self, check: &Check) {
        for (what, count) in &check.seen {
            *self.seen.entry(what).or_default() += count;
        }
    }

    /// Adds another tally.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (what, count) in &other.seen {
            *self.seen.entry(what).or_default() += count;
        }
    }

    /// Counts by what came about.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.seen.iter().map(|(what, count)| (*what, *count))
    }
}
