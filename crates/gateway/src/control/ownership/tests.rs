use citrongw_fakes::kv::mem;

use super::*;

fn domain(name: &str) -> DomainKey {
    DomainKey { service: "engine".into(), domain: name.into() }
}

#[test]
fn preferred_owner_acquires_first_and_the_others_after_a_delay() {
    let unowned = BTreeSet::from([domain("d")]);
    let nodes = [NodeId(1), NodeId(2), NodeId(3)];
    let acquires = |node: NodeId, at: Time| {
        let mut unowned_domains = UnownedDomains::default();
        unowned_domains.due(&unowned, node, &nodes, |_| false, Time::START);
        !unowned_domains.due(&unowned, node, &nodes, |_| false, at).is_empty()
            || preferred_owner(&domain("d"), &nodes) == Some(node)
    };
    let now = Time::START + Duration::from_millis(1);
    assert_eq!(nodes.iter().filter(|it| acquires(**it, now)).count(), 1);
    let later = Time::START + NON_PREFERRED_DELAY + Duration::from_millis(MAX_JITTER_MS);
    assert_eq!(nodes.iter().filter(|it| acquires(**it, later)).count(), 3);
}

#[test]
fn former_owner_does_not_wait() {
    let unowned = BTreeSet::from([domain("d")]);
    let nodes = [NodeId(1), NodeId(2), NodeId(3)];
    let is_due = |node: &NodeId| {
        let mut unowned_domains = UnownedDomains::default();
        !unowned_domains.due(&unowned, *node, &nodes, |_| true, Time::START).is_empty()
    };
    assert!(nodes.iter().all(is_due));
}

#[test]
fn domain_is_acquired_once_until_the_list_shows_its_owner() {
    let unowned = BTreeSet::from([domain("d")]);
    let mut unowned_domains = UnownedDomains::default();
    let mut due = |at| unowned_domains.due(&unowned, NodeId(1), &[NodeId(1)], |_| false, at).len();
    assert_eq!(due(Time::START), 1);
    assert_eq!(due(Time::from_millis(100)), 0);
    assert_eq!(due(Time::START + RETRY_DELAY), 1);
}

#[tokio::test(start_paused = true)]
async fn one_node_owns_a_domain_until_its_lease_expires() {
    let store = mem::open();
    let acquire = |node| acquire_as(&store, node);
    assert!(acquire(1).await.is_some());
    assert!(acquire(2).await.is_none());
    tokio::time::sleep(LEASE_TIME).await;
    assert!(acquire(2).await.is_some());
}

async fn acquire_as(store: &mem::MemStore, node: u64) -> Option<LeaseId> {
    acquire(store, &domain("d"), NodeId(node)).await.unwrap()
}
