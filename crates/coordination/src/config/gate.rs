//! Configuration status as read by the rest of the node: whether the node may
//! accept requests, and how far a change has been accepted.
//!
//! The request path reads a single atomic.

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

/// Interval at which the acceptance of a change is polled.
const ACCEPTANCE_POLL: Duration = Duration::from_millis(50);

/// Status of the configuration on this node.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct ConfigStatus {
    /// Revision in force.
    pub held: Option<Revision>,
    /// Latest time at which the version in force was known to be the service's
    /// current one.
    pub confirmed_at: Option<Time>,
    /// Revision of the service if that went back to an older one than is in
    /// force. The node keeps its version and an operator must decide.
    pub went_back_to: Option<Revision>,
    /// Whether the service holds a newer version that does not descend from the
    /// one in force, so that a change was lost. An operator must decide.
    pub forked: bool,
    /// Latest accepted revision.
    pub accepted: Option<Revision>,
    /// Acceptance status of the version in force.
    pub acceptance: Option<Acceptance>,
}

/// Decides whether this node may serve, and holds the configuration status.
#[derive(Debug, Default)]
pub struct ConfigGate {
    /// Time until which the node may serve; zero while it may not.
    serve_until_ns: AtomicU64,
    status: ArcSwap<ConfigStatus>,
    refresh: Notify,
}

impl ConfigGate {
    /// Whether the node may accept new requests.
    pub fn may_serve(&self, now: Time) -> bool {
        nanos(now) < self.serve_until_ns.load(Ordering::Acquire)
    }

    /// Latest status.
    pub fn status(&self) -> Arc<ConfigStatus> {
        self.status.load_full()
    }

    /// Acceptance status of a committed version. If a later version is accepted,
    /// all earlier ones are.
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

    /// Waits until a version is accepted, at most for `limit`. Returns the last
    /// status.
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

    /// Requests an early read of the key-value service, such as after an edit.
    pub fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Waits for [`Self::request_refresh`].
    pub async fn refresh_requested(&self) {
        self.refresh.notified().await;
    }

    /// Updates the serving limit and the status.
    pub fn update(&self, serve_until: Option<Time>, status: ConfigStatus) {
        self.serve_until_ns.store(serve_until.map_or(0, nanos), Ordering::Release);
        self.status.store(Arc::new(status));
    }
}

fn nanos(time: Time) -> u64 {
    u64::try_from(time.0.as_nanos()).unwrap_or(u64::MAX)
}
