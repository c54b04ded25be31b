//! Records in the account of a connection since when it waits for its peer, and charges
//! what is held for a peer that sends a long head or reads no response.

use std::sync::Arc;

use super::SOCKET_BUFFER_BYTES;
use crate::memory_budget::{Account, Charge, MemoryKind};

/// Size of a head from which it is charged beside the connection's own buffers.
const CHARGED_HEAD_BYTES: usize = 4 * 1024;
/// Memory of a byte of a long head: it is in the read buffer, which doubles, and in that
/// of the framing.
const HEAD_FACTOR: usize = 4;
/// Memory of a response that is not read: both buffers of the system, which may use twice
/// their size.
const UNREAD_BYTES: usize = 4 * SOCKET_BUFFER_BYTES as usize;

/// Input that a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InputWait {
    /// The first request.
    FirstRequest,
    /// The next request.
    NextRequest,
    /// The rest of a request.
    Rest,
}

/// Waits of one connection for its peer. Without an account nothing is recorded.
#[derive(Debug, Default)]
pub(super) struct PeerWait {
    account: Option<Arc<Account>>,
    /// What input is waited for, and since when. The wait for the rest of a request is not
    /// ended by each of its bytes.
    input: Option<(InputWait, u64)>,
    /// Whether the last read found no input.
    is_input_awaited: bool,
    /// Since when the peer does not read, and the charge for what it leaves unread.
    unread: Option<(u64, Charge)>,
    head: Option<Charge>,
    is_recorded: bool,
}

/// Creates the waits of a connection.
pub(super) fn open(account: Option<Arc<Account>>) -> PeerWait {
    PeerWait { account, ..PeerWait::default() }
}

impl PeerWait {
    /// Whether the connection has an account.
    pub(super) fn is_limited(&self) -> bool {
        self.account.is_some()
    }

    /// Records that a read found no input. `wait` is none if none is needed now.
    pub(super) fn record_no_input(&mut self, wait: Option<InputWait>) {
        let Some(account) = &self.account else { return };
        self.is_input_awaited = wait.is_some();
        if let Some(wait) = wait {
            match &mut self.input {
                Some((earlier, _)) if *earlier == wait => {}
                input => *input = Some((wait, account.now_ms())),
            }
        }
        self.record();
    }

    /// Records input. `partial_head_bytes` is the size of a head that is incomplete;
    /// `is_request_complete` whether a whole request has arrived.
    pub(super) fn record_input(&mut self, partial_head_bytes: usize, is_request_complete: bool) {
        let Some(account) = &self.account else { return };
        self.is_input_awaited = false;
        if is_request_complete || self.input.is_some_and(|(it, _)| it != InputWait::Rest) {
            self.input = None;
        }
        let bytes = partial_head_bytes * HEAD_FACTOR;
        if partial_head_bytes < CHARGED_HEAD_BYTES {
            self.head = None;
        } else if let Some(head) = &mut self.head {
            head.hold(bytes.saturating_sub(head.bytes()));
        } else {
            self.head = Some(account.charge_held(MemoryKind::Head, bytes));
        }
        self.record();
    }

    /// Records whether the peer has read enough for a write.
    pub(super) fn record_write(&mut self, is_blocked: bool) {
        let Some(account) = &self.account else { return };
        if is_blocked == self.unread.is_some() {
            return;
        }
        self.unread = is_blocked
            .then(|| (account.now_ms(), account.charge_held(MemoryKind::Unread, UNREAD_BYTES)));
        self.record();
    }

    fn record(&mut self) {
        let Some(account) = &self.account else { return };
        let input = self.input.filter(|_| self.is_input_awaited);
        let unread = self.unread.as_ref().map(|(since, _)| (InputWait::Rest, *since));
        let earliest = [input, unread].into_iter().flatten().min_by_key(|(_, since)| *since);
        match earliest {
            Some((wait, since)) => account.set_waiting(since, wait == InputWait::NextRequest),
            None if self.is_recorded => account.end_waiting(),
            None => {}
        }
        self.is_recorded = earliest.is_some();
    }
}
