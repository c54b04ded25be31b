//! Pauses that backend servers requested from this gateway. They are kept apart from
//! the statistics of a server, which end with the epoch of its replica.

use std::{sync::Arc, time::Duration};

use arc_swap::{ArcSwap, Guard};
use citrongw_state::{
    server_pause::{ServerPauses, StatedPause},
    time::Time,
};

use crate::fleet::Backend;

/// Pauses that are in force.
#[derive(Debug, Default)]
pub(crate) struct RequestedPauses {
    pauses: ArcSwap<ServerPauses>,
}

impl RequestedPauses {
    /// Records what a server stated in a rejection.
    pub(crate) fn record(&self, server: &Backend, stated: StatedPause, now: Time) {
        match stated {
            StatedPause::None => return,
            StatedPause::Unreadable => {}
            StatedPause::For(pause) => {
                let random = rand::random();
                self.pauses.rcu(|it| {
                    let mut pauses = ServerPauses::clone(it);
                    pauses.record(&server.id, server.incarnation, pause, now, random);
                    pauses
                });
            }
        }
        tracing::info!(server = %server.server(), pause = %stated, "backend server requested a pause");
    }

    /// Pauses as recorded so far.
    pub(crate) fn load(&self) -> Guard<Arc<ServerPauses>> {
        self.pauses.load()
    }

    /// Time that is left of the pause of a server, if it has one.
    pub(crate) fn left(&self, server: &Backend, now: Time) -> Option<Duration> {
        self.load().left(&server.id, server.incarnation, now)
    }
}
