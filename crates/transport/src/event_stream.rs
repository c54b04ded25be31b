//! Streams of JSON documents: server-sent events and newline-delimited JSON.

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use http_body_util::BodyExt;
use serde::{Serialize, de::DeserializeOwned};

use crate::http_client::{HttpError, PooledBody};

/// Maximum number of buffered bytes of an incomplete event or document.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;
/// Field name of a data line of server-sent events.
const DATA_PREFIX: &[u8] = b"data:";

/// Encodes a server-sent event with `data` as JSON.
pub fn encode_event<T: Serialize>(data: &T) -> serde_json::Result<Bytes> {
    let mut buf = b"data: ".to_vec();
    serde_json::to_writer(&mut buf, data)?;
    buf.extend_from_slice(b"\n\n");
    Ok(Bytes::from(buf))
}

/// Reads the events of a body up to the one for which `is_last` returns true.
/// Lines other than data lines are skipped.
pub fn read_until<T: DeserializeOwned + Send + 'static>(
    body: PooledBody,
    is_last: fn(&T) -> bool,
) -> impl Stream<Item = Result<T, HttpError>> + Send {
    read_prefixed(body, DATA_PREFIX, is_last)
}

/// Reads newline-delimited JSON. Empty lines are skipped.
pub fn read_lines<T: DeserializeOwned + Send + 'static>(
    body: PooledBody,
) -> impl Stream<Item = Result<T, HttpError>> + Send {
    read_prefixed(body, b"", |_| false)
}

fn read_prefixed<T: DeserializeOwned + Send + 'static>(
    body: PooledBody,
    prefix: &'static [u8],
    is_last: fn(&T) -> bool,
) -> impl Stream<Item = Result<T, HttpError>> + Send {
    let reader = Reader { body, buf: BytesMut::new(), prefix };
    stream::unfold(Some(reader), move |reader| async move {
        let mut reader = reader?;
        match reader.next_line().await {
            Ok(Some(line)) => match serde_json::from_slice(&line) {
                Ok(event) if is_last(&event) => {
                    reader.body.spawn_drain();
                    Some((Ok(event), None))
                }
                Ok(event) => Some((Ok(event), Some(reader))),
                Err(_) => Some((Err(HttpError::InvalidResponse), None)),
            },
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
}

struct Reader {
    body: PooledBody,
    buf: BytesMut,
    prefix: &'static [u8],
}

impl Reader {
    async fn next_line(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            while let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end + 1).freeze();
                let blank = line.trim_ascii().is_empty();
                if !blank && line.starts_with(self.prefix) {
                    return Ok(Some(line.slice(self.prefix.len()..)));
                }
            }
            if MAX_EVENT_BYTES < self.buf.len() {
                return Err(HttpError::InvalidResponse);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) => return Err(HttpError::Interrupted),
                None => return Ok(None),
            }
        }
    }
}
