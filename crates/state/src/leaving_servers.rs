//! Backend servers that stated in a response that they are leaving.
//!
//! The statement belongs to one incarnation of a server and holds for the rest of its
//! life: neither a later response without it nor a list of instances that still shows the
//! server as ready ends it, as that list may be old.

use std::{collections::HashMap, time::Duration};

use crate::{
    id::{Incarnation, InstanceId, ServerIncarnation},
    time::Time,
};

/// Time for which a statement is kept: longer than a server that is leaving continues to
/// run.
const RETENTION: Duration = Duration::from_secs(10 * 60);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Statement {
    incarnation: Incarnation,
    stated_at: Time,
}

/// Servers that are leaving by their own statement.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    statements: HashMap<InstanceId, Statement>,
}

impl LeavingServers {
    /// Records that a server stated that it is leaving.
    pub fn record(&mut self, server: &ServerIncarnation, now: Time) {
        self.statements.retain(|_, it| now.since(it.stated_at) < RETENTION);
        let stated = Statement { incarnation: server.incarnation, stated_at: now };
        let kept = self.statements.entry(server.instance.clone()).or_insert(stated);
        if kept.incarnation <= server.incarnation {
            *kept = stated;
        }
    }

    /// Whether this incarnation of an instance, or a later one, stated that it is leaving.
    /// The earlier one has ended by then.
    pub fn contains(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.statements.get(instance).is_some_and(|it| incarnation <= it.incarnation)
    }
}

#[cfg(test)]
mod tests;
