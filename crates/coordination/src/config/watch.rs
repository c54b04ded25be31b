//! Waiting watch on the configuration key, on the nodes that read the service.
//!
//! A watch only makes a read come sooner. One that has gone silent costs no
//! more than the pause between two reads, and is opened anew after a while.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::{record::CONFIG_KEY, store::Store};
use futures::StreamExt;
use rand::Rng;

/// Age at which a watch is opened anew.
const MAX_AGE: Duration = Duration::from_secs(60);
/// Pause after a watch that failed, and between looks at the duty.
const PAUSE: Duration = Duration::from_secs(5);

/// Keeps a watch open while `on_duty` says so, and calls `changed` on each event.
pub async fn run(
    store: Arc<dyn Store>,
    on_duty: impl Fn() -> bool,
    from: impl Fn() -> citrongw_state::id::Revision,
    changed: impl Fn(),
) {
    loop {
        if on_duty() {
            let age = MAX_AGE.mul_f64(rand::rng().random_range(0.75..1.25));
            // The end of its time is the usual end of a watch.
            let _ = tokio::time::timeout(age, watch_once(store.as_ref(), from(), &changed)).await;
        }
        let pause = PAUSE.mul_f64(rand::rng().random_range(0.1..1.0));
        tokio::time::sleep(pause).await;
    }
}

async fn watch_once(store: &dyn Store, from: citrongw_state::id::Revision, changed: &impl Fn()) {
    let mut events = match store.watch(CONFIG_KEY.into(), from).await {
        Ok(events) => events,
        Err(error) => return tracing::debug!(%error, "could not watch configuration"),
    };
    while let Some(Ok(_)) = events.next().await {
        changed();
    }
}
