//! What one gateway knows of the limits of the servers: the newest statement of each,
//! from its own responses or from other gateways.
//!
//! A limit holds until a response without one arrives to a request that was sent after
//! the last statement, or until the granter of the server has heard of none for
//! [`STATEMENT_EXPIRY`]. The others keep it for [`RETENTION`]: where many gateways
//! share the requests, each hears of a server seldom.

use std::{collections::HashMap, time::Duration};

use super::StatedLimit;
use crate::{id::ServerIncarnation, time::Time, unit::RequestsPerSecond};

/// Time without a statement after which the granter of a server treats its limit as
/// ended. While there are requests, some reach the server more often than that.
pub const STATEMENT_EXPIRY: Duration = Duration::from_secs(30);
/// Age of the granter's statement from which on it is told of an unchanged limit.
const GRANTER_REFRESH: Duration = Duration::from_secs(1);
/// Time without a statement after which a gateway drops what it knows.
const RETENTION: Duration = Duration::from_secs(600);
/// Change of a limit, as a fraction, that counts as a new limit.
const SIGNIFICANT_CHANGE: f64 = 0.1;
/// Maximum number of servers kept.
const MAX_SERVERS: usize = 16_384;

/// Limit of a server at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// Limit; none if it ended.
    pub limit: Option<RequestsPerSecond>,
    /// When it was stated.
    pub stated_at: Time,
}

/// Gateways that are told of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// All gateways: the limit changed significantly.
    All,
    /// The granter of the server: it has heard of none for a while.
    Granter,
    /// No gateway.
    None,
}

/// Newest statement of each server that stated a limit.
#[derive(Debug, Clone, Default)]
pub struct Statements {
    known: HashMap<ServerIncarnation, Known>,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    newest: Statement,
    /// Limit at the last significant change.
    significant: Option<RequestsPerSecond>,
    /// When the newest statement was made that the granter has.
    granter_heard_at: Time,
}

impl Statements {
    /// Records what a response says that arrived at `now` to a request sent at
    /// `sent_at`. Returns the statement, if it makes one, and whom to tell of it.
    pub fn record_response(
        &mut self,
        server: &ServerIncarnation,
        stated: StatedLimit,
        sent_at: Time,
        now: Time,
    ) -> Option<(Statement, Audience)> {
        let known = self.known.get(server).map(|it| it.newest);
        let limit = match stated {
            StatedLimit::Rate(rate) => Some(rate),
            // What was stated before holds on.
            StatedLimit::Unreadable => known?.limit,
            // The response may be older than the limit.
            StatedLimit::None if sent_at < known?.stated_at => return None,
            StatedLimit::None => None,
        };
        let statement = Statement { limit, stated_at: now };
        let is_significant = self.set(server, statement);
        let known = self.known.get_mut(server)?;
        let audience = if is_significant {
            Audience::All
        } else if limit.is_some() && GRANTER_REFRESH <= now.since(known.granter_heard_at) {
            Audience::Granter
        } else {
            Audience::None
        };
        if audience != Audience::None {
            known.granter_heard_at = now;
        }
        Some((statement, audience))
    }

    /// Records a statement that another gateway reported. True if it changes the limit
    /// significantly.
    pub fn record_report(&mut self, server: &ServerIncarnation, reported: Statement) -> bool {
        let newest = self.newest(server);
        let is_old =
            newest.map_or(reported.limit.is_none(), |it| reported.stated_at <= it.stated_at);
        !is_old && self.set(server, reported)
    }

    /// Records when the newest statement was made that the granter of a server has.
    pub fn record_granter(&mut self, server: &ServerIncarnation, heard_at: Time) {
        if let Some(known) = self.known.get_mut(server) {
            known.granter_heard_at = known.granter_heard_at.max(heard_at);
        }
    }

    /// Newest statement of a server to its granter, which has granted since
    /// `granting_since`. A limit that no gateway has heard of for long has ended.
    pub fn confirmed(
        &mut self,
        server: &ServerIncarnation,
        granting_since: Time,
        now: Time,
    ) -> Option<Statement> {
        let newest = &mut self.known.get_mut(server)?.newest;
        if STATEMENT_EXPIRY <= now.since(newest.stated_at.max(granting_since)) {
            *newest = Statement { limit: None, stated_at: now };
        }
        Some(*newest)
    }

    /// Newest statement of a server.
    pub fn newest(&self, server: &ServerIncarnation) -> Option<Statement> {
        self.known.get(server).map(|it| it.newest)
    }

    /// Whether no server is known to have stated a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Drops servers that were not heard of for long.
    pub fn expire(&mut self, now: Time) {
        self.known.retain(|_, it| now.since(it.newest.stated_at) < RETENTION);
    }

    /// Replaces the newest statement. True if it changes the limit significantly.
    fn set(&mut self, server: &ServerIncarnation, newest: Statement) -> bool {
        if MAX_SERVERS <= self.known.len() && !self.known.contains_key(server) {
            self.drop_oldest();
        }
        let known = self.known.entry(server.clone());
        let known =
            known.or_insert(Known { newest, significant: None, granter_heard_at: Time::START });
        known.newest = newest;
        let is_significant = differs(known.significant, newest.limit);
        if is_significant {
            known.significant = newest.limit;
        }
        is_significant
    }

    fn drop_oldest(&mut self) {
        let oldest = self.known.iter().min_by_key(|(_, it)| it.newest.stated_at);
        if let Some(oldest) = oldest.map(|(server, _)| server.clone()) {
            self.known.remove(&oldest);
        }
    }
}

fn differs(before: Option<RequestsPerSecond>, limit: Option<RequestsPerSecond>) -> bool {
    match (before, limit) {
        (Some(before), Some(limit)) => SIGNIFICANT_CHANGE * before.0 < (limit.0 - before.0).abs(),
        (before, limit) => before.is_some() != limit.is_some(),
    }
}

#[cfg(test)]
mod tests;
