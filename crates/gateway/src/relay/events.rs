//! Splits the bytes of an event stream into complete events.
//!
//! A connection may break in the middle of an event, so only complete events are
//! forwarded.

use bytes::{Bytes, BytesMut};

/// Size limit of an event, which is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Event including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Event {
    /// Numeric id from the event's `id` field, if any.
    pub(super) id: Option<u64>,
    /// Bytes of the event.
    pub(super) bytes: Bytes,
}

/// The event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TooLarge;

/// Buffers the bytes of an event that is not complete yet.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    searched_len: usize,
}

impl EventSplitter {
    /// Appends bytes that arrived.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), TooLarge> {
        self.buf.extend_from_slice(data);
        if MAX_EVENT_BYTES < self.buf.len() { Err(TooLarge) } else { Ok(()) }
    }

    /// Takes the next complete event.
    pub(super) fn next_event(&mut self) -> Option<Event> {
        let Some(end) = find_end(&self.buf, self.searched_len) else {
            // The last bytes may be the beginning of the blank line.
            self.searched_len = self.buf.len().saturating_sub(3);
            return None;
        };
        self.searched_len = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(Event { id: find_id(&bytes), bytes })
    }

    /// Whether part of an event is buffered.
    pub(super) fn is_mid_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Finds the end of the first event, after its blank line. Line endings are LF or
/// CRLF.
fn find_end(buf: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = buf[at..].iter().position(|it| *it == b'\n') {
        let rest = &buf[at + found + 1..];
        if rest.starts_with(b"\n") {
            return Some(at + found + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(at + found + 3);
        }
        at += found + 1;
    }
    None
}

fn find_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
