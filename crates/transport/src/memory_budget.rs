//! Memory that a process holds for its callers, for machines with little of it and
//! hundreds of connections.
//!
//! Every path that holds bytes of a caller charges them to the account of the caller's
//! connection. Near the bound the connections that wait longest for their peers and hold
//! most are closed; at the bound a charge is refused. See `docs/design/memory-budget.md`.

pub(crate) mod account;
mod victims;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use derive_more::Display;
use tokio::time::Instant;

pub use self::account::{Account, Charge, OverBudget};
use self::victims::Candidate;

/// Part of the budget, in eighths, above which connections that wait for their peers are
/// closed.
const PRESSURE_EIGHTHS: usize = 6;
/// Part of the budget, in eighths, that bodies may fill. The rest is left to connections
/// and short requests, so that callers with long bodies do not keep out all others.
const BODY_EIGHTHS: usize = 7;
/// Time that a connection waits for its peer before it may be closed for memory: longer
/// than a peer in another region takes for a head and a short body.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// Time that a connection waits for its peer before it may be closed for another one,
/// when a port has no free connections.
const MIN_WAIT_FULL: Duration = Duration::from_millis(500);
/// Interval between searches for connections to close, which visit every connection.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum MemoryKind {
    /// Connections: their buffers and tasks.
    #[display("connection")]
    Connection,
    /// Long request heads that are not complete.
    #[display("head")]
    Head,
    /// Requests in progress: parsed heads, and the connections to servers.
    #[display("request")]
    Request,
    /// Request bodies, buffered or in transfer.
    #[display("body")]
    Body,
    /// Buffered responses.
    #[display("response")]
    Response,
    /// Buffers of the system that hold responses which the peer does not read.
    #[display("unread")]
    Unread,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; 6] =
        [Self::Connection, Self::Head, Self::Request, Self::Body, Self::Response, Self::Unread];
}

/// Why a connection was closed or something refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CloseReason {
    /// The connection waited for its peer while memory was short.
    #[display("memory")]
    Memory,
    /// The connection waited for its peer while the port had no free connections.
    #[display("connections")]
    Connections,
    /// A new connection or a request was refused because the budget was spent.
    #[display("refused")]
    Refused,
    /// A new connection was refused because the port had no free connections.
    #[display("full")]
    Full,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [Self; 4] = [Self::Memory, Self::Connections, Self::Refused, Self::Full];
}

/// Identifies a listening port among those that share a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortId(u64);

/// Budget of a process, shared by all its ports.
#[derive(Debug)]
pub struct MemoryBudget {
    max_bytes: usize,
    held_bytes: AtomicUsize,
    held_by_kind: [AtomicUsize; MemoryKind::ALL.len()],
    closed: [AtomicU64; CloseReason::ALL.len()],
    /// Open connections. Locked when one opens or ends, and for a search.
    accounts: Mutex<Vec<Arc<Account>>>,
    next_port: AtomicU64,
    opened_at: Instant,
    next_search_ms: AtomicU64,
    next_log_ms: AtomicU64,
}

/// Creates a budget of `max_bytes`; none only counts.
pub fn open(max_bytes: Option<usize>) -> MemoryBudget {
    MemoryBudget {
        max_bytes: max_bytes.unwrap_or(usize::MAX),
        held_bytes: AtomicUsize::new(0),
        held_by_kind: Default::default(),
        closed: Default::default(),
        accounts: Mutex::default(),
        next_port: AtomicU64::new(0),
        opened_at: Instant::now(),
        next_search_ms: AtomicU64::new(0),
        next_log_ms: AtomicU64::new(0),
    }
}

impl MemoryBudget {
    /// Size of the budget; none if it only counts.
    pub fn max_bytes(&self) -> Option<usize> {
        (self.max_bytes != usize::MAX).then_some(self.max_bytes)
    }

    /// Bytes held in total.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Bytes held for one kind.
    pub fn held_for(&self, kind: MemoryKind) -> usize {
        self.held_by_kind[kind as usize].load(Ordering::Relaxed)
    }

    /// Connections closed and requests refused for a reason.
    pub fn closed_for(&self, reason: CloseReason) -> u64 {
        self.closed[reason as usize].load(Ordering::Relaxed)
    }

    /// Registers a listening port.
    pub(crate) fn add_port(&self) -> PortId {
        PortId(self.next_port.fetch_add(1, Ordering::Relaxed))
    }

    /// Counts a close or a refusal, and logs it unless a line was logged shortly before.
    pub(crate) fn record_closed(&self, reason: CloseReason, count: u64) {
        self.closed[reason as usize].fetch_add(count, Ordering::Relaxed);
        if !self.is_due(&self.next_log_ms, LOG_INTERVAL) {
            return;
        }
        let [memory, connections, refused, full] =
            CloseReason::ALL.map(|reason| self.closed_for(reason));
        tracing::warn!(
            held_bytes = self.held_bytes(),
            max_bytes = self.max_bytes(),
            body_bytes = self.held_for(MemoryKind::Body),
            closed_for_memory = memory,
            closed_for_connections = connections,
            refused,
            refused_by_full_port = full,
            "connections are closed or refused to stay within the limits of the machine"
        );
    }

    /// Closes the connection of a full port that waits longest for its peer, so that
    /// another takes its place. False if none waits.
    pub(crate) fn make_room(&self, port: PortId) -> bool {
        let mut candidates = self.candidates(MIN_WAIT_FULL);
        candidates.retain(|it| it.account.port == port);
        let first = victims::first(candidates);
        let is_closed = first.is_some_and(|it| it.account.close());
        if is_closed {
            self.record_closed(CloseReason::Connections, 1);
        }
        is_closed
    }

    /// Whether a charge fits. `may_fill` is the largest total after it.
    fn add(&self, kind: MemoryKind, bytes: usize, may_fill: usize) -> Result<(), OverBudget> {
        let before = self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let total = before.saturating_add(bytes);
        if may_fill < total {
            self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.relieve(total);
            return Err(OverBudget);
        }
        self.held_by_kind[kind as usize].fetch_add(bytes, Ordering::Relaxed);
        if self.eighths(PRESSURE_EIGHTHS) < total {
            self.relieve(total);
        }
        Ok(())
    }

    fn subtract(&self, kind: MemoryKind, bytes: usize) {
        self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.held_by_kind[kind as usize].fetch_sub(bytes, Ordering::Relaxed);
    }

    fn eighths(&self, eighths: usize) -> usize {
        self.max_bytes / 8 * eighths
    }

    /// Closes connections that wait for their peers, so that `total` would come below the
    /// mark.
    fn relieve(&self, total: usize) {
        if !self.is_due(&self.next_search_ms, SEARCH_INTERVAL) {
            return;
        }
        let excess = total.saturating_sub(self.eighths(PRESSURE_EIGHTHS));
        let chosen = victims::choose(self.candidates(MIN_WAIT), excess);
        let closed = chosen.iter().filter(|it| it.account.close()).count();
        if 0 < closed {
            self.record_closed(CloseReason::Memory, closed as u64);
        }
    }

    fn candidates(&self, min_wait: Duration) -> Vec<Candidate> {
        let now_ms = self.now_ms();
        let accounts = self.lock();
        accounts.iter().filter_map(|it| Candidate::of(it, now_ms, min_wait)).collect()
    }

    /// Milliseconds since the budget was opened, from 1.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX).saturating_add(1)
    }

    /// Whether `interval` has passed since the last time that this was true.
    fn is_due(&self, next_ms: &AtomicU64, interval: Duration) -> bool {
        let now_ms = self.now_ms();
        let due_ms = next_ms.load(Ordering::Relaxed);
        let next = now_ms + u64::try_from(interval.as_millis()).unwrap_or(u64::MAX);
        due_ms <= now_ms
            && next_ms.compare_exchange(due_ms, next, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Account>>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
