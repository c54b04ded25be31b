//! What a node gives up before it ends, such as ownerships.
//!
//! Parts add a hook; the planned stop runs them once all requests have ended.

use std::{
    fmt,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use futures::future::{BoxFuture, join_all};

/// Longest time that hooks may take: the service may be down, and others take
/// over without them.
const LIMIT: Duration = Duration::from_secs(3);

type Hook = Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>;

/// Hooks of one node.
#[derive(Default)]
pub struct ShutdownHooks {
    hooks: Mutex<Vec<Hook>>,
}

impl fmt::Debug for ShutdownHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HandOver")
    }
}

impl ShutdownHooks {
    /// Adds a hook.
    pub fn add(&self, hook: impl FnOnce() -> BoxFuture<'static, ()> + Send + 'static) {
        self.hooks.lock().unwrap_or_else(PoisonError::into_inner).push(Box::new(hook));
    }

    /// Runs all hooks at once. Returns in bounded time.
    pub async fn run(&self) {
        let hooks: Vec<Hook> =
            std::mem::take(&mut *self.hooks.lock().unwrap_or_else(PoisonError::into_inner));
        let all = join_all(hooks.into_iter().map(|hook| hook()));
        if tokio::time::timeout(LIMIT, all).await.is_err() {
            tracing::warn!("could not hand over in time");
        }
    }
}
