//! Requests that ended without a response, kept until it is known whether their server
//! died. A poll may be inconclusive, and another gateway may find the death first.

use std::{collections::HashMap, time::Duration};

use citrongw_state::{
    id::{Fingerprint, ServerIncarnation},
    time::Time,
};

/// Time for which a request counts if its server is found dead.
pub(super) const EVIDENCE_TIME: Duration = Duration::from_secs(3);
/// Time for which a death is known to requests that end after it.
const DEATH_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of requests kept for one server: many times its slots.
const MAX_REQUESTS: usize = 256;

/// Signatures of one request.
pub(super) type Signatures = Vec<Fingerprint>;

/// What follows from a request that ended without a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum NextStep {
    /// The server is to be polled.
    Poll,
    /// The server is known to be dead.
    Publish(Signatures),
    /// A poll or another request decides.
    Wait,
}

#[derive(Debug)]
struct EndedRequest {
    ended_at: Time,
    signatures: Signatures,
    /// Whether the server may still have been running it.
    is_abandoned: bool,
}

#[derive(Debug, Default)]
struct ServerEvidence {
    requests: Vec<EndedRequest>,
    died_at: Option<Time>,
    is_polled: bool,
}

impl ServerEvidence {
    fn add(&mut self, signatures: Signatures, is_abandoned: bool, now: Time) -> NextStep {
        if self.died_at.is_some() {
            return NextStep::Publish(signatures);
        }
        if MAX_REQUESTS <= self.requests.len() {
            self.requests.remove(0);
        }
        self.requests.push(EndedRequest { ended_at: now, signatures, is_abandoned });
        NextStep::Wait
    }
}

/// Requests that ended without a response, by server.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    servers: HashMap<ServerIncarnation, ServerEvidence>,
}

impl Evidence {
    /// Records a request whose exchange was interrupted.
    pub(super) fn add_interrupted(
        &mut self,
        server: &ServerIncarnation,
        signatures: Signatures,
        now: Time,
    ) -> NextStep {
        let evidence = self.servers.entry(server.clone()).or_default();
        let next = evidence.add(signatures, false, now);
        if next != NextStep::Wait || std::mem::replace(&mut evidence.is_polled, true) {
            return next;
        }
        NextStep::Poll
    }

    /// Records a request that was abandoned while its server might still run it.
    pub(super) fn add_abandoned(
        &mut self,
        server: &ServerIncarnation,
        signatures: Signatures,
        now: Time,
    ) -> NextStep {
        self.servers.entry(server.clone()).or_default().add(signatures, true, now)
    }

    /// Records the death of a server. Returns the requests that count.
    pub(super) fn record_death(
        &mut self,
        server: &ServerIncarnation,
        now: Time,
    ) -> Vec<Signatures> {
        let evidence = self.servers.entry(server.clone()).or_default();
        evidence.died_at = Some(now);
        evidence.is_polled = false;
        let requests = std::mem::take(&mut evidence.requests).into_iter();
        let recent = requests.filter(|it| now.since(it.ended_at) < EVIDENCE_TIME);
        recent.map(|it| it.signatures).collect()
    }

    /// Records that a server runs, so that no interrupted request crashed it. Returns
    /// these.
    pub(super) fn record_running(&mut self, server: &ServerIncarnation) -> Vec<Signatures> {
        let Some(evidence) = self.servers.get_mut(server) else { return Vec::new() };
        evidence.is_polled = false;
        let requests = std::mem::take(&mut evidence.requests).into_iter();
        let (abandoned, interrupted) = requests.partition(|it| it.is_abandoned);
        evidence.requests = abandoned;
        interrupted.into_iter().map(|it: EndedRequest| it.signatures).collect()
    }

    /// Records that the polls of a server were inconclusive. Returns the requests that
    /// wait.
    pub(super) fn record_inconclusive(&mut self, server: &ServerIncarnation) -> Vec<Signatures> {
        let Some(evidence) = self.servers.get_mut(server) else { return Vec::new() };
        evidence.is_polled = false;
        evidence.requests.iter().map(|it| it.signatures.clone()).collect()
    }

    /// Drops requests and deaths that no longer count.
    pub(super) fn expire(&mut self, now: Time) {
        self.servers.retain(|_, it| {
            it.requests.retain(|it| now.since(it.ended_at) < EVIDENCE_TIME);
            it.died_at = it.died_at.filter(|at| now.since(*at) < DEATH_RETENTION);
            it.is_polled || it.died_at.is_some() || !it.requests.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
