//! One attempt of a request on one replica. An attempt that may be running when
//! it is dropped is cancelled, once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citrongw_protocol::{
    decision::Decision,
    engine::{Chunk, ChunkStream, EngineError, EngineResult, GenerateRequest},
    gossip_item::{GossipItem, LeavingInstance},
};
use citrongw_state::{id::StreamId, time::Time};
use futures::{StreamExt, future::BoxFuture};

use super::{
    fleet::{Placed, Side},
    queue::{self, GroupQueue},
    work::Work,
};
use crate::node::Shared;

/// Pause before a cancellation is sent again, in case it overtook its request.
const CANCEL_AGAIN_PAUSE: Duration = Duration::from_millis(250);

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Nothing was sent.
    Unsent,
    /// The engine may have the request.
    Sent,
    /// The engine answers.
    Answering,
    /// The engine was not reached, or refused.
    NotRun,
    /// The engine has nothing of it left.
    Over,
}

/// Attempt on a replica.
pub(super) struct Attempt {
    shared: Arc<Shared>,
    group: Arc<GroupQueue>,
    placed: Option<Placed>,
    side: Arc<Side>,
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
    /// Prepares an attempt; nothing is sent.
    pub(super) fn new(shared: &Arc<Shared>, work: &Work, placed: Placed, number: u32) -> Self {
        let now = shared.clock.now();
        Self {
            shared: Arc::clone(shared),
            group: Arc::clone(&work.caller.profile.group),
            side: Arc::clone(&placed.side),
            in_flight: placed.side.entry.in_flight(),
            placed: Some(placed),
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

    /// The replica.
    pub(super) fn side(&self) -> &Arc<Side> {
        &self.side
    }

    /// When it was started.
    pub(super) fn started_at(&self) -> Time {
        self.started_at
    }

    /// Requests of this node on the replica when it was started.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the engine may have the request.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(self.progress, Progress::Unsent | Progress::NotRun)
    }

    /// Whether it was taken up again and has given no token since.
    pub(super) fn was_resumed(&self) -> bool {
        self.resumed
    }

    /// The next chunk; none if the stream ended without its last one. The
    /// first call sends the request. A call that is dropped loses nothing.
    pub(super) async fn next(&mut self, work: &Work) -> Option<EngineResult<Chunk>> {
        if self.progress == Progress::Unsent
            && let Err(error) = self.send(work)
        {
            return Some(Err(error));
        }
        if let Some(sending) = &mut self.sending {
            let res = sending.await;
            self.sending = None;
            if let Err(error) = self.take_answer(res) {
                return Some(Err(error));
            }
        }
        let chunk = self.chunks.as_mut()?.next().await;
        match &chunk {
            Some(Ok(Chunk::End { .. })) => self.progress = Progress::Over,
            Some(Ok(Chunk::Token { .. })) => self.note_token(),
            Some(Err(_)) | None => {}
        }
        chunk
    }

    /// Begins to send the request, if the replica may still be routed to.
    fn send(&mut self, work: &Work) -> EngineResult<()> {
        let (now, entry) = (self.shared.clock.now(), &self.side.entry);
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

    /// Takes in the head of the engine's answer.
    fn take_answer(&mut self, res: EngineResult<ChunkStream>) -> EngineResult<()> {
        self.progress = match &res {
            Ok(_) => Progress::Answering,
            Err(EngineError::BrokenOff) => Progress::Sent,
            Err(EngineError::NotReached | EngineError::Refused { .. }) => Progress::NotRun,
            Err(EngineError::Failed { .. }) => Progress::Over,
        };
        if let Err(EngineError::Refused { leaving: true, .. }) = &res {
            self.tell_leaving();
        }
        self.chunks = Some(res?);
        Ok(())
    }

    /// Takes the stream up again from token `offset` on, over another
    /// connection.
    pub(super) async fn resume(&mut self, offset: u64) -> EngineResult<()> {
        self.sending = None;
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

    /// Tells the replica's speed after a whole answer.
    pub(super) fn note_speed(&self) {
        if 1 < self.tokens {
            let between = self.last_token_at.since(self.first_token_at) / (self.tokens - 1);
            self.side.token_times.add(between);
        }
    }

    fn note_token(&mut self) {
        self.resumed = false;
        self.last_token_at = self.shared.clock.now();
        if self.tokens == 0 {
            self.first_token_at = self.last_token_at;
        }
        self.tokens += 1;
    }

    fn tell_leaving(&self) {
        let Some(member) = self.side.entry.spec.members.first() else { return };
        let leaving =
            LeavingInstance { instance: member.instance.clone(), incarnation: member.incarnation };
        self.shared.callers.leaving.add(&leaving);
        self.shared.gossip.publish(GossipItem::Leaving(leaving));
    }

    fn addr(&self) -> SocketAddr {
        self.side.entry.spec.members[0].engine_addr
    }

    fn generate_request(&self, work: &Work) -> GenerateRequest {
        let (profile, spec) = (work.profile(), &self.side.entry.spec);
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
        self.placed = None;
        queue::let_through(&self.shared, &self.group);
        let again = match self.progress {
            Progress::Unsent | Progress::NotRun | Progress::Over => return,
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

#[cfg(test)]
mod tests;
