//! Which servers one gateway takes as cold.
//!
//! A server that newly takes requests is cold for the time in the configuration, also
//! without any message: when a zone returns, most gateways send their first requests
//! before they could be told. What a server states itself may extend that, or make it
//! cold again later. A server that refused connections has stopped, so that it is cold
//! when it responds again.

use std::{collections::HashMap, time::Duration};

use derive_more::Display;

use crate::{id::ServerIncarnation, time::Time};

/// Time without requests after which a server counts as new when it takes them again:
/// longer than a repair of its replica.
const RETURN_TIME: Duration = Duration::from_secs(10);
/// Longest remaining time that counts. A server states seconds.
const MAX_LEFT: Duration = Duration::from_secs(600);
/// Difference between a stated end and the derived one that is not published.
const END_TOLERANCE: Duration = Duration::from_millis(500);
/// End of a cold phase whose begin is not known yet.
const UNKNOWN_END: Time = Time(Duration::MAX);

/// Why a server was taken as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ColdReason {
    /// It newly takes requests.
    #[display("new")]
    New,
    /// It was in a zone that requests were kept from.
    #[display("returned")]
    Returned,
    /// It refused connections and may have restarted.
    #[display("refused")]
    Refused,
    /// It states so itself.
    #[display("stated")]
    Stated,
}

/// Change of what a gateway takes a server for.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdChange {
    /// Server.
    pub server: ServerIncarnation,
    /// Whether it is cold now.
    pub is_cold: bool,
    /// Why it was taken as cold.
    pub reason: ColdReason,
    /// Time until it is warm; none if that is not known yet.
    pub left: Option<Duration>,
}

/// Whether a server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Serving {
    Never,
    Now,
    Until(Time),
}

#[derive(Debug, Clone, Copy)]
struct Known {
    serving: Serving,
    /// Time from a start until the server is warm.
    duration: Duration,
    /// End of the cold phase that its start began.
    warm_at: Time,
    /// End that the server stated.
    stated_until: Time,
    reason: ColdReason,
    /// Whether the last change said that the server is cold.
    was_cold: bool,
}

impl Known {
    fn new(duration: Duration) -> Self {
        Self {
            serving: Serving::Never,
            duration,
            warm_at: Time::START,
            stated_until: Time::START,
            reason: ColdReason::New,
            was_cold: false,
        }
    }

    fn cold_until(&self) -> Time {
        self.warm_at.max(self.stated_until)
    }

    fn start(&mut self, reason: ColdReason, now: Time) {
        self.reason = reason;
        self.warm_at = now + self.duration;
    }
}

/// Servers that a gateway knows.
#[derive(Debug, Clone, Default)]
pub struct ColdServers {
    known: HashMap<ServerIncarnation, Known>,
}

impl ColdServers {
    /// Records all servers that take requests now, each with the duration of its cold
    /// phase. A server that newly does is cold if `is_traffic`: before the first requests
    /// there is no load to ramp up.
    pub fn record_serving(
        &mut self,
        servers: impl Iterator<Item = (ServerIncarnation, Duration)>,
        is_traffic: bool,
        now: Time,
    ) {
        for known in self.known.values_mut().filter(|it| it.serving == Serving::Now) {
            known.serving = Serving::Until(now);
        }
        for (server, duration) in servers {
            let known = self.known.entry(server).or_insert(Known::new(duration));
            known.duration = duration;
            let is_new = match known.serving {
                Serving::Never => true,
                Serving::Now => false,
                Serving::Until(at) => RETURN_TIME < now.since(at),
            };
            if is_new && is_traffic {
                known.start(ColdReason::New, now);
            }
            known.serving = Serving::Now;
        }
    }

    /// Records that a server takes requests again after none were sent to its zone.
    pub fn record_returned(&mut self, server: &ServerIncarnation, now: Time) {
        if let Some(known) = self.known.get_mut(server) {
            known.start(ColdReason::Returned, now);
        }
    }

    /// Records the time until a server is warm, as it states itself. The latest statement
    /// counts.
    pub fn record_stated(&mut self, server: &ServerIncarnation, left: Duration, now: Time) {
        if left.is_zero() && !self.known.contains_key(server) {
            return;
        }
        let known = self.known.entry(server.clone()).or_insert(Known::new(Duration::ZERO));
        if known.cold_until() <= now {
            known.reason = ColdReason::Stated;
        }
        known.stated_until = now + left.min(MAX_LEFT);
    }

    /// Records that a server refused a connection. It is cold from its next response on.
    pub fn record_refused(&mut self, server: &ServerIncarnation) {
        if let Some(known) = self.known.get_mut(server).filter(|it| !it.duration.is_zero()) {
            known.reason = ColdReason::Refused;
            known.warm_at = UNKNOWN_END;
        }
    }

    /// Records a response of a server.
    pub fn record_response(&mut self, server: &ServerIncarnation, now: Time) {
        let known = self.known.get_mut(server).filter(|it| it.warm_at == UNKNOWN_END);
        if let Some(known) = known {
            known.start(ColdReason::Refused, now);
        }
    }

    /// When a server is warm; none if it is now.
    pub fn cold_until(&self, server: &ServerIncarnation, now: Time) -> Option<Time> {
        self.known.get(server).map(Known::cold_until).filter(|it| now < *it)
    }

    /// Servers that state a later end than a gateway derives that saw their start, each
    /// with the time until it is warm.
    pub fn statements(&self, now: Time) -> Vec<(ServerIncarnation, Duration)> {
        let is_news = |it: &Known| it.warm_at.max(now) + END_TOLERANCE < it.stated_until;
        let stated = self.known.iter().filter(|(_, it)| is_news(it));
        stated.map(|(server, it)| (server.clone(), it.stated_until.since(now))).collect()
    }

    /// Number of servers that are cold and take requests.
    pub fn cold_count(&self, now: Time) -> usize {
        let is_cold = |it: &&Known| it.serving == Serving::Now && now < it.cold_until();
        self.known.values().filter(is_cold).count()
    }

    /// Servers that became cold or warm since the last call, and drops those that are
    /// gone.
    pub fn changes(&mut self, now: Time) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for (server, known) in &mut self.known {
            let until = known.cold_until();
            let is_cold = now < until;
            if known.serving != Serving::Never && is_cold != known.was_cold {
                known.was_cold = is_cold;
                let left = (until != UNKNOWN_END).then(|| until.since(now));
                let (server, reason) = (server.clone(), known.reason);
                changes.push(ColdChange { server, is_cold, reason, left });
            }
        }
        self.known.retain(|_, it| {
            let until = it.cold_until();
            let is_kept = |at: Time| now.since(at) <= RETURN_TIME;
            match it.serving {
                Serving::Now => true,
                Serving::Until(at) => is_kept(at) || (until != UNKNOWN_END && is_kept(until)),
                Serving::Never => is_kept(until),
            }
        });
        changes
    }
}

#[cfg(test)]
mod tests;
