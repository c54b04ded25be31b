//! Charges of bodies to the memory held for the callers' connections.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::code::ResultCode;
use citrongw_transport::memory_budget::{Account, Charge, MemoryKind, OverBudget};

use super::refuse::Refusal;

/// Size from which a buffer is charged: the charge of a request covers a short body, so
/// that most requests need no other.
const FREE_BYTES: usize = 8 * 1024;
/// Memory of a body in transfer beyond its buffered part: pieces that wait to be written
/// to the server, and the buffers of the connection to it.
pub(super) const TRANSFER_BYTES: usize = 64 * 1024;
/// Value of `Retry-After` when memory is spent, before it is spread: connections that wait
/// for their callers are closed within a second.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Largest random extension of that time, as a part of it.
const RETRY_SPREAD: f64 = 2.0;

/// Charge of one buffer. Without an account nothing is charged.
#[derive(Debug)]
pub(super) struct BufferCharge {
    account: Option<Arc<Account>>,
    kind: MemoryKind,
    charge: Option<Charge>,
}

/// Creates the charge of an empty buffer.
pub(super) fn open(account: Option<&Arc<Account>>, kind: MemoryKind) -> BufferCharge {
    BufferCharge { account: account.cloned(), kind, charge: None }
}

impl BufferCharge {
    /// Charges the buffer with this capacity.
    pub(super) fn grow_to(&mut self, bytes: usize) -> Result<(), OverBudget> {
        let Some(account) = self.account.as_ref().filter(|_| FREE_BYTES < bytes) else {
            return Ok(());
        };
        if let Some(charge) = &mut self.charge {
            return charge.grow(bytes.saturating_sub(charge.bytes()));
        }
        self.charge = Some(account.charge(self.kind, bytes)?);
        Ok(())
    }

    /// Charges `bytes` more than before.
    pub(super) fn grow_by(&mut self, bytes: usize) -> Result<(), OverBudget> {
        self.grow_to(self.charge.as_ref().map_or(0, Charge::bytes) + bytes)
    }
}

/// Refusal of a request that was not sent to a server. A request that the memory has no
/// room for is counted.
pub(super) fn refusal(code: ResultCode, account: Option<&Arc<Account>>) -> Refusal {
    if code != ResultCode::Overloaded {
        return code.into();
    }
    if let Some(account) = account {
        account.record_refusal();
    }
    let extension = 1.0 + RETRY_SPREAD * rand::random::<f64>();
    Refusal::from(code).after(RETRY_AFTER.mul_f64(extension))
}
