//! Watch over the links of this gateway to the backend servers.
//!
//! Whoever finds a server silent asks here whether to believe it: the answer is no if
//! other servers that are polled at once are silent too. While all are, requests are
//! relayed through other gateways, and this gateway neither judges nor controls servers.

use std::{sync::Arc, time::Duration};

use citrongw_coordination::clock::Clock;
use citrongw_state::{id::InstanceId, server_links::ServerLinks, time::Time};
use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::SliceRandom;
use tokio::{
    sync::{Mutex, watch},
    task::JoinHandle,
    time::sleep,
};

use crate::{
    adapter::{InstanceClient, InstanceError},
    feed::RoutingState,
    instance::InstanceEntry,
};

/// Servers that are polled first to find out whether the links are cut.
const FIRST_POLLED_SERVERS: usize = 3;
/// Servers that are polled before the links count as cut.
const MAX_POLLED_SERVERS: usize = 12;
/// Timeout of these polls. Responses take milliseconds.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// Turns of all tasks that a poll takes at most: to connect, to send the request and to
/// read the response, each of them in two tasks.
const POLL_TURNS: usize = 16;
/// Interval between checks, and between polls while the links are cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a byte from any server, while requests wait for them, from which on
/// servers are polled.
const MAX_QUIET: Duration = Duration::from_millis(300);
/// Time without a byte from any server from which on a failure is checked.
const CHECKED_SILENCE: Duration = Duration::from_millis(100);

/// Links to the backend servers.
#[derive(derive_more::Debug)]
pub(crate) struct LinkWatch {
    #[debug(skip)]
    instances: Arc<dyn InstanceClient>,
    routing: Arc<RoutingState>,
    clock: Clock,
    links: ServerLinks,
    /// Held during the polls of a check, so that one serves all that wait for it.
    checking: Mutex<()>,
    cut_tx: watch::Sender<bool>,
}

/// Creates the watch of links that are not cut.
pub(crate) fn open(
    instances: &Arc<dyn InstanceClient>,
    routing: &Arc<RoutingState>,
    clock: Clock,
) -> LinkWatch {
    LinkWatch {
        instances: Arc::clone(instances),
        routing: Arc::clone(routing),
        clock,
        links: ServerLinks::default(),
        checking: Mutex::default(),
        cut_tx: watch::channel(false).0,
    }
}

/// Spawns the task that finds the beginning and the end of each cut.
pub(crate) fn spawn(watch: &Arc<LinkWatch>) -> JoinHandle<()> {
    let watch = Arc::clone(watch);
    tokio::spawn(async move {
        loop {
            sleep(CHECK_INTERVAL).await;
            let quiet_since = watch.clock.now() - MAX_QUIET;
            let is_waiting = || watch.routing.fleet.load().has_requests();
            let is_quiet = !watch.links.has_heard_since(quiet_since) && is_waiting();
            if watch.is_cut() || is_quiet {
                watch.poll_others(None).await;
            }
        }
    })
}

/// Completes at the timeout of a poll. While this process is busy, its other tasks get
/// their turns before, so that responses that have arrived are read: a process that has no
/// time for them does not count the servers as silent.
async fn poll_timeout() {
    sleep(POLL_TIMEOUT).await;
    for _ in 0..POLL_TURNS {
        tokio::task::yield_now().await;
    }
}

impl LinkWatch {
    /// Whether no server is heard.
    pub(crate) fn is_cut(&self) -> bool {
        self.links.is_cut()
    }

    /// Completes once no server is heard.
    pub(crate) async fn wait_until_cut(&self) {
        // The sender is part of this watch.
        let _ = self.cut_tx.subscribe().wait_for(|it| *it).await;
    }

    /// Wakes those that wait for a change. The state is read under the channel's lock, so
    /// that the last of concurrent changes counts.
    fn publish(&self) {
        self.cut_tx.send_modify(|it| *it = self.is_cut());
    }

    /// Records that a server was heard.
    pub(crate) fn record_heard(&self) {
        if self.links.record_heard(self.clock.now()) {
            // What was learned of the servers in the cut was about the links.
            self.routing.fleet.load().forgive_failures();
            self.publish();
            tracing::info!("links to the backend servers work again");
        }
    }

    /// Checks the links after a failure at a server, unless any was heard just now.
    pub(crate) fn record_failure(self: &Arc<Self>, server: &InstanceId) {
        let since = self.clock.now();
        if self.is_cut() || self.links.has_heard_since(since - CHECKED_SILENCE) {
            return;
        }
        let (watch, server) = (Arc::clone(self), server.clone());
        tokio::spawn(async move { watch.confirm_silence(&server, since).await });
    }

    /// Whether the silence of a server since a time is its own: another one was heard
    /// meanwhile, or responds to a poll now, or there is no other.
    pub(crate) async fn confirm_silence(&self, server: &InstanceId, since: Time) -> bool {
        if self.links.has_heard_since(since) {
            return true;
        }
        let _checking = self.checking.lock().await;
        if self.links.has_heard_since(since) {
            return true;
        }
        !self.is_cut() && self.poll_others(Some(server)).await
    }

    /// Polls other servers, and if none responds, more of them. False if none does.
    async fn poll_others(&self, silent: Option<&InstanceId>) -> bool {
        let since = self.clock.now();
        let others = self.choose_polled(silent);
        let (first, rest) = others.split_at(others.len().min(FIRST_POLLED_SERVERS));
        if others.is_empty() || self.poll(first).await {
            return true;
        }
        // A cut of this node from a share of the servers may cover those polled first.
        if !self.is_cut() && self.poll(rest).await {
            return true;
        }
        if self.links.record_all_silent(since) {
            tracing::warn!(polled = others.len(), "links to the backend servers are cut");
            self.publish();
        }
        self.links.has_heard_since(since)
    }

    /// Polls servers. True if one responds.
    async fn poll(&self, servers: &[Arc<InstanceEntry>]) -> bool {
        let reports = servers.iter().map(|it| self.instances.report(it.addr));
        let mut reports: FuturesUnordered<_> = reports.collect();
        let heard = async {
            while let Some(outcome) = reports.next().await {
                if matches!(outcome, Ok(_) | Err(InstanceError::InvalidResponse)) {
                    self.record_heard();
                    return true;
                }
            }
            false
        };
        tokio::select! {
            biased;
            is_heard = heard => is_heard,
            () = poll_timeout() => false,
        }
    }

    /// Chooses servers at random, those outside the fabric domain of the silent one
    /// first.
    fn choose_polled(&self, silent: Option<&InstanceId>) -> Vec<Arc<InstanceEntry>> {
        let instances = self.routing.instances.load();
        let domain_of = |it: &InstanceEntry| (it.service.clone(), it.domain.clone());
        let silent_domain =
            silent.and_then(|it| instances.instances.get(it)).map(|it| domain_of(&it.entry));
        let others = instances.instances.values().filter(|it| Some(&it.entry.id) != silent);
        let mut polled: Vec<_> = others.map(|it| Arc::clone(&it.entry)).collect();
        polled.shuffle(&mut rand::rng());
        polled.sort_by_key(|it| Some(domain_of(it)) == silent_domain);
        polled.truncate(MAX_POLLED_SERVERS);
        polled
    }
}

#[cfg(test)]
mod tests;
