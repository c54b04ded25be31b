//! One attempt of a request on one replica. An attempt that may be running when
//! it is dropped is cancelled, once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citrongw_coordination::replica_table::{InFlight, ReplicaEntry};
use citrongw_protocol::{
    decision::Decision,
    engine::{Chunk, ChunkStream, EngineError, EngineResult, GenerateRequest},
};
use citrongw_state::id::StreamId;
use futures::StreamExt;

use super::work::Work;
use crate::node::Shared;

/// Pause before a cancellation is sent again, in case it overtook its request.
const CANCEL_AGAIN_PAUSE: Duration = Duration::from_millis(250);

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The engine may have the request.
    Sent,
    /// The engine answers.
    Answering,
    /// The engine has nothing of it left.
    Over,
}

/// Attempt on a replica.
pub(super) struct Attempt {
    shared: Arc<Shared>,
    replica: Arc<ReplicaEntry>,
    stream: StreamId,
    chunks: Option<ChunkStream>,
    progress: Progress,
    resumed: bool,
    _in_flight: InFlight,
}

impl Attempt {
    /// Prepares an attempt; nothing is sent.
    pub(super) fn new(
        shared: &Arc<Shared>,
        work: &Work,
        replica: Arc<ReplicaEntry>,
        number: u32,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            stream: StreamId::from(format!("{}-{number}", work.request)),
            chunks: None,
            progress: Progress::Over,
            resumed: false,
            _in_flight: replica.enter(),
            replica,
        }
    }

    /// The replica.
    pub(super) fn replica(&self) -> &Arc<ReplicaEntry> {
        &self.replica
    }

    /// Whether it was taken up again and has given no token since.
    pub(super) fn was_resumed(&self) -> bool {
        self.resumed
    }

    /// Sends the request, if the replica may still be routed to.
    pub(super) async fn send(&mut self, work: &Work, number: u32) -> EngineResult<()> {
        let now = self.shared.clock.now();
        let freshness = self.shared.settings.report_freshness;
        if let Err(reason) = self.replica.check_routable(now, freshness) {
            return Err(EngineError::Refused { reason: format!("{reason:?}"), leaving: false });
        }
        let request = generate_request(work, &self.replica, &self.stream);
        self.shared.decisions.add(Decision::Routed {
            request: work.request,
            replica: self.replica.spec.id,
            attempt: number,
        });
        self.progress = Progress::Sent;
        let res = self.shared.engine.generate(self.addr(), request).await;
        self.progress = match &res {
            Ok(_) => Progress::Answering,
            Err(EngineError::BrokenOff) => Progress::Sent,
            Err(
                EngineError::NotReached | EngineError::Refused { .. } | EngineError::Failed { .. },
            ) => Progress::Over,
        };
        self.chunks = Some(res?);
        Ok(())
    }

    /// The next chunk; none if the stream ended without its last one.
    pub(super) async fn next(&mut self) -> Option<EngineResult<Chunk>> {
        let chunk = self.chunks.as_mut()?.next().await;
        match &chunk {
            Some(Ok(Chunk::End { .. })) => self.progress = Progress::Over,
            Some(Ok(Chunk::Token { .. })) => self.resumed = false,
            Some(Err(_)) | None => {}
        }
        chunk
    }

    /// Takes the stream up again from token `offset` on, over another
    /// connection.
    pub(super) async fn resume(&mut self, offset: u64) -> EngineResult<()> {
        self.chunks = None;
        self.resumed = true;
        let resume = self.shared.engine.resume(self.addr(), self.stream.clone(), offset);
        let res = resume.await;
        if let Err(EngineError::Refused { .. }) = res {
            self.progress = Progress::Over;
        }
        self.chunks = Some(res?);
        self.progress = Progress::Answering;
        Ok(())
    }

    fn addr(&self) -> SocketAddr {
        self.replica.spec.members[0].engine_addr
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let again = match self.progress {
            Progress::Over => return,
            Progress::Answering => false,
            Progress::Sent => true,
        };
        let shared = Arc::clone(&self.shared);
        let (addr, stream) = (self.addr(), self.stream.clone());
        tokio::spawn(async move {
            cancel(&shared, addr, &stream).await;
            if again {
                tokio::time::sleep(CANCEL_AGAIN_PAUSE).await;
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

fn generate_request(work: &Work, replica: &ReplicaEntry, stream: &StreamId) -> GenerateRequest {
    let profile = work.profile();
    GenerateRequest {
        request: work.request,
        stream: stream.clone(),
        replica: replica.spec.id,
        epoch: replica.spec.epoch,
        incarnation: replica.spec.members[0].incarnation,
        model: profile.model.clone(),
        adapter: profile.adapter.clone(),
        priority: profile.priority,
        prompt: work.prompt.clone(),
        max_tokens: work.max_tokens,
    }
}
