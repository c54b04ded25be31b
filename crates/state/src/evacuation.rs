//! Evacuation of availability zones, as one gateway knows it, and when it reads it.
//!
//! For installations of a hundred gateways and a handful of zones, where one gateway reads
//! the key-value service for all and any of them may be refused by it. Each read is of the
//! whole set, so the set of the newest revision replaces all others, and what arrives late
//! or twice changes nothing.

use std::{collections::BTreeSet, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    id::{AvailabilityZone, Revision, StoreEra},
    time::Time,
};

/// Interval between reads by a gateway that reads for others, that of the instance list.
pub const READER_INTERVAL: Duration = Duration::from_millis(450);
/// Interval between reads by a gateway for itself, that of the instance list.
const OWN_INTERVAL: Duration = Duration::from_millis(900);
/// Interval between reads by a gateway for itself while the key-value service does not
/// respond, that of the instance list. It is below the 4 s for which a gateway has a path
/// to the service before it has to heed an evacuation.
const OUTAGE_INTERVAL: Duration = Duration::from_millis(3_600);
/// Silence after which the substitute of a zone reads for the zone.
const SUBSTITUTE_SILENCE: Duration = Duration::from_millis(600);
/// Silence after which a gateway reads for itself, and asks others.
const READER_SILENCE: Duration = Duration::from_millis(1_000);
/// Age up to which a set is passed on to a gateway that asks: a read by the reader of a
/// slow key-value service, and the interval to the next.
const MAX_REPLY_AGE: Duration = Duration::from_millis(2_000);
/// Time in which the gateways that read for others publish the set of a new era, before
/// each gateway reads it.
const NEW_ERA_DELAY: Duration = Duration::from_millis(300);

/// Zones under evacuation at one revision of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Revision of the service at the read.
    pub revision: Revision,
    /// Zones whose servers get no requests.
    pub zones: BTreeSet<AvailabilityZone>,
}

impl EvacuatedZones {
    /// Whether servers of a zone get no requests.
    pub fn contains(&self, zone: &AvailabilityZone) -> bool {
        self.zones.contains(zone)
    }
}

/// What a set changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A newer set is known.
    Outdated,
    /// The same zones are under evacuation.
    Unchanged,
    /// Other zones are under evacuation.
    Changed {
        /// Zones whose evacuation took effect.
        begun: Vec<AvailabilityZone>,
        /// Zones whose evacuation ended.
        ended: Vec<AvailabilityZone>,
    },
}

/// Newest set that is known, and since when.
#[derive(Debug, Default)]
pub struct Evacuations {
    newest: Option<EvacuatedZones>,
    /// When the newest set was requested from the key-value service, by any gateway.
    read_at: Option<Time>,
    /// When this gateway last read the newest set, or received it.
    heard_at: Option<Time>,
    /// Era whose set is not known yet, and since when that is the newest.
    awaited: Option<(StoreEra, Time)>,
}

impl Evacuations {
    /// Newest set that was read or received.
    pub fn newest(&self) -> Option<&EvacuatedZones> {
        self.newest.as_ref()
    }

    /// Applies a set that this gateway or another one requested at `read_at`.
    pub fn apply(&mut self, read: EvacuatedZones, read_at: Time, now: Time) -> Applied {
        let before = self.newest.as_ref();
        if before.is_some_and(|it| read.revision < it.revision) {
            return Applied::Outdated;
        }
        let none = BTreeSet::new();
        let zones = before.map_or(&none, |it| &it.zones);
        let begun: Vec<_> = read.zones.difference(zones).cloned().collect();
        let ended: Vec<_> = zones.difference(&read.zones).cloned().collect();
        self.newest = Some(read);
        self.read_at = self.read_at.max(Some(read_at));
        self.heard_at = Some(now);
        match (begun.is_empty(), ended.is_empty()) {
            (true, true) => Applied::Unchanged,
            _ => Applied::Changed { begun, ended },
        }
    }

    /// Time since the newest set was requested from the key-value service; none if no set
    /// is known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Newest set with its age, if it is fresh enough to be passed on. The age passes from
    /// gateway to gateway, so those that are all refused cannot keep a set fresh.
    pub fn fresh(&self, now: Time) -> Option<(&EvacuatedZones, Duration)> {
        let age = self.age(now).filter(|it| *it < MAX_REPLY_AGE)?;
        Some((self.newest.as_ref()?, age))
    }

    /// Time since the newest set was read or received; none if no set is known.
    fn silence(&self, now: Time) -> Option<Duration> {
        self.heard_at.map(|at| now.since(at))
    }

    /// Whether requests may be served by the newest set. A set that another gateway read
    /// before this one started may lack an evacuation that was acknowledged before the
    /// start. In a new era of the key-value service the last known set holds until the next
    /// one is known: otherwise each restore would reject the requests of all callers.
    pub fn is_known(&self) -> bool {
        self.newest.is_some() && self.read_at.is_some_and(|at| Time::START < at)
    }

    /// Since when the set of the newest era is awaited; none if it is known, or no set is.
    fn awaited_since(&mut self, era: StoreEra, now: Time) -> Option<Time> {
        if self.newest.as_ref().is_none_or(|it| era <= it.revision.era) {
            self.awaited = None;
            return None;
        }
        if self.awaited.is_none_or(|(awaited, _)| awaited != era) {
            self.awaited = Some((era, now));
        }
        self.awaited.map(|(_, since)| since)
    }
}

/// For whom a gateway reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ReadRole {
    /// For all gateways.
    #[display("reads for all")]
    Reader,
    /// For its zone, while the reader is silent.
    #[display("reads for its zone")]
    Substitute,
    /// For itself, while both are silent.
    #[display("reads for itself")]
    Follower,
}

/// Reads of this gateway so far.
#[derive(Debug, Default)]
pub struct ReadSchedule {
    read_at: Option<Time>,
    has_failed: bool,
    asked_at: Option<Time>,
}

impl ReadSchedule {
    /// Whether a read is due. `tolerance` is the time by which a check may come early.
    pub fn is_due(
        &self,
        known: &mut Evacuations,
        role: ReadRole,
        era: StoreEra,
        now: Time,
        tolerance: Duration,
    ) -> bool {
        let Some(read_at) = self.read_at else { return true };
        let since_read = now.since(read_at) + tolerance;
        let silence = known.silence(now);
        let is_silent = |limit| silence.is_none_or(|it| limit <= it);
        let awaited_since = known.awaited_since(era, now);
        let is_substitute = role == ReadRole::Substitute
            && (awaited_since.is_some() || is_silent(SUBSTITUTE_SILENCE));
        if role == ReadRole::Reader || is_substitute {
            let is_first_of_era = awaited_since.is_some_and(|since| read_at < since);
            return is_first_of_era || READER_INTERVAL <= since_read;
        }
        if let Some(since) = awaited_since {
            let is_next = read_at < since || OWN_INTERVAL <= since_read;
            return is_next && NEW_ERA_DELAY <= now.since(since);
        }
        // A gateway that knows no set serves nothing.
        let interval = match self.has_failed && silence.is_some() {
            true => OUTAGE_INTERVAL,
            false => OWN_INTERVAL,
        };
        is_silent(READER_SILENCE) && interval <= since_read
    }

    /// Records that a read begins.
    pub fn begin(&mut self, now: Time) {
        self.read_at = Some(now);
    }

    /// Records the outcome of a read. True if it differs from that of the read before.
    pub fn end(&mut self, is_answered: bool) -> bool {
        let has_changed = self.has_failed == is_answered;
        self.has_failed = !is_answered;
        has_changed
    }

    /// Whether to ask other gateways, because the last read failed and no gateway that
    /// reads was heard.
    pub fn must_ask(&mut self, known: &Evacuations, now: Time) -> bool {
        let is_due = self.asked_at.is_none_or(|at| READER_INTERVAL <= now.since(at));
        let is_silent = known.silence(now).is_none_or(|it| READER_SILENCE <= it);
        let must_ask = self.has_failed && is_silent && is_due;
        if must_ask {
            self.asked_at = Some(now);
        }
        must_ask
    }
}

#[cfg(test)]
mod tests;
