//! Splits the bytes of a stream into whole events.
//!
//! A server may break off in the middle of an event, so only whole events are
//! passed on.

use bytes::{Bytes, BytesMut};

/// Largest event that is held until it is whole.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Event {
    /// Its id, if it has one.
    pub(super) id: Option<u64>,
    /// Its bytes.
    pub(super) bytes: Bytes,
}

/// The event is larger than any that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TooLarge;

/// Holds the bytes of an event that is not whole yet.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes that arrived.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), TooLarge> {
        self.buf.extend_from_slice(data);
        if MAX_EVENT_BYTES < self.buf.len() { Err(TooLarge) } else { Ok(()) }
    }

    /// Takes the next whole event.
    pub(super) fn next_event(&mut self) -> Option<Event> {
        let Some(end) = find_end(&self.buf, self.searched) else {
            // The last bytes may begin the blank line.
            self.searched = self.buf.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(Event { id: find_id(&bytes), bytes })
    }

    /// Whether part of an event is held.
    pub(super) fn is_mid_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// End of the first event: past its blank line, with either line ending.
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
