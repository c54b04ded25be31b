//! Life cycle of a replica.
//!
//! Each phase is a type, and each transition consumes the phase before it, so
//! that no code can send requests to a replica that has not loaded, or release
//! members that were not drained. What the allocation records keep of a phase
//! is [`Phase`].

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    replica::{self, NotRoutable, ReceivedReport, ReplicaSpec},
    time::Time,
};

/// Phase of a replica as records and summaries name it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its instances are being claimed, domain by domain.
    #[display("claiming")]
    Claiming,
    /// Its members load weights.
    #[display("loading")]
    Loading,
    /// Every member vouches for it.
    #[display("serving")]
    Serving,
    /// It takes no new work and finishes what it has.
    #[display("draining")]
    Draining,
}

/// Instances are being claimed.
#[derive(Debug, Clone, Copy)]
pub struct Claiming;
/// Members load weights, or a member was lost.
#[derive(Debug, Clone, Copy)]
pub struct Loading;
/// Every member vouched at the time of the check.
#[derive(Debug, Clone, Copy)]
pub struct Serving;
/// No new work.
#[derive(Debug, Clone, Copy)]
pub struct Draining;

/// Replica in one phase of its life.
#[derive(Debug, Clone, Copy)]
pub struct Replica<'a, S> {
    spec: &'a ReplicaSpec,
    _phase: S,
}

impl<S> Replica<'_, S> {
    /// What the record says of it.
    pub fn spec(&self) -> &ReplicaSpec {
        self.spec
    }
}

/// Begins with the claim of its instances.
pub fn claim(spec: &ReplicaSpec) -> Replica<'_, Claiming> {
    Replica { spec, _phase: Claiming }
}

/// Takes up an active replica from its record.
pub fn resume(spec: &ReplicaSpec) -> Replica<'_, Loading> {
    Replica { spec, _phase: Loading }
}

/// Takes up a replica that its record lists as draining.
pub fn resume_draining(spec: &ReplicaSpec) -> Replica<'_, Draining> {
    Replica { spec, _phase: Draining }
}

impl<'a> Replica<'a, Claiming> {
    /// Goes on once every domain has granted its instances. Gives the replica
    /// back if one has not.
    pub fn activate(self, granted: usize) -> Result<Replica<'a, Loading>, Self> {
        if granted < self.spec.members.len() {
            return Err(self);
        }
        Ok(Replica { spec: self.spec, _phase: Loading })
    }
}

impl<'a> Replica<'a, Loading> {
    /// Goes on if every member vouches now.
    pub fn confirm_serving(
        self,
        heard: &[Option<ReceivedReport>],
        now: Time,
        freshness: Duration,
    ) -> Result<Replica<'a, Serving>, (Self, NotRoutable)> {
        match replica::check_routable(self.spec, heard, now, freshness) {
            Ok(()) => Ok(Replica { spec: self.spec, _phase: Serving }),
            Err(cause) => Err((self, cause)),
        }
    }

    /// Gives up a replica that does not serve.
    pub fn drain(self) -> Replica<'a, Draining> {
        Replica { spec: self.spec, _phase: Draining }
    }
}

impl<'a> Replica<'a, Serving> {
    /// Takes no new work from here on.
    pub fn drain(self) -> Replica<'a, Draining> {
        Replica { spec: self.spec, _phase: Draining }
    }

    /// Falls back after a member was lost.
    pub fn lose_member(self) -> Replica<'a, Loading> {
        Replica { spec: self.spec, _phase: Loading }
    }
}

impl Replica<'_, Draining> {
    /// Ends the replica once nothing runs on it, or its drain took too long.
    /// Gives it back otherwise.
    pub fn release(self, running: u32, overdue: bool) -> Result<(), Self> {
        if 0 < running && !overdue {
            return Err(self);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
