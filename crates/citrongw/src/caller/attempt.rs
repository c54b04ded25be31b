//! One attempt of a request on one replica. Dropping an attempt that may still be
//! running cancels it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citrongw_protocol::{
    decision::Decision,
    engine::{Chunk, ChunkStream, EngineError, EngineResult, GenerateRequest},
    gossip_item::{GossipItem, LeavingInstance},
};
use citrongw_state::{id::StreamId, time::Time};
use futures::{StreamExt, future::BoxFuture};

use super::{
    fleet::{ReplicaPermit, TrackedReplica},
    queue::{self, GroupQueue},
    work::Work,
};
use crate::node::Shared;

/// Delay before a cancellation is sent again, in case it overtook its request.
const CANCEL_RESEND_DELAY: Duration = Duration::from_millis(250);

/// Progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Nothing has been sent.
    Unsent,
    /// The engine may have the request.
    Sent,
    /// The engine has started its response.
    ResponseStarted,
    /// The engine was not reached, or refused the request.
    NotRun,
    /// The engine has ended the request or no longer knows it.
    Finished,
}

/// Attempt of a request on one replica.
pub(super) struct Attempt {
    shared: Arc<Shared>,
    group: Arc<GroupQueue>,
    permit: Option<ReplicaPermit>,
    replica: Arc<TrackedReplica>,
    number: u32,
    stream: StreamId,
    sending: Option<BoxFuture<'static, EngineResult<ChunkStream>>>,
    chunks: Option<ChunkStream>,
    progress: Progress,
    resumed: bool,
    started_at: Time,
    in_flight: u32,
    tokens: u32,
    first_token_at: Time,
    last_token_at: Time,
}

impl Attempt {
    /// Prepares an attempt without sending anything.
    pub(super) fn new(
        shared: &Arc<Shared>,
        work: &Work,
        permit: ReplicaPermit,
        number: u32,
    ) -> Self {
        let now = shared.clock.now();
        Self {
            shared: Arc::clone(shared),
            group: Arc::clone(&work.caller.profile.group),
            replica: Arc::clone(&permit.replica),
            in_flight: permit.replica.entry.in_flight(),
            permit: Some(permit),
            number,
            stream: StreamId::from(format!("{}-{number}", work.request)),
            sending: None,
            chunks: None,
            progress: Progress::Unsent,
            resumed: false,
            started_at: now,
            tokens: 0,
            first_token_at: now,
            last_token_at: now,
        }
    }

    /// Replica of the attempt.
    pub(super) fn replica(&self) -> &Arc<TrackedReplica> {
        &self.replica
    }

    /// Time the attempt was started.
    pub(super) fn started_at(&self) -> Time {
        self.started_at
    }

    /// Requests of this node in flight on the replica when the attempt was started.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the engine may have the request.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(self.progress, Progress::Unsent | Progress::NotRun)
    }

    /// Whether the attempt was resumed and has returned no token since.
    pub(super) fn was_resumed(&self) -> bool {
        self.resumed
    }

    /// Returns the next chunk, or `None` if the stream ended without its end
    /// chunk. The first call sends the request. The method is cancel-safe.
    pub(super) async fn next(&mut self, work: &Work) -> Option<EngineResult<Chunk>> {
        if self.progress == Progress::Unsent
            && let Err(error) = self.send(work)
        {
            return Some(Err(error));
        }
        if let Some(sending) = &mut self.sending {
            let res = sending.await;
            self.sending = None;
            if let Err(error) = self.apply_response(res) {
                return Some(Err(error));
            }
        }
        let chunk = self.chunks.as_mut()?.next().await;
        match &chunk {
            Some(Ok(Chunk::End { .. })) => self.progress = Progress::Finished,
            Some(Ok(Chunk::Token { .. })) => self.record_token(),
            Some(Err(_)) | None => {}
        }
        chunk
    }

    /// Starts sending the request, if the replica is still routable.
    fn send(&mut self, work: &Work) -> EngineResult<()> {
        let (now, entry) = (self.shared.clock.now(), &self.replica.entry);
        if let Err(reason) = entry.check_routable(now, self.shared.settings.report_freshness) {
            return Err(EngineError::Refused { reason: format!("{reason:?}"), leaving: false });
        }
        self.shared.decisions.add(Decision::Routed {
            request: work.request,
            replica: entry.spec.id,
            attempt: self.number,
        });
        let (engine, addr) = (Arc::clone(&self.shared.engine), self.addr());
        let request = self.generate_request(work);
        self.sending = Some(Box::pin(async move { engine.generate(addr, request).await }));
        self.progress = Progress::Sent;
        Ok(())
    }

    /// Updates the progress from the head of the engine's response.
    fn apply_response(&mut self, res: EngineResult<ChunkStream>) -> EngineResult<()> {
        self.progress = match &res {
            Ok(_) => Progress::ResponseStarted,
            Err(EngineError::BrokenOff) => Progress::Sent,
            Err(EngineError::NotReached | EngineError::Refused { .. }) => Progress::NotRun,
            Err(EngineError::Failed { .. }) => Progress::Finished,
        };
        if let Err(EngineError::Refused { leaving: true, .. }) = &res {
            self.publish_leaving();
        }
        self.chunks = Some(res?);
        Ok(())
    }

    /// Resumes the stream from token `offset` over another connection.
    pub(super) async fn resume(&mut self, offset: u64) -> EngineResult<()> {
        self.sending = None;
        self.chunks = None;
        self.resumed = true;
        let resume = self.shared.engine.resume(self.addr(), self.stream.clone(), offset);
        let res = resume.await;
        if let Err(EngineError::Refused { .. }) = res {
            self.progress = Progress::Finished;
        }
        self.chunks = Some(res?);
        self.progress = Progress::ResponseStarted;
        Ok(())
    }

    /// Records the mean interval between the tokens of a complete response.
    pub(super) fn record_token_interval(&self) {
        if 1 < self.tokens {
            let interval = self.last_token_at.since(self.first_token_at) / (self.tokens - 1);
            self.replica.token_intervals.add(interval);
        }
    }

    fn record_token(&mut self) {
        self.resumed = false;
        self.last_token_at = self.shared.clock.now();
        if self.tokens == 0 {
            self.first_token_at = self.last_token_at;
        }
        self.tokens += 1;
    }

    fn publish_leaving(&self) {
        let Some(member) = self.replica.entry.spec.members.first() else { return };
        let leaving =
            LeavingInstance { instance: member.instance.clone(), incarnation: member.incarnation };
        self.shared.callers.leaving.add(&leaving);
        self.shared.gossip.publish(GossipItem::Leaving(leaving));
    }

    fn addr(&self) -> SocketAddr {
        self.replica.entry.spec.members[0].engine_addr
    }

    fn generate_request(&self, work: &Work) -> GenerateRequest {
        let (profile, spec) = (work.profile(), &self.replica.entry.spec);
        GenerateRequest {
            request: work.request,
            stream: self.stream.clone(),
            replica: spec.id,
            epoch: spec.epoch,
            incarnation: spec.members[0].incarnation,
            model: profile.model.clone(),
            adapter: profile.adapter.clone(),
            priority: profile.priority,
            prompt: work.prompt.clone(),
            max_tokens: work.max_tokens,
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.permit = None;
        queue::admit_waiting(&self.shared, &self.group);
        let resend = match self.progress {
            Progress::Unsent | Progress::NotRun | Progress::Finished => return,
            Progress::ResponseStarted => false,
            Progress::Sent => true,
        };
        let shared = Arc::clone(&self.shared);
        let (addr, stream) = (self.addr(), self.stream.clone());
        tokio::spawn(async move {
            cancel(&shared, addr, &stream).await;
            if resend {
                tokio::time::sleep(CANCEL_RESEND_DELAY).await;
                cancel(&shared, addr, &stream).await;
            }
        });
    }
}

async fn cancel(shared: &Shared, addr: SocketAddr, stream: &StreamId) {
    if let Err(error) = shared.engine.cancel(addr, stream.clone()).await {
        tracing::debug!(%error, %stream, "could not cancel stream");
    }
}

#[cfg(test)]
mod tests;
