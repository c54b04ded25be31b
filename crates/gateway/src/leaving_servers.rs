//! Backend servers that stated to this gateway, or to another one, that they are leaving.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use citrongw_state::{id::ServerIncarnation, leaving_servers::LeavingServers, time::Time};

/// Servers that are leaving, shared by requests and the control of domains.
#[derive(Debug, Default)]
pub(crate) struct StatedDepartures {
    servers: ArcSwap<LeavingServers>,
}

impl StatedDepartures {
    /// Records that a server is leaving. True if that was not known.
    pub(crate) fn record(&self, server: &ServerIncarnation, source: &str, now: Time) -> bool {
        if self.load().contains(&server.instance, server.incarnation) {
            return false;
        }
        self.servers.rcu(|it| {
            let mut servers = LeavingServers::clone(it);
            servers.record(server, now);
            servers
        });
        tracing::info!(%server, source, "backend server is leaving");
        true
    }

    /// Servers as recorded so far.
    pub(crate) fn load(&self) -> Guard<Arc<LeavingServers>> {
        self.servers.load()
    }
}
