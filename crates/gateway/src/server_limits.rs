//! Limits that backend servers state in their responses.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use citrongw_coordination::clock::Clock;
use citrongw_state::{
    server_limit::{StatedLimit, statements::Statements},
    time::Time,
};
use tokio::time::sleep;

use crate::{fleet::Backend, lock::lock};

/// Interval between removals of old statements.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Limits that this gateway knows of.
#[derive(Debug)]
pub(crate) struct ServerLimits {
    clock: Clock,
    statements: Mutex<Statements>,
    has_statements: AtomicBool,
}

/// Creates an empty set of limits.
pub(crate) fn open(clock: Clock) -> ServerLimits {
    ServerLimits { clock, statements: Mutex::default(), has_statements: AtomicBool::new(false) }
}

/// Drops old statements; never returns.
pub(crate) async fn expire(limits: Arc<ServerLimits>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        limits.change(|it| it.expire(limits.clock.now()));
    }
}

impl ServerLimits {
    /// Records what a server states in a response to a request sent at `sent_at`.
    pub(crate) fn record_response(&self, backend: &Backend, stated: StatedLimit, sent_at: Time) {
        if stated == StatedLimit::None && !self.has_statements.load(Ordering::Relaxed) {
            return;
        }
        let (server, now) = (backend.server(), self.clock.now());
        let changed = self.change(|it| it.record_response(&server, stated, sent_at, now));
        if let Some(statement) = changed {
            let limit = statement.limit.map(|it| it.0);
            tracing::info!(%server, limit_per_s = limit, "limit of a backend server changed");
        }
    }

    fn change<R>(&self, change: impl FnOnce(&mut Statements) -> R) -> R {
        let mut statements = lock(&self.statements);
        let res = change(&mut statements);
        self.has_statements.store(!statements.is_empty(), Ordering::Relaxed);
        res
    }
}
