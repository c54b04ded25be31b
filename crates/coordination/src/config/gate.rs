//! What the rest of a node sees of the configuration's standing: whether the
//! node may take requests, and how far a change has been accepted.
//!
//! The path of a request reads one atomic.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use citrongw_protocol::admin_config::Acceptance;
use citrongw_state::{id::Revision, time::Time};
use serde::Serialize;
use tokio::sync::Notify;

use crate::clock::Clock;

/// Pause between two looks at the acceptance of a change.
const ACCEPTANCE_POLL: Duration = Duration::from_millis(50);

/// Standing of the configuration on this node.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct ConfigStatus {
    /// Version in force.
    pub held: Option<Revision>,
    /// Point in time at which the service's version was the one in force.
    pub confirmed_at: Option<Time>,
    /// Version of the service that lies behind the one in force, if it went
    /// back. The node holds its own and an operator must decide.
    pub went_back_to: Option<Revision>,
    /// Whether the service holds a newer version that does not descend from the
    /// one in force, so that a change was lost. An operator must decide.
    pub forked: bool,
    /// Latest accepted version.
    pub accepted: Option<Revision>,
    /// Acceptance of the version in force.
    pub acceptance: Option<Acceptance>,
}

/// Gate of one node.
#[derive(Debug, Default)]
pub struct ConfigGate {
    /// Zero while the node may not serve.
    serve_until_ns: AtomicU64,
    status: ArcSwap<ConfigStatus>,
    refresh: Notify,
}

impl ConfigGate {
    /// Whether the node may take new requests.
    pub fn may_serve(&self, now: Time) -> bool {
        nanos(now) < self.serve_until_ns.load(Ordering::Acquire)
    }

    /// Standing as last computed.
    pub fn status(&self) -> Arc<ConfigStatus> {
        self.status.load_full()
    }

    /// Acceptance of a committed version. A later version that is accepted
    /// stands for those before it.
    pub fn acceptance(&self, revision: Revision) -> Acceptance {
        let unknown =
            Acceptance { revision, accepted: false, holding: 0, recorded: 0, missing: Vec::new() };
        let status = self.status.load();
        let accepted = Some(revision) <= status.accepted;
        match &status.acceptance {
            Some(found) if revision <= found.revision => {
                Acceptance { revision, accepted, ..found.clone() }
            }
            _ => unknown,
        }
    }

    /// Waits until a version is accepted, at most for `limit`.
    pub async fn wait_accepted(
        &self,
        revision: Revision,
        clock: Clock,
        limit: Duration,
    ) -> Acceptance {
        let deadline = clock.now() + limit;
        loop {
            let found = self.acceptance(revision);
            if found.accepted || deadline <= clock.now() {
                return found;
            }
            tokio::time::sleep(ACCEPTANCE_POLL).await;
        }
    }

    /// Asks for a read of the service soon, such as after an edit.
    pub fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Waits for [`Self::refresh`].
    pub async fn refresh_requested(&self) {
        self.refresh.notified().await;
    }

    /// Takes in a new standing.
    pub fn update(&self, serve_until: Option<Time>, status: ConfigStatus) {
        self.serve_until_ns.store(serve_until.map_or(0, nanos), Ordering::Release);
        self.status.store(Arc::new(status));
    }
}

fn nanos(time: Time) -> u64 {
    u64::try_from(time.0.as_nanos()).unwrap_or(u64::MAX)
}
