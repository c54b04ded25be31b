//! Account of one connection.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use derive_more::{Display, Error};
use tokio::sync::Notify;

use super::{BODY_EIGHTHS, CloseReason, MemoryBudget, MemoryKind, PortId};

/// The budget is spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("memory of the process is spent")]
pub struct OverBudget;

/// Account of one connection: the bytes held for it, and since when it waits for its peer.
#[derive(Debug)]
pub struct Account {
    budget: Arc<MemoryBudget>,
    pub(super) port: PortId,
    /// Place in the list of accounts, which changes while the list is locked.
    place: AtomicUsize,
    held_bytes: AtomicUsize,
    /// Time at which the wait for the peer began; 0 while it is not waited for.
    waits_since_ms: AtomicU64,
    /// Whether it waits for the next request after one that was served.
    is_idle: AtomicBool,
    is_closed: AtomicBool,
    closed: Notify,
}

/// Bytes charged to an account until they are dropped.
#[derive(Debug)]
pub struct Charge {
    account: Arc<Account>,
    kind: MemoryKind,
    bytes: usize,
}

/// Registers the account with its budget while the connection is open.
#[derive(Debug)]
pub(crate) struct OpenAccount {
    account: Arc<Account>,
}

/// Opens the account of a connection at a port.
pub(crate) fn open(budget: &Arc<MemoryBudget>, port: PortId) -> OpenAccount {
    let mut accounts = budget.lock();
    let account = Arc::new(Account {
        budget: Arc::clone(budget),
        port,
        place: AtomicUsize::new(accounts.len()),
        held_bytes: AtomicUsize::new(0),
        waits_since_ms: AtomicU64::new(0),
        is_idle: AtomicBool::new(false),
        is_closed: AtomicBool::new(false),
        closed: Notify::new(),
    });
    accounts.push(Arc::clone(&account));
    OpenAccount { account }
}

impl OpenAccount {
    /// The account.
    pub(crate) fn account(&self) -> &Arc<Account> {
        &self.account
    }
}

impl Drop for OpenAccount {
    fn drop(&mut self) {
        let mut accounts = self.account.budget.lock();
        let place = self.account.place.load(Ordering::Relaxed);
        accounts.swap_remove(place);
        if let Some(moved) = accounts.get(place) {
            moved.place.store(place, Ordering::Relaxed);
        }
    }
}

impl Account {
    /// Charges bytes unless the budget is spent. Bodies may not fill all of it.
    pub fn charge(self: &Arc<Self>, kind: MemoryKind, bytes: usize) -> Result<Charge, OverBudget> {
        let mut charge = Charge { account: Arc::clone(self), kind, bytes: 0 };
        charge.grow(bytes)?;
        Ok(charge)
    }

    /// Charges bytes that are held in any case.
    pub fn charge_held(self: &Arc<Self>, kind: MemoryKind, bytes: usize) -> Charge {
        let mut charge = Charge { account: Arc::clone(self), kind, bytes: 0 };
        charge.hold(bytes);
        charge
    }

    /// Counts a refusal of a request.
    pub fn record_refusal(&self) {
        self.budget.record_closed(CloseReason::Refused, 1);
    }

    /// Milliseconds by which waits are measured.
    pub(crate) fn now_ms(&self) -> u64 {
        self.budget.now_ms()
    }

    /// Records since when the connection waits for its peer, and whether it is idle after
    /// a request that was served.
    pub(crate) fn set_waiting(&self, since_ms: u64, is_idle: bool) {
        self.is_idle.store(is_idle, Ordering::Relaxed);
        self.waits_since_ms.store(since_ms, Ordering::Relaxed);
    }

    /// Records that the connection does not wait for its peer.
    pub(crate) fn end_waiting(&self) {
        self.waits_since_ms.store(0, Ordering::Relaxed);
    }

    /// Since when the connection waits for its peer.
    pub(super) fn waits_since_ms(&self) -> Option<u64> {
        Some(self.waits_since_ms.load(Ordering::Relaxed)).filter(|it| *it != 0)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.is_idle.load(Ordering::Relaxed)
    }

    pub(super) fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Closes the connection. False if it was closed before.
    pub(super) fn close(&self) -> bool {
        let is_first = !self.is_closed.swap(true, Ordering::Relaxed);
        self.closed.notify_one();
        is_first
    }

    /// Completes when the connection is to be closed.
    pub(crate) async fn wait_until_closed(&self) {
        self.closed.notified().await;
    }
}

impl Charge {
    /// Charges more bytes unless the budget is spent.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OverBudget> {
        let budget = &self.account.budget;
        let may_fill = match self.kind {
            MemoryKind::Body | MemoryKind::Response => budget.eighths(BODY_EIGHTHS),
            _ => budget.max_bytes,
        };
        budget.add(self.kind, bytes, may_fill)?;
        self.count(bytes);
        Ok(())
    }

    /// Charges more bytes that are held in any case.
    pub fn hold(&mut self, bytes: usize) {
        if self.account.budget.add(self.kind, bytes, usize::MAX).is_ok() {
            self.count(bytes);
        }
    }

    /// Bytes charged.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn count(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.account.held_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.account.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.account.budget.subtract(self.kind, self.bytes);
    }
}
