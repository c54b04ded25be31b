//! Watch on the configuration key, on the nodes that read the key-value service.
//!
//! A watch only triggers an earlier read. A watch that stops delivering events
//! delays a change by at most the interval between reads, and is reopened
//! periodically.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::{record::CONFIG_KEY, store::Store};
use futures::StreamExt;
use rand::Rng;

/// Age at which a watch is reopened, before jitter.
const MAX_WATCH_AGE: Duration = Duration::from_secs(60);
/// Maximum pause before the watch is reopened or `is_reader` is checked again.
const REOPEN_PAUSE: Duration = Duration::from_secs(5);

/// Keeps a watch open while `is_reader` returns true, and calls `changed` on each
/// event.
pub async fn run(
    store: Arc<dyn Store>,
    is_reader: impl Fn() -> bool,
    from: impl Fn() -> citrongw_state::id::Revision,
    changed: impl Fn(),
) {
    loop {
        if is_reader() {
            let age = MAX_WATCH_AGE.mul_f64(rand::rng().random_range(0.75..1.25));
            // A watch usually ends by this timeout.
            let _ = tokio::time::timeout(age, watch_once(store.as_ref(), from(), &changed)).await;
        }
        let pause = REOPEN_PAUSE.mul_f64(rand::rng().random_range(0.1..1.0));
        tokio::time::sleep(pause).await;
    }
}

async fn watch_once(store: &dyn Store, from: citrongw_state::id::Revision, changed: &impl Fn()) {
    let mut events = match store.watch(CONFIG_KEY.into(), from).await {
        Ok(events) => events,
        Err(error) => return tracing::debug!(%error, "could not watch the configuration key"),
    };
    while let Some(Ok(_)) = events.next().await {
        changed();
    }
}
