//! Hooks that run before a planned stop, such as releasing ownerships.
//!
//! Components register hooks; the planned stop runs them once all requests have
//! ended.

use std::{
    fmt,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use futures::future::{BoxFuture, join_all};

/// Time limit for the hooks: the key-value service may be down, and other nodes
/// take over even if the hooks do not finish.
const HOOKS_TIMEOUT: Duration = Duration::from_secs(3);

type Hook = Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>;

/// Shutdown hooks of one node.
#[derive(Default)]
pub struct ShutdownHooks {
    hooks: Mutex<Vec<Hook>>,
}

impl fmt::Debug for ShutdownHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ShutdownHooks")
    }
}

impl ShutdownHooks {
    /// Adds a hook.
    pub fn add(&self, hook: impl FnOnce() -> BoxFuture<'static, ()> + Send + 'static) {
        self.hooks.lock().unwrap_or_else(PoisonError::into_inner).push(Box::new(hook));
    }

    /// Runs all hooks concurrently. Returns in bounded time.
    pub async fn run(&self) {
        let hooks: Vec<Hook> =
            std::mem::take(&mut *self.hooks.lock().unwrap_or_else(PoisonError::into_inner));
        let all = join_all(hooks.into_iter().map(|hook| hook()));
        if tokio::time::timeout(HOOKS_TIMEOUT, all).await.is_err() {
            tracing::warn!("shutdown hooks timed out");
        }
    }
}
