//! Streams of the fake engine, with fault injection.

use std::{io, sync::Arc, time::Duration};

use citrongw_protocol::engine::{Chunk, LoadReport};
use citrongw_state::id::StreamId;
use citrongw_transport::event_stream;
use futures::{StreamExt, TryStreamExt, stream};
use tokio::sync::{OnceCell, OwnedSemaphorePermit, watch};
use viz::Body;

use super::FakeEngine;

/// Fault of one stream. Each value counts the tokens sent on that connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection breaks after this many tokens.
    Break(u64),
    /// The stream stalls after this many tokens.
    Hang(u64),
    /// The token after this many is skipped.
    Skip(u64),
    /// The connection breaks after this many tokens and the stream cannot be
    /// resumed.
    Lose(u64),
}

impl FakeEngine {
    /// Response body with the tokens of a stream from `offset`; `None` if the
    /// stream is unknown.
    pub(super) fn stream_body(&self, id: &StreamId, offset: u64, first: Duration) -> Option<Body> {
        let mut state = self.state();
        let fault = state.stream_fault.take();
        let between = self.shared.settings.between_tokens;
        let stream = state.streams.get(id)?;
        let words = Arc::clone(&stream.words);
        let cancel_rx = stream.cancel_tx.subscribe();
        let total = words.len() as u64;
        let (engine, id) = (self.clone(), id.clone());
        let slot = Arc::new(OnceCell::new());
        let chunks = stream::iter(offset..=total).then(move |sequence| {
            let pause = if sequence == offset { first } else { between };
            let chunk = chunk(&words, sequence);
            let mut cancel_rx = cancel_rx.clone();
            let (engine, id) = (engine.clone(), id.clone());
            let slot = Arc::clone(&slot);
            async move {
                engine.acquire_slot(&slot, &mut cancel_rx).await?;
                wait(pause, &mut cancel_rx).await?;
                if !engine.apply_fault(fault, &id, sequence - offset).await? {
                    return Ok(bytes::Bytes::new());
                }
                event_stream::encode_event(&chunk).map_err(io::Error::from)
            }
        });
        Some(Body::from_stream(chunks.try_filter(|it| std::future::ready(!it.is_empty()))))
    }

    /// Acquires the slot of a stream, unless the stream has one already.
    async fn acquire_slot(
        &self,
        slot: &OnceCell<OwnedSemaphorePermit>,
        cancel_rx: &mut watch::Receiver<bool>,
    ) -> io::Result<()> {
        let slots = Arc::clone(&self.shared.slots);
        let acquired = slot.get_or_try_init(|| slots.acquire_owned());
        tokio::select! {
            res = acquired => res.map(drop).map_err(io::Error::other),
            _ = cancel_rx.wait_for(|it| *it) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Applies the fault of a stream before its token `count`. Returns false if the
    /// token is skipped.
    async fn apply_fault(
        &self,
        fault: Option<StreamFault>,
        id: &StreamId,
        count: u64,
    ) -> io::Result<bool> {
        match fault {
            Some(StreamFault::Break(after)) if after <= count => {
                Err(io::ErrorKind::BrokenPipe.into())
            }
            Some(StreamFault::Hang(after)) if after <= count => std::future::pending().await,
            Some(StreamFault::Skip(after)) if after == count => Ok(false),
            Some(StreamFault::Lose(after)) if after <= count => {
                self.state().streams.remove(id);
                Err(io::ErrorKind::BrokenPipe.into())
            }
            Some(_) | None => Ok(true),
        }
    }
}

/// Waits for `pause`, the time of one token; fails if the stream is cancelled.
async fn wait(pause: Duration, cancel_rx: &mut watch::Receiver<bool>) -> io::Result<()> {
    let cancelled = || Err(io::Error::from(io::ErrorKind::BrokenPipe));
    if pause.is_zero() {
        return if *cancel_rx.borrow() { cancelled() } else { Ok(()) };
    }
    tokio::select! {
        () = tokio::time::sleep(pause) => Ok(()),
        _ = cancel_rx.wait_for(|it| *it) => cancelled(),
    }
}

fn chunk(words: &[String], sequence: u64) -> Chunk {
    let word = usize::try_from(sequence).ok().and_then(|idx| words.get(idx));
    match word {
        Some(text) => Chunk::Token { sequence, text: text.clone() },
        None => Chunk::End {
            tokens: words.len() as u64,
            reason: "stop".to_owned(),
            load: Some(LoadReport::default()),
        },
    }
}
