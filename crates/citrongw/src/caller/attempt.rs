//! One request over the replicas: selection, the stream, and taking it up
//! again when it breaks.

use std::sync::Arc;

use citrongw_coordination::replica_table::{InFlight, ReplicaEntry};
use citrongw_protocol::{
    code::ResultCode,
    engine::{Chunk, ChunkStream, EngineError, GenerateRequest},
};
use citrongw_state::{
    config::Profile,
    id::{RequestId, StreamId},
    time::Time,
};
use futures::StreamExt;
use tokio::time::Instant;

use crate::node::Shared;

/// Request of a caller, as attempts need it.
#[derive(Debug, Clone)]
pub(super) struct Work {
    /// The request.
    pub(super) request: RequestId,
    /// Profile that it runs under.
    pub(super) profile: Profile,
    /// Prompt.
    pub(super) prompt: String,
    /// Most tokens to generate.
    pub(super) max_tokens: u32,
    /// When it arrived.
    pub(super) arrived_at: Time,
}

/// Answer under way. Dropping it before the end cancels the stream.
pub(super) struct Running {
    shared: Arc<Shared>,
    work: Work,
    replica: Arc<ReplicaEntry>,
    stream: StreamId,
    chunks: ChunkStream,
    next_sequence: u64,
    resumes_left: u32,
    ended: bool,
    _in_flight: InFlight,
}

/// Starts the request on a replica.
pub(super) async fn start(shared: Arc<Shared>, work: Work) -> Result<Running, ResultCode> {
    let mut refused = Vec::new();
    loop {
        let replica = select(&shared, &work, &refused)?;
        let in_flight = replica.enter();
        let stream = StreamId::from(format!("{}-{}", work.request, refused.len()));
        let request = generate_request(&work, &replica, &stream);
        let addr = replica.spec.members[0].engine_addr;
        let limit = first_token_limit(&shared, &work);
        let res = tokio::time::timeout_at(limit, shared.engine.generate(addr, request)).await;
        match res {
            Ok(Ok(chunks)) => {
                let resumes_left = work.profile.retries;
                return Ok(Running {
                    shared,
                    work,
                    replica,
                    stream,
                    chunks,
                    next_sequence: 0,
                    resumes_left,
                    ended: false,
                    _in_flight: in_flight,
                });
            }
            Ok(Err(EngineError::NotReached | EngineError::Refused { .. })) => {
                refused.push(replica.spec.id);
                if work.profile.retries < u32::try_from(refused.len()).unwrap_or(u32::MAX) {
                    return Err(ResultCode::NotReached);
                }
            }
            Ok(Err(EngineError::Failed { .. })) => return Err(ResultCode::EngineError),
            Ok(Err(EngineError::BrokenOff)) => return Err(ResultCode::BrokenOff),
            Err(_) => {
                spawn_cancel(&shared, &replica, stream);
                return Err(ResultCode::DeadlinePassed);
            }
        }
    }
}

/// Routable replica of the model with the least of this node's work.
fn select(
    shared: &Shared,
    work: &Work,
    refused: &[citrongw_state::id::ReplicaId],
) -> Result<Arc<ReplicaEntry>, ResultCode> {
    let now = shared.clock.now();
    let entries = shared.replicas.entries();
    let fits = |entry: &&Arc<ReplicaEntry>| {
        entry.spec.model == work.profile.model
            && work.profile.version.as_ref().is_none_or(|it| *it == entry.spec.version)
            && !refused.contains(&entry.spec.id)
            && entry.check_routable(now, shared.settings.report_freshness).is_ok()
    };
    let least = entries.iter().filter(fits).min_by_key(|entry| entry.in_flight());
    least.cloned().ok_or(ResultCode::NoReplica)
}

fn generate_request(work: &Work, replica: &ReplicaEntry, stream: &StreamId) -> GenerateRequest {
    GenerateRequest {
        request: work.request,
        stream: stream.clone(),
        replica: replica.spec.id,
        epoch: replica.spec.epoch,
        incarnation: replica.spec.members[0].incarnation,
        model: work.profile.model.clone(),
        adapter: work.profile.adapter.clone(),
        priority: work.profile.priority,
        prompt: work.prompt.clone(),
        max_tokens: work.max_tokens,
    }
}

fn first_token_limit(shared: &Shared, work: &Work) -> Instant {
    let first = work.arrived_at + work.profile.first_token();
    shared.clock.instant(first.min(work.arrived_at + work.profile.deadline()))
}

fn spawn_cancel(shared: &Arc<Shared>, replica: &ReplicaEntry, stream: StreamId) {
    let shared = Arc::clone(shared);
    let addr = replica.spec.members[0].engine_addr;
    tokio::spawn(async move {
        if let Err(error) = shared.engine.cancel(addr, stream).await {
            tracing::debug!(%error, "could not cancel stream");
        }
    });
}

impl Running {
    /// The next piece of the answer, in order, without gap or repetition.
    pub(super) async fn next(&mut self) -> Result<Chunk, ResultCode> {
        loop {
            let limit = self.next_limit();
            let item = tokio::time::timeout_at(limit, self.chunks.next()).await;
            match item {
                Ok(Some(Ok(chunk))) => {
                    if let Some(chunk) = self.take(chunk)? {
                        return Ok(chunk);
                    }
                }
                Ok(Some(Err(_)) | None) => self.resume().await?,
                Err(_) => return Err(ResultCode::DeadlinePassed),
            }
        }
    }

    /// Checks a chunk's place. None if it was already passed on.
    fn take(&mut self, chunk: Chunk) -> Result<Option<Chunk>, ResultCode> {
        match &chunk {
            Chunk::Token { sequence, .. } if *sequence < self.next_sequence => Ok(None),
            Chunk::Token { sequence, .. } if *sequence == self.next_sequence => {
                self.next_sequence += 1;
                Ok(Some(chunk))
            }
            Chunk::End { tokens, .. } if *tokens == self.next_sequence => {
                self.ended = true;
                Ok(Some(chunk))
            }
            Chunk::Token { .. } | Chunk::End { .. } => Err(ResultCode::BrokenOff),
        }
    }

    async fn resume(&mut self) -> Result<(), ResultCode> {
        while 0 < self.resumes_left {
            self.resumes_left -= 1;
            let addr = self.replica.spec.members[0].engine_addr;
            let resume = self.shared.engine.resume(addr, self.stream.clone(), self.next_sequence);
            match tokio::time::timeout_at(self.next_limit(), resume).await {
                Ok(Ok(chunks)) => {
                    self.chunks = chunks;
                    return Ok(());
                }
                Ok(Err(_)) => {}
                Err(_) => return Err(ResultCode::DeadlinePassed),
            }
        }
        Err(ResultCode::BrokenOff)
    }

    fn next_limit(&self) -> Instant {
        if self.next_sequence == 0 {
            return first_token_limit(&self.shared, &self.work);
        }
        let deadline = self.work.arrived_at + self.work.profile.deadline();
        let between = self.shared.clock.now() + self.work.profile.between_tokens();
        self.shared.clock.instant(deadline.min(between))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.ended {
            spawn_cancel(&self.shared, &self.replica, self.stream.clone());
        }
    }
}
