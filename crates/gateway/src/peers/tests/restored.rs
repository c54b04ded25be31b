//! Cases of a key-value service that was restored from a backup.

use citrongw_fakes::kv::core::KvCore;

use super::{
    super::{
        cluster_view::MAX_JITTER,
        restored_cluster::{CARRIED_CULPRIT_TIME, CARRIED_NODE_TIME, CARRIED_OWNER_TIME},
    },
    *,
};
use crate::store_era::{self, wrap};

const FIRST: StoreEra = StoreEra(0);
const SECOND: StoreEra = StoreEra(1);

#[tokio::test(start_paused = true)]
async fn gateway_registers_again_as_soon_as_it_knows_of_the_new_era() {
    let (store, era) = (mem::open(), store_era::open());
    let shared = wrap(Arc::new(store.clone()), era.clone());
    let peers = Arc::new(open(NodeId(1), ZONE.into(), clock::open()));
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let task = tokio::spawn(register_self(Arc::clone(&peers), shared, era.clone(), addr));
    let listed = || store.inspect(|core| core.list(&NODE_PREFIX.into()).entries.len());
    tokio::time::sleep(NODE_LEASE_TIME).await;
    store.inspect(|core| core.restore(KvCore::default()));
    assert_eq!(listed(), 0);
    era.record(SECOND);
    tokio::time::sleep(MAX_JITTER).await;
    assert_eq!(listed(), 1);
    task.abort();
}

#[tokio::test(start_paused = true)]
async fn entries_that_a_restored_store_lacks_are_kept_until_they_can_be_written_again() {
    let peers = open(NodeId(2), ZONE.into(), clock::open());
    let before = decode(&[
        entry("citrongw/live/node/0000000000000001", "127.0.0.1:9 a"),
        entry("citrongw/live/node/0000000000000002", "127.0.0.1:8 b"),
        entry("citrongw/live/owner/engine/a", "0000000000000001"),
        entry("citrongw/live/culprit/x", &Fingerprint(7).to_string()),
    ]);
    peers.apply_read(FIRST, before);
    let counts = || {
        peers.apply_read(SECOND, ClusterView::default());
        let cluster = peers.cluster();
        (cluster.nodes.len(), cluster.owners.len(), cluster.culprits.len())
    };
    assert_eq!(counts(), (2, 1, 1));
    assert_eq!(peers.gateway_count(), 2);
    assert_eq!(peers.lost_culprits().len(), 1);
    tokio::time::sleep(CARRIED_OWNER_TIME).await;
    assert_eq!(counts(), (2, 0, 1));
    tokio::time::sleep(CARRIED_NODE_TIME).await;
    assert_eq!(counts(), (0, 0, 1));
    tokio::time::sleep(CARRIED_CULPRIT_TIME).await;
    assert_eq!(counts(), (0, 0, 0));
}

#[tokio::test(start_paused = true)]
async fn entries_that_are_missing_in_the_same_era_are_removed_at_once() {
    let peers = open(NodeId(2), ZONE.into(), clock::open());
    peers.apply_read(
        SECOND,
        decode(&[entry("citrongw/live/node/0000000000000001", "127.0.0.1:9 a")]),
    );
    peers.apply_read(SECOND, ClusterView::default());
    assert!(peers.cluster().nodes.is_empty());
}

#[tokio::test]
async fn secret_that_a_restored_store_lacks_is_written_again_or_replaced_on_all_gateways() {
    let store = mem::open();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    // Of three gateways the last one starts after the restore and reads what it finds.
    for starts_before_the_others_notice in [false, true] {
        let (era, mut gateways) = (store_era::open(), Vec::new());
        let shared = wrap(Arc::new(store.clone()), era.clone());
        era.record(store.inspect(|core| core.era()));
        for node in 1..=2 {
            let peers = Arc::new(open(NodeId(node), ZONE.into(), clock::open()));
            let endpoint = bind(&peers, &*shared, any).await.unwrap();
            peers.endpoint.set(endpoint).unwrap();
            let known = era.get();
            let keeping = secret::keep(Arc::clone(&peers), Arc::clone(&shared), era.clone(), known);
            gateways.push((peers, tokio::spawn(keeping)));
        }
        let before = lock(&gateways[0].0.secret).clone().unwrap();
        store.inspect(|core| core.restore(KvCore::default()));
        let started = Arc::new(open(NodeId(3), ZONE.into(), clock::open()));
        if starts_before_the_others_notice {
            let endpoint = bind(&started, &store, any).await.unwrap();
            started.endpoint.set(endpoint).unwrap();
        }
        era.record(store.inspect(|core| core.era()));
        let is_shared = || {
            let read = store.inspect(|core| core.get(&"citrongw/peer-secret".into()));
            let written = read.into_entry().map(|it| String::from_utf8(it.value.into()).unwrap());
            written.is_some() && gateways.iter().all(|(it, _)| *lock(&it.secret) == written)
        };
        while !is_shared() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let kept = *lock(&gateways[0].0.secret) == Some(before);
        assert_eq!(kept, !starts_before_the_others_notice);
        if starts_before_the_others_notice {
            let addr = started.endpoint.get().unwrap().local_addr().unwrap();
            let sender = gateways[0].0.endpoint.get().unwrap();
            let message = PeerMessage::ListMissing { digest: 9 };
            sender.send(addr, NodeId(3), &message).await;
            assert_eq!(received(started.endpoint.get().unwrap()).await, (NodeId(1), message));
        }
        gateways.iter().for_each(|(_, task)| task.abort());
    }
}
