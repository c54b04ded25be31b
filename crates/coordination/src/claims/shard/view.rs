//! The newest value of a shard that a node knows.

use citrongw_protocol::{
    claim,
    store::{Entry, Expected},
};
use citrongw_state::{claim::ClaimTable, time::Time};

/// Value with what is known of its age.
#[derive(Debug)]
pub(super) struct View {
    /// What a write on it expects.
    pub(super) expected: Expected,
    /// Its claims.
    pub(super) table: ClaimTable,
    /// When the call was made that showed it: it stood there at that time or
    /// later.
    pub(super) asked_at: Time,
    /// When that call was answered: it was written before.
    pub(super) received_at: Time,
}

/// Reads a value. None if it is not in a known format.
pub(super) fn read(entry: Option<Entry>, asked_at: Time, learnt_at: Time) -> Option<View> {
    let Some(entry) = entry else {
        let (expected, table) = (Expected::Absent, ClaimTable::default());
        return Some(View { expected, table, asked_at, received_at: learnt_at });
    };
    let table = match claim::decode(&entry.value) {
        Ok(table) => table,
        Err(error) => {
            tracing::error!(%error, key = %entry.key, "claims are not readable");
            return None;
        }
    };
    Some(View {
        expected: Expected::Revision(entry.revision),
        table,
        asked_at,
        received_at: learnt_at,
    })
}

/// Whether a value is older than `newest`, which a sound service never shows.
pub(super) fn is_before(value: Expected, newest: Expected) -> bool {
    match (value, newest) {
        (Expected::Revision(value), Expected::Revision(newest)) => value < newest,
        (Expected::Absent, Expected::Revision(_)) => true,
        (_, Expected::Absent) => false,
    }
}
