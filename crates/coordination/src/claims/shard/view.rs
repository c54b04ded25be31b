//! Newest value of a shard that a node knows.

use citrongw_protocol::{
    claim,
    store::{Entry, Expected},
};
use citrongw_state::{claim::ClaimTable, time::Time};

/// Value of a shard, with bounds of its age.
#[derive(Debug)]
pub(super) struct View {
    /// Precondition of a write on this value.
    pub(super) expected: Expected,
    /// Claims in the shard.
    pub(super) table: ClaimTable,
    /// When the call that returned the value was sent: the value was current at
    /// that time or later.
    pub(super) requested_at: Time,
    /// When the response to that call arrived: the value was written before.
    pub(super) received_at: Time,
}

/// Decodes a value. `None` if its format is unknown.
pub(super) fn decode(entry: Option<Entry>, requested_at: Time, received_at: Time) -> Option<View> {
    let Some(entry) = entry else {
        let (expected, table) = (Expected::Absent, ClaimTable::default());
        return Some(View { expected, table, requested_at, received_at });
    };
    let table = match claim::decode(&entry.value) {
        Ok(table) => table,
        Err(error) => {
            tracing::error!(%error, key = %entry.key, "could not decode claims of a shard");
            return None;
        }
    };
    Some(View { expected: Expected::Revision(entry.revision), table, requested_at, received_at })
}

/// Whether a value is older than `newest`. A correct service never returns such
/// a value.
pub(super) fn is_before(value: Expected, newest: Expected) -> bool {
    match (value, newest) {
        (Expected::Revision(value), Expected::Revision(newest)) => value < newest,
        (Expected::Absent, Expected::Revision(_)) => true,
        (_, Expected::Absent) => false,
    }
}
