//! Responses streamed as server-sent events.
//!
//! After an error event the `[DONE]` event is omitted and the connection is
//! aborted, so that a caller can't mistake a partial response for a complete one.

use std::{io, time::Duration};

use bytes::Bytes;
use citrongw_protocol::code::ResultCode;
use citrongw_state::id::RequestId;
use futures::{Stream, stream};
use serde_json::json;
use viz::{Body, Response, ResponseExt};

use super::{
    active_request::{ActiveRequest, ResponsePart},
    refusal::{self, Failure},
    request_log::Entry,
    response::{self, Endpoint},
};

/// Last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Delay before the connection is aborted, so that the error event is sent
/// first.
const ABORT_DELAY: Duration = Duration::from_millis(100);
/// Extra capacity of an event beside its constant parts and its text.
const EVENT_OVERHEAD_BYTES: usize = 24;

/// Writer of the events of one response; the constant parts are formatted once.
#[derive(Debug)]
struct EventWriter {
    head: Vec<u8>,
    tail: &'static [u8],
    end_head: String,
}

fn writer(endpoint: Endpoint, model: &str, request: RequestId) -> EventWriter {
    let object = match endpoint {
        Endpoint::Chat => "chat.completion.chunk",
        Endpoint::Text => "text_completion",
    };
    let model = json!(model);
    let common = format!(
        "data: {{\"id\":\"{request}\",\"object\":\"{object}\",\"model\":{model},\
         \"choices\":[{{\"index\":0,"
    );
    let (opening, closing, end) = match endpoint {
        Endpoint::Chat => ("\"delta\":{\"content\":", "}", "\"delta\":{}"),
        Endpoint::Text => ("\"text\":", "", "\"text\":\"\""),
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
        let capacity = self.head.len() + self.tail.len() + text.len() + EVENT_OVERHEAD_BYTES;
        let mut event = Vec::with_capacity(capacity);
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
    // Writing into a vector can't fail.
    let _ = serde_json::to_writer(buf, text);
}

/// Stage of a response stream.
enum Stage {
    First(ResponsePart),
    Next,
    Abort,
    Finished,
}

struct EventStream {
    active: ActiveRequest,
    writer: EventWriter,
    stage: Stage,
    entry: Entry,
}

/// Sends the response as events, beginning with its `first` part.
pub(super) fn response(
    mut active: ActiveRequest,
    first: ResponsePart,
    endpoint: Endpoint,
    entry: Entry,
) -> Response {
    active.mark_started();
    let work = active.work();
    let request = work.request;
    let writer = writer(endpoint, work.profile().model.as_str(), request);
    let state = EventStream { active, writer, stage: Stage::First(first), entry };
    let body = Body::from_stream(events(state));
    response::with_request_id(Response::with(body, "text/event-stream"), request)
}

fn events(state: EventStream) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(state, |mut state| async move {
        let event = state.next_event().await?;
        Some((event, state))
    })
}

impl EventStream {
    async fn next_event(&mut self) -> Option<io::Result<Bytes>> {
        let part = match std::mem::replace(&mut self.stage, Stage::Next) {
            Stage::First(part) => Ok(part),
            Stage::Next => self.active.next().await,
            Stage::Abort => {
                tokio::time::sleep(ABORT_DELAY).await;
                self.stage = Stage::Finished;
                return Some(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            Stage::Finished => return None,
        };
        match part {
            Ok(ResponsePart::Token(text)) => Some(Ok(self.writer.token(&text))),
            Ok(ResponsePart::End { reason, .. }) => {
                self.stage = Stage::Finished;
                self.entry.end(None);
                Some(Ok(self.writer.end(&reason)))
            }
            Ok(ResponsePart::Restart) => Some(Ok(self.error(ResultCode::BrokenOff.into()))),
            Err(failure) => Some(Ok(self.error(failure))),
        }
    }

    fn error(&mut self, failure: Failure) -> Bytes {
        self.stage = Stage::Abort;
        self.entry.end(Some(failure.code));
        let body = refusal::body(failure, self.active.work().request);
        citrongw_transport::event_stream::encode_event(&body).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
