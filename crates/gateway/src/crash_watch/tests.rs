use std::collections::BTreeMap;

use citrongw_coordination::clock;
use citrongw_fakes::kv::{
    core::KvCore,
    mem::{self, MemStore},
};
use citrongw_protocol::store::{Key, Store};
use citrongw_state::{
    crash_suspicion::shared_parts::{DEATHS_TO_QUARANTINE, QUARANTINE_TIME},
    id::{Incarnation, NodeId, ServerIncarnation},
};
use futures::{FutureExt, future::BoxFuture};

use super::{evidence::EVIDENCE_TIME, *};
use crate::{
    adapter::{Order, OrderReply},
    feed,
    instance::InstanceReport,
    links,
    peers::{self, CULPRIT_PREFIX, ClusterView, LIVE_PREFIX, ListedGateway, decode},
    testing::{self, StubCodec},
};

const BAD: Fingerprint = Fingerprint(1);
const SHARED: Fingerprint = Fingerprint(2);

type Report = Result<InstanceReport, InstanceError>;

/// Instances that give their first response to the first poll of each and their last to
/// all others.
struct PolledInstances {
    reports: [Report; 2],
    unpolled: Mutex<usize>,
}

impl PolledInstances {
    fn new(reports: [Report; 2]) -> Self {
        Self { reports, unpolled: Mutex::new(DEATHS_TO_QUARANTINE) }
    }
}

impl InstanceClient for PolledInstances {
    fn report(&self, _: SocketAddr) -> BoxFuture<'_, Report> {
        let mut unpolled = lock(&self.unpolled);
        let idx = usize::from(*unpolled == 0);
        *unpolled = unpolled.saturating_sub(1);
        futures::future::ready(self.reports[idx].clone()).boxed()
    }

    fn order(&self, _: SocketAddr, _: Order) -> BoxFuture<'_, Result<OrderReply, InstanceError>> {
        futures::future::ready(Err(InstanceError::NotReached)).boxed()
    }
}

fn report(incarnation: u64) -> Report {
    let incarnation = Some(Incarnation(incarnation));
    Ok(InstanceReport { incarnation, staged: Vec::new(), membership: None })
}

fn open_watch(node: u64, store: &MemStore, polled: Report) -> Arc<CrashWatch> {
    open_watch_of(node, store, PolledInstances::new([polled.clone(), polled]))
}

fn open_watch_of(node: u64, store: &MemStore, instances: PolledInstances) -> Arc<CrashWatch> {
    let clock = clock::open();
    let peers = Arc::new(peers::open(NodeId(node), "a".into(), clock));
    let adapter = Adapter {
        store: Arc::new(store.clone()),
        codec: Arc::new(StubCodec),
        http: citrongw_transport::http_client::open(),
        instances: Arc::new(instances),
    };
    let links = Arc::new(links::open(&adapter.instances, &Arc::new(feed::open()), clock));
    Arc::new(open(&adapter, &peers, &links, clock))
}

fn backend(number: usize) -> Backend {
    testing::backend(&format!("h{number}"))
}

fn death(number: usize) -> ServerIncarnation {
    backend(number).server()
}

fn quarantine(watch: &Arc<CrashWatch>, signatures: &[Fingerprint]) {
    for number in 0..DEATHS_TO_QUARANTINE {
        watch.apply_crash(&death(number), signatures);
    }
}

fn is_quarantined(watch: &CrashWatch, signatures: &[Fingerprint]) -> bool {
    watch.is_quarantined(|| signatures.to_vec())
}

fn listed(store: &MemStore) -> usize {
    store.inspect(|core| core.list(&Key::from(CULPRIT_PREFIX)).entries.len())
}

/// Lets the spawned tasks run until they wait for time.
async fn settle() {
    sleep(Duration::from_millis(1)).await;
}

#[tokio::test(start_paused = true)]
async fn only_a_poll_that_shows_a_crash_counts_as_a_death() {
    let cases = [
        (Err(InstanceError::NotReached), true),
        (report(2), true),
        (report(1), false),
        (Err(InstanceError::NoResponse), false),
        (Err(InstanceError::InvalidResponse), false),
    ];
    for (polled, counts) in cases {
        let watch = open_watch(1, &mem::open(), polled.clone());
        for number in 0..DEATHS_TO_QUARANTINE {
            watch.record_interrupted(&backend(number), vec![BAD]);
            settle().await;
        }
        assert_eq!(is_quarantined(&watch, &[BAD]), counts, "{polled:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn deaths_that_other_gateways_report_lead_to_a_quarantine_and_a_success_ends_it() {
    let watch = open_watch(1, &mem::open(), report(1));
    quarantine(&watch, &[SHARED, BAD]);
    assert!(is_quarantined(&watch, &[SHARED, BAD]));
    assert!(!is_quarantined(&watch, &[SHARED]), "sound requests share a part");
    watch.apply_cleared(&[SHARED]);
    assert!(is_quarantined(&watch, &[BAD]));
    watch.record_success(&[], || vec![BAD]);
    assert!(!is_quarantined(&watch, &[BAD]));
}

#[tokio::test(start_paused = true)]
async fn part_that_succeeded_before_is_not_quarantined() {
    let watch = open_watch(1, &mem::open(), report(1));
    watch.record_success(&[SHARED], Vec::new);
    quarantine(&watch, &[SHARED]);
    assert!(!is_quarantined(&watch, &[SHARED]));
}

#[tokio::test(start_paused = true)]
async fn request_that_waits_for_its_server_notices_the_quarantine() {
    let watch = open_watch(1, &mem::open(), report(1));
    let mut waiting = Box::pin(watch.wait_until_quarantined(|| vec![BAD]));
    assert_eq!((&mut waiting).now_or_never(), None);
    quarantine(&watch, &[BAD]);
    assert_eq!(waiting.now_or_never(), Some(()));
}

#[tokio::test(start_paused = true)]
async fn culprit_is_listed_until_a_success() {
    let store = mem::open();
    let watch = open_watch(1, &store, report(2));
    for number in 0..DEATHS_TO_QUARANTINE {
        watch.record_interrupted(&backend(number), vec![BAD]);
        settle().await;
    }
    assert_eq!(listed(&store), 1);
    watch.apply_cleared(&[BAD]);
    settle().await;
    assert_eq!(listed(&store), 0);
}

#[tokio::test(start_paused = true)]
async fn culprit_that_other_gateways_found_is_listed_if_none_of_them_does() {
    let store = mem::open();
    let watch = open_watch(1, &store, report(1));
    let task = tokio::spawn(maintain(Arc::clone(&watch)));
    quarantine(&watch, &[BAD]);
    sleep(QUARANTINE_TIME / 10).await;
    assert_eq!(listed(&store), 1);
    task.abort();
}

#[tokio::test(start_paused = true)]
async fn culprit_is_listed_again_after_its_entry_was_lost_and_no_longer_than_it_is_known() {
    let store = mem::open();
    let watch = open_watch(1, &store, report(1));
    let task = tokio::spawn(maintain(Arc::clone(&watch)));
    quarantine(&watch, &[BAD]);
    sleep(QUARANTINE_TIME / 2).await;
    store.inspect(|core| core.restore(KvCore::default()));
    sleep(QUARANTINE_TIME / 4).await;
    assert_eq!(listed(&store), 1);
    sleep(QUARANTINE_TIME / 2).await;
    assert_eq!(listed(&store), 0);
    task.abort();
}

#[tokio::test(start_paused = true)]
async fn culprit_that_was_only_read_is_listed_again_after_a_restore_until_it_succeeds() {
    let store = mem::open();
    let watch = open_watch(1, &store, report(1));
    let task = tokio::spawn(maintain(Arc::clone(&watch)));
    let read = || {
        let snapshot = store.inspect(|core| core.list(&Key::from(LIVE_PREFIX)));
        watch.peers.apply_read(snapshot.revision.era, decode(&snapshot.entries));
    };
    let other = open_watch(2, &store, report(2));
    for number in 0..DEATHS_TO_QUARANTINE {
        other.record_interrupted(&backend(number), vec![BAD]);
        settle().await;
    }
    read();
    assert!(is_quarantined(&watch, &[BAD]));
    store.inspect(|core| core.restore(KvCore::default()));
    read();
    sleep(MIN_LISTING_INTERVAL + LISTING_JITTER).await;
    assert_eq!(listed(&store), 1);
    watch.apply_cleared(&[SHARED]);
    settle().await;
    assert_eq!(listed(&store), 1, "another success does not clear it");
    watch.apply_cleared(&[BAD]);
    settle().await;
    assert_eq!(listed(&store), 0);
    task.abort();
}

#[tokio::test]
async fn death_and_success_reach_the_other_gateways() {
    let store = mem::open();
    let shared: Arc<dyn Store> = Arc::new(store.clone());
    let (first, second) = (open_watch(1, &store, report(2)), open_watch(2, &store, report(2)));
    let mut nodes = BTreeMap::new();
    let mut tasks = Vec::new();
    for (node, watch) in [(1, &first), (2, &second)] {
        let receiver = Arc::clone(watch);
        let on_message = move |_, message| match message {
            PeerMessage::Crash { death, signatures } => receiver.apply_crash(&death, &signatures),
            PeerMessage::Cleared { signatures } => receiver.apply_cleared(&signatures),
            _ => {}
        };
        let spawned = peers::tests::spawn_receiver(&watch.peers, &shared, on_message);
        let (addr, task) = spawned.await;
        nodes.insert(NodeId(node), ListedGateway { addr, zone: "a".into() });
        tasks.push(task);
    }
    for watch in [&first, &second] {
        let nodes = nodes.clone();
        watch.peers.set_cluster(ClusterView { nodes, ..ClusterView::default() });
    }
    // More signatures than fit into one datagram.
    let signatures: Vec<Fingerprint> = (0..100).map(|it| Fingerprint(u128::MAX - it)).collect();
    for number in 0..DEATHS_TO_QUARANTINE {
        first.record_interrupted(&backend(number), signatures.clone());
    }
    while !is_quarantined(&second, &signatures) {
        sleep(Duration::from_millis(1)).await;
    }
    second.record_success(&[], || signatures.clone());
    while is_quarantined(&first, &signatures) {
        sleep(Duration::from_millis(1)).await;
    }
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test(start_paused = true)]
async fn inconclusive_poll_keeps_the_evidence_for_a_death_that_another_gateway_reports() {
    let watch = open_watch(1, &mem::open(), Err(InstanceError::NoResponse));
    for number in 0..DEATHS_TO_QUARANTINE {
        watch.record_interrupted(&backend(number), vec![BAD]);
        settle().await;
        watch.apply_crash(&death(number), &[Fingerprint(100 + number as u128)]);
        settle().await;
    }
    assert!(is_quarantined(&watch, &[BAD]));
}

#[tokio::test(start_paused = true)]
async fn request_interrupted_after_a_reported_death_counts_without_a_poll() {
    let watch = open_watch(1, &mem::open(), Err(InstanceError::NoResponse));
    for number in 0..DEATHS_TO_QUARANTINE {
        watch.apply_crash(&death(number), &[Fingerprint(100 + number as u128)]);
        watch.record_interrupted(&backend(number), vec![BAD]);
        settle().await;
    }
    assert!(is_quarantined(&watch, &[BAD]));
}

#[tokio::test(start_paused = true)]
async fn evidence_without_a_death_is_dropped() {
    let watch = open_watch(1, &mem::open(), Err(InstanceError::NoResponse));
    for number in 0..DEATHS_TO_QUARANTINE {
        watch.record_interrupted(&backend(number), vec![BAD]);
    }
    sleep(EVIDENCE_TIME).await;
    for number in 0..DEATHS_TO_QUARANTINE {
        watch.apply_crash(&death(number), &[SHARED]);
    }
    assert!(!is_quarantined(&watch, &[BAD]));
}

#[tokio::test(start_paused = true)]
async fn server_that_does_not_respond_at_first_is_polled_again() {
    let reports = [Err(InstanceError::NoResponse), Err(InstanceError::NotReached)];
    let watch = open_watch_of(1, &mem::open(), PolledInstances::new(reports));
    for number in 0..DEATHS_TO_QUARANTINE {
        watch.record_interrupted(&backend(number), vec![BAD]);
    }
    settle().await;
    assert!(!is_quarantined(&watch, &[BAD]));
    sleep(POLL_RETRY_DELAY).await;
    assert!(is_quarantined(&watch, &[BAD]));
}

#[tokio::test(start_paused = true)]
async fn request_that_was_abandoned_counts_once_its_server_refuses_connections() {
    let watch = open_watch(1, &mem::open(), report(1));
    for number in 0..DEATHS_TO_QUARANTINE {
        watch.record_abandoned(&backend(number), vec![BAD]);
        // A poll that finds the server running only clears other requests.
        watch.record_interrupted(&backend(number), vec![SHARED]);
        settle().await;
        watch.record_refused(&backend(number));
        settle().await;
    }
    assert!(is_quarantined(&watch, &[BAD]));
    assert!(!is_quarantined(&watch, &[SHARED]));
}
