use super::*;
use crate::{
    instance::InstanceEntry,
    testing::{engine, entry, gateway_config, member, model, view},
};

fn build(old: &Fleet, entries: Vec<InstanceEntry>) -> Fleet {
    let config = gateway_config(engine(vec![model("m", 2, 1.0, 1.0)]));
    old.next(&config, &view(entries), &AnnouncedReplicas::default())
}

fn open_heads(entries: Vec<InstanceEntry>) -> Vec<String> {
    let fleet = build(&Fleet::default(), entries);
    let pool = fleet.pool(&"engine".into());
    let replicas = pool.and_then(|it| it.replicas.get(&"m".into()));
    replicas.into_iter().flatten().map(|it| it.id.to_string()).collect()
}

#[test]
fn complete_replica_takes_requests_at_its_head() {
    assert_eq!(open_heads(vec![member("b", 7, 1, 1), member("a", 7, 1, 0)]), ["a"]);
}

#[test]
fn replica_takes_no_requests_while_a_member_is_elsewhere() {
    let head = || member("a", 7, 2, 0);
    assert!(open_heads(vec![head()]).is_empty(), "member not listed");
    assert!(open_heads(vec![head(), member("b", 7, 1, 1)]).is_empty(), "member of an old epoch");
    assert!(open_heads(vec![head(), member("b", 8, 2, 1)]).is_empty(), "member of another replica");
    assert!(open_heads(vec![head(), member("b", 7, 2, 0)]).is_empty(), "two members with one rank");
}

#[test]
fn replica_takes_no_requests_unless_its_head_is_open_and_not_leaving() {
    for state in [MemberState::Joining, MemberState::Ready, MemberState::Closing] {
        let mut head = member("a", 7, 1, 0);
        head.membership.as_mut().unwrap().state = state;
        assert!(open_heads(vec![head, member("b", 7, 1, 1)]).is_empty(), "{state}");
    }
    let leaving = InstanceEntry { leaving: true, ..member("a", 7, 1, 0) };
    assert!(open_heads(vec![leaving, member("b", 7, 1, 1)]).is_empty());
}

#[test]
fn plain_server_takes_requests_until_it_leaves() {
    let leaving = InstanceEntry { leaving: true, ..entry("b", "plain") };
    let fleet = build(&Fleet::default(), vec![entry("a", "plain"), leaving, entry("c", "unknown")]);
    let servers = &fleet.pool(&"plain".into()).unwrap().servers;
    assert_eq!(servers.iter().map(|it| it.id.as_str()).collect::<Vec<_>>(), ["a"]);
    assert!(fleet.pool(&"unknown".into()).is_none());
}

#[test]
fn statistics_of_a_server_are_kept_across_snapshots_but_not_across_incarnations() {
    let first = build(&Fleet::default(), vec![entry("a", "plain")]);
    let server = |fleet: &Fleet| Arc::clone(&fleet.pool(&"plain".into()).unwrap().servers[0]);
    server(&first).stats.suspect_until(Time::from_millis(50));
    let second = build(&first, vec![entry("a", "plain")]);
    assert!(server(&second).stats.is_suspect(Time::START));
    let restarted = InstanceEntry { incarnation: Incarnation(2), ..entry("a", "plain") };
    let third = build(&second, vec![restarted]);
    assert!(!server(&third).stats.is_suspect(Time::START));
}

#[test]
fn estimate_adds_the_requests_sent_since_the_server_reported_its_load() {
    let stats = Arc::new(BackendStats::default());
    let now = Time::from_millis(1_000);
    stats.record_load(now, ServerLoad { running: 5, waiting: 2, slots: 8 });
    let request = stats.begin_request();
    assert_eq!(stats.estimate_load(now, 0.0).requests, 8.0);
    assert_eq!(stats.estimate_load(now + MAX_LOAD_AGE * 2, 0.0).requests, 1.0);
    assert_eq!(
        stats.estimate_load(now + MAX_LOAD_AGE * 2, 3.0).requests,
        4.0,
        "with those of other nodes"
    );
    drop(request);
    assert_eq!(stats.estimate_load(now + MAX_LOAD_AGE * 2, 0.0).requests, 0.0);
}

#[tokio::test(start_paused = true)]
async fn server_that_is_marked_up_again_does_not_count_as_down() {
    let stats = BackendStats::default();
    let wait = || tokio::time::timeout(Duration::from_secs(1), stats.wait_until_down());
    assert!(wait().await.is_err());
    stats.mark_down();
    assert!(wait().await.is_ok());
    stats.mark_up();
    assert!(wait().await.is_err());
}

/// Guards against a server that counts as returned from an evacuation without one, and
/// against a return that later snapshots forget.
#[test]
fn return_after_an_evacuation_is_kept_with_the_server() {
    let stats = BackendStats::default();
    assert_eq!(stats.taking_since(), None);
    stats.set_taking_since(Time::from_millis(7_000));
    stats.mark_up();
    assert_eq!(stats.taking_since(), Some(Time::from_millis(7_000)));
}
