//! A hedged attempt beside a slow first one. The first response wins; the other
//! attempt is dropped, which cancels it.

use std::sync::Arc;

use citrongw_protocol::{
    decision::Decision,
    engine::{Chunk, EngineResult},
};
use citrongw_state::{
    config::CallClass,
    hedge::{self, FirstAttempt},
    time::Time,
};

use super::ActiveRequest;
use crate::caller::{attempt::Attempt, route};

/// Next item of an attempt's stream; `None` if the stream ended without its end
/// chunk.
type Item = Option<EngineResult<Chunk>>;

impl ActiveRequest {
    /// Returns the time at which to start a second attempt, if one is allowed.
    pub(super) fn hedge_at(&self) -> Option<Time> {
        let attempt = self.attempt.as_ref()?;
        if self.response_started || self.hedged || self.next_sequence != 0 || 1 < self.attempts {
            return None;
        }
        let first = FirstAttempt {
            class: CallClass::Idempotent,
            allowed: self.work.profile().hedge,
            from_node: false,
            suspected: self.shared.callers.suspects.is_suspected(self.criteria.fingerprint),
            sent_at: attempt.started_at(),
            first_token_p95: self.work.caller.profile.group.first_token_p95.get(),
            deadline: self.work.first_token_deadline(),
        };
        hedge::plan(&first).ok()
    }

    /// Waits for the first chunk of the first attempt. If there is none by `at`, starts
    /// a second attempt, if a replica and the retry budget allow one, and returns the
    /// first chunk of either.
    pub(super) async fn next_hedged_chunk(&mut self, at: Time) -> Item {
        let at = self.shared.clock.instant(at);
        let first = self.attempt.as_mut()?;
        if let Ok(item) = tokio::time::timeout_at(at, first.next(&self.work)).await {
            return item;
        }
        self.hedged = true;
        let Some(mut second) = self.start_second() else {
            return self.attempt.as_mut()?.next(&self.work).await;
        };
        self.may_have_run = true;
        let first = self.attempt.as_mut()?;
        let (work, mut first_item, mut second_item) = (&self.work, None, None);
        while first_item.is_none() || second_item.is_none() {
            tokio::select! {
                biased;
                item = first.next(work), if first_item.is_none() => {
                    if matches!(item, Some(Ok(_))) {
                        return item;
                    }
                    first_item = Some(item);
                }
                item = second.next(work), if second_item.is_none() => {
                    if matches!(item, Some(Ok(_))) {
                        self.attempt = Some(second);
                        return item;
                    }
                    second_item = Some(item);
                }
            }
        }
        first_item.flatten()
    }

    fn start_second(&mut self) -> Option<Attempt> {
        let permit = route::acquire_replica(&self.shared, &self.criteria).ok()?;
        if !self.shared.callers.retries.try_take() {
            return None;
        }
        let (request, replica) = (self.work.request, permit.replica.entry.spec.id);
        self.shared.decisions.add(Decision::Hedged { request, replica });
        Arc::make_mut(&mut self.criteria).tried.push(replica);
        self.attempts += 1;
        Some(Attempt::new(&self.shared, &self.work, permit, self.attempts))
    }
}
