use std::{collections::HashSet, net::SocketAddr, sync::Mutex};

use citrongw_coordination::clock;
use futures::{FutureExt, future::BoxFuture};

use super::*;
use crate::{
    adapter::{Order, OrderReply},
    feed,
    instance::InstanceReport,
    lock::lock,
    testing::{entry, view},
};

/// Instances of which some respond.
#[derive(Default)]
struct SomeInstances {
    responding: std::sync::Mutex<HashSet<SocketAddr>>,
}

impl InstanceClient for SomeInstances {
    fn report(&self, addr: SocketAddr) -> BoxFuture<'_, Result<InstanceReport, InstanceError>> {
        match lock(&self.responding).contains(&addr) {
            true => {
                let report =
                    InstanceReport { incarnation: None, staged: Vec::new(), membership: None };
                futures::future::ready(Ok(report)).boxed()
            }
            false => futures::future::pending().boxed(),
        }
    }

    fn order(&self, _: SocketAddr, _: Order) -> BoxFuture<'_, Result<OrderReply, InstanceError>> {
        futures::future::pending().boxed()
    }
}

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Watch over these servers, of which `responding` respond.
fn watch_of(servers: u16, responding: &[u16]) -> (Arc<LinkWatch>, Arc<SomeInstances>) {
    let entries = (1..=servers).map(|number| {
        let mut entry = entry(&format!("h{number}"), "engine");
        entry.addr = addr(number);
        entry
    });
    let routing = feed::open();
    routing.instances.store(Arc::new(view(entries.collect())));
    let some = Arc::new(SomeInstances {
        responding: Mutex::new(responding.iter().copied().map(addr).collect()),
    });
    let instances: Arc<dyn InstanceClient> = Arc::clone(&some) as _;
    (Arc::new(open(&instances, &Arc::new(routing), clock::open())), some)
}

#[tokio::test(start_paused = true)]
async fn silence_of_a_server_is_its_own_if_another_one_responds() {
    let (watch, _) = watch_of(4, &[2, 3, 4]);
    assert!(watch.confirm_silence(&"h1".into(), watch.clock.now()).await);
    assert!(!watch.is_cut());
}

#[tokio::test(start_paused = true)]
async fn links_to_a_share_of_the_servers_are_not_taken_for_all() {
    let (watch, _) = watch_of(12, &[12]);
    assert!(watch.confirm_silence(&"h1".into(), watch.clock.now()).await);
    assert!(!watch.is_cut());
}

#[tokio::test(start_paused = true)]
async fn silence_of_the_only_server_is_its_own() {
    let (watch, _) = watch_of(1, &[]);
    assert!(watch.confirm_silence(&"h1".into(), watch.clock.now()).await);
    assert!(!watch.is_cut());
}

#[tokio::test(start_paused = true)]
async fn silence_of_all_servers_is_that_of_the_links_until_one_responds() {
    let (watch, instances) = watch_of(8, &[]);
    let task = spawn(&watch);
    assert!(!watch.confirm_silence(&"h1".into(), watch.clock.now()).await);
    assert!(watch.is_cut());
    sleep((CHECK_INTERVAL + POLL_TIMEOUT) * 4).await;
    assert!(watch.is_cut());
    lock(&instances.responding).extend((1..=8).map(addr));
    sleep((CHECK_INTERVAL + POLL_TIMEOUT) * 4).await;
    assert!(!watch.is_cut());
    task.abort();
}
