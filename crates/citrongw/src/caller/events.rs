//! Answers as events while they are generated.
//!
//! An error is the last event, without the one that marks a whole answer; the
//! connection is then cut, so that nobody takes half an answer for a whole one.

use std::{io, time::Duration};

use bytes::Bytes;
use citrongw_protocol::code::ResultCode;
use citrongw_state::id::RequestId;
use futures::{Stream, stream};
use serde_json::json;
use viz::{Body, Response, ResponseExt};

use super::{
    answer::{self, Shape},
    refusal::{self, Failure},
    request_log::Entry,
    running::{Piece, Running},
};

/// Last event of a whole stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Time for the last event of half an answer to leave before the connection is
/// cut.
const CUT_PAUSE: Duration = Duration::from_millis(100);
/// Room for one event beside its text.
const EVENT_ROOM_BYTES: usize = 24;

/// Writer of the events of one answer; what is alike in all is made once.
#[derive(Debug)]
struct EventWriter {
    head: Vec<u8>,
    tail: &'static [u8],
    end_head: String,
}

fn writer(shape: Shape, model: &str, request: RequestId) -> EventWriter {
    let object = match shape {
        Shape::Chat => "chat.completion.chunk",
        Shape::Text => "text_completion",
    };
    let model = json!(model);
    let common = format!(
        "data: {{\"id\":\"{request}\",\"object\":\"{object}\",\"model\":{model},\
         \"choices\":[{{\"index\":0,"
    );
    let (opening, closing, end) = match shape {
        Shape::Chat => ("\"delta\":{\"content\":", "}", "\"delta\":{}"),
        Shape::Text => ("\"text\":", "", "\"text\":\"\""),
    };
    let tail: &[u8] = match closing {
        "" => b",\"finish_reason\":null}]}\n\n",
        _ => b"},\"finish_reason\":null}]}\n\n",
    };
    EventWriter {
        head: format!("{common}{opening}").into_bytes(),
        tail,
        end_head: format!("{common}{end},\"finish_reason\":"),
    }
}

impl EventWriter {
    fn token(&self, text: &str) -> Bytes {
        let room = self.head.len() + self.tail.len() + text.len() + EVENT_ROOM_BYTES;
        let mut event = Vec::with_capacity(room);
        event.extend_from_slice(&self.head);
        write_json(&mut event, text);
        event.extend_from_slice(self.tail);
        Bytes::from(event)
    }

    fn end(&self, reason: &str) -> Bytes {
        let mut event = self.end_head.clone().into_bytes();
        write_json(&mut event, reason);
        event.extend_from_slice(b"}]}\n\n");
        event.extend_from_slice(DONE_EVENT);
        Bytes::from(event)
    }
}

fn write_json(buf: &mut Vec<u8>, text: &str) {
    // Writing into memory does not fail.
    let _ = serde_json::to_writer(buf, text);
}

/// Where an answer stands.
enum Stage {
    First(Piece),
    Next,
    Cut,
    Over,
}

struct Answer {
    running: Running,
    writer: EventWriter,
    stage: Stage,
    entry: Entry,
}

/// Sends the answer as events, from its `first` piece on.
pub(super) fn response(mut running: Running, first: Piece, shape: Shape, entry: Entry) -> Response {
    running.begin();
    let work = running.work();
    let request = work.request;
    let writer = writer(shape, work.profile().model.as_str(), request);
    let answer = Answer { running, writer, stage: Stage::First(first), entry };
    let body = Body::from_stream(events(answer));
    answer::with_request_id(Response::with(body, "text/event-stream"), request)
}

fn events(answer: Answer) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(answer, |mut answer| async move {
        let event = answer.next_event().await?;
        Some((event, answer))
    })
}

impl Answer {
    async fn next_event(&mut self) -> Option<io::Result<Bytes>> {
        let piece = match std::mem::replace(&mut self.stage, Stage::Next) {
            Stage::First(piece) => Ok(piece),
            Stage::Next => self.running.next().await,
            Stage::Cut => {
                tokio::time::sleep(CUT_PAUSE).await;
                self.stage = Stage::Over;
                return Some(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            Stage::Over => return None,
        };
        match piece {
            Ok(Piece::Token(text)) => Some(Ok(self.writer.token(&text))),
            Ok(Piece::End { reason, .. }) => {
                self.stage = Stage::Over;
                self.entry.end(None);
                Some(Ok(self.writer.end(&reason)))
            }
            Ok(Piece::Restart) => Some(Ok(self.error(ResultCode::BrokenOff.into()))),
            Err(failure) => Some(Ok(self.error(failure))),
        }
    }

    fn error(&mut self, failure: Failure) -> Bytes {
        self.stage = Stage::Cut;
        self.entry.end(Some(failure.code));
        let body = refusal::body(failure, self.running.work().request);
        citrongw_transport::event_stream::encode_event(&body).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
