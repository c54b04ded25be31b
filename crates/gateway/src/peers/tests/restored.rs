//! Cases of a key-value service that comes back from an older copy.

use citrongw_fakes::kv::core::KvCore;

use super::{
    super::cluster_view::{
        CARRIED_CULPRIT_TIME, CARRIED_NODE_TIME, CARRIED_OWNER_TIME, MAX_JITTER,
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
