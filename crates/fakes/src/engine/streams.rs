//! Streams of the stand-in, and what goes wrong with them.

use std::{io, sync::Arc, time::Duration};

use citrongw_protocol::engine::{Chunk, LoadReport};
use citrongw_state::id::StreamId;
use citrongw_transport::event_stream;
use futures::{StreamExt, TryStreamExt, stream};
use tokio::sync::{OnceCell, OwnedSemaphorePermit, watch};
use viz::Body;

use super::FakeEngine;

/// What goes wrong with one stream. Counts are tokens of that connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection ends after so many.
    Break(u64),
    /// Nothing more comes after so many.
    Hang(u64),
    /// The one after so many is left out.
    Skip(u64),
    /// The stream is lost after so many: it cannot be resumed.
    Lose(u64),
}

impl FakeEngine {
    /// Body of a stream from a token on; none if it knows no such stream.
    pub(super) fn body(&self, id: &StreamId, offset: u64, first: Duration) -> Option<Body> {
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
                engine.take_slot(&slot, &mut cancel_rx).await?;
                wait(pause, &mut cancel_rx).await?;
                if !engine.suffer(fault, &id, sequence - offset).await? {
                    return Ok(bytes::Bytes::new());
                }
                event_stream::encode_event(&chunk).map_err(io::Error::from)
            }
        });
        Some(Body::from_stream(chunks.try_filter(|it| std::future::ready(!it.is_empty()))))
    }

    /// Takes the slot of a stream, unless it has one.
    async fn take_slot(
        &self,
        slot: &OnceCell<OwnedSemaphorePermit>,
        cancel_rx: &mut watch::Receiver<bool>,
    ) -> io::Result<()> {
        let slots = Arc::clone(&self.shared.slots);
        let taken = slot.get_or_try_init(|| slots.acquire_owned());
        tokio::select! {
            res = taken => res.map(drop).map_err(io::Error::other),
            _ = cancel_rx.wait_for(|it| *it) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Suffers the fault of a stream before its token `count`. False if the
    /// token is left out.
    async fn suffer(
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

/// Waits for a token, unless the stream is cancelled.
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
