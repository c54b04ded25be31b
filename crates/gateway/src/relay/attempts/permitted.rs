//! Choice of a server that the next attempt needs no permit for, or has one.

use std::time::Duration;

use citrongw_state::server_limit::permits::Permit;

use super::Attempts;
use crate::{choose::Choice, node::Gateway, relay::call::Call};

/// Permits that are requested one after the other for one attempt.
const MAX_PERMIT_REQUESTS: usize = 4;
/// Time after which no further permits of cold servers are requested for one attempt:
/// the granters of a zone may all be silent.
const MAX_COLD_WAIT: Duration = Duration::from_millis(100);
/// Time for which all servers with limits count as denied after that many.
const DENIAL_TIME: Duration = Duration::from_millis(50);

impl Attempts {
    /// Chooses a server that has no limit, or that the attempt has a permit for.
    pub(super) async fn choose_permitted(&self, gateway: &Gateway, call: &Call) -> Option<Choice> {
        let begun_at = gateway.clock.now();
        for _ in 0..MAX_PERMIT_REQUESTS {
            let choice = self.choose(gateway, call)?;
            let server = &choice.best.server;
            match gateway.limits.acquire(server).await {
                Permit::Granted => return Some(choice),
                Permit::Denied { wait } => server.stats.deny_until(gateway.clock.now() + wait),
            }
            let now = gateway.clock.now();
            if server.stats.cold.left(now).is_some() && MAX_COLD_WAIT <= now.since(begun_at) {
                break;
            }
        }
        let until = gateway.clock.now() + DENIAL_TIME;
        for server in call.servers(&gateway.routing.fleet.load()) {
            if gateway.limits.is_limited(server) {
                server.stats.deny_until(until);
            }
        }
        // A server may have become cold meanwhile.
        let choice = self.choose(gateway, call);
        choice.filter(|it| !gateway.limits.is_limited(&it.best.server))
    }
}
