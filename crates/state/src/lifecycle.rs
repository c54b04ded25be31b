//! Life cycle of a replica.
//!
//! Each phase is a type, and each transition consumes the previous phase, so
//! that no code can send requests to a replica that has not loaded, or release
//! members that were not drained. [`Phase`] is the form stored in allocation
//! records.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    replica::{self, NotRoutable, ReceivedReport, ReplicaSpec},
    time::Time,
};

/// Phase of a replica, as named in records and summaries.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The instances are being claimed, domain by domain.
    #[display("claiming")]
    Claiming,
    /// The members load weights.
    #[display("loading")]
    Loading,
    /// Reports of all members confirm that they serve the replica.
    #[display("serving")]
    Serving,
    /// The replica accepts no new requests and finishes those in flight.
    #[display("draining")]
    Draining,
}

/// Typestate: instances are being claimed.
#[derive(Debug, Clone, Copy)]
pub struct Claiming;
/// Typestate: members load weights, or a member was lost.
#[derive(Debug, Clone, Copy)]
pub struct Loading;
/// Typestate: reports of all members confirmed the replica at the time of the
/// check.
#[derive(Debug, Clone, Copy)]
pub struct Serving;
/// Typestate: the replica accepts no new requests.
#[derive(Debug, Clone, Copy)]
pub struct Draining;

/// Replica in one phase of its life cycle.
#[derive(Debug, Clone, Copy)]
pub struct Replica<'a, S> {
    spec: &'a ReplicaSpec,
    _phase: S,
}

impl<S> Replica<'_, S> {
    /// Specification from the allocation record.
    pub fn spec(&self) -> &ReplicaSpec {
        self.spec
    }
}

/// Starts a new replica, whose instances are to be claimed.
pub fn claim(spec: &ReplicaSpec) -> Replica<'_, Claiming> {
    Replica { spec, _phase: Claiming }
}

/// Restores an active replica from its record.
pub fn resume(spec: &ReplicaSpec) -> Replica<'_, Loading> {
    Replica { spec, _phase: Loading }
}

/// Restores a replica that its record lists as draining.
pub fn resume_draining(spec: &ReplicaSpec) -> Replica<'_, Draining> {
    Replica { spec, _phase: Draining }
}

impl<'a> Replica<'a, Claiming> {
    /// Moves to loading once all instances are granted. Returns the replica
    /// unchanged if some are not.
    pub fn activate(self, granted: usize) -> Result<Replica<'a, Loading>, Self> {
        if granted < self.spec.members.len() {
            return Err(self);
        }
        Ok(Replica { spec: self.spec, _phase: Loading })
    }
}

impl<'a> Replica<'a, Loading> {
    /// Moves to serving if the reports of all members confirm the replica now.
    pub fn confirm_serving(
        self,
        received: &[Option<ReceivedReport>],
        now: Time,
        freshness: Duration,
    ) -> Result<Replica<'a, Serving>, (Self, NotRoutable)> {
        match replica::check_routable(self.spec, received, now, freshness) {
            Ok(()) => Ok(Replica { spec: self.spec, _phase: Serving }),
            Err(cause) => Err((self, cause)),
        }
    }

    /// Starts to drain a replica that does not serve.
    pub fn drain(self) -> Replica<'a, Draining> {
        Replica { spec: self.spec, _phase: Draining }
    }
}

impl<'a> Replica<'a, Serving> {
    /// Starts to drain the replica, which then accepts no new requests.
    pub fn drain(self) -> Replica<'a, Draining> {
        Replica { spec: self.spec, _phase: Draining }
    }

    /// Returns to loading after a member was lost.
    pub fn lose_member(self) -> Replica<'a, Loading> {
        Replica { spec: self.spec, _phase: Loading }
    }
}

impl Replica<'_, Draining> {
    /// Releases the members once no requests run on the replica, or its drain
    /// is overdue. Returns the replica unchanged otherwise.
    pub fn release(self, running: u32, overdue: bool) -> Result<(), Self> {
        if 0 < running && !overdue {
            return Err(self);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
