//! Tests of edits, including lost responses and races.

use citrongw_fakes::kv::mem::{self, Fault, MemStore};
use citrongw_state::config::Organisation;

use super::*;

fn config(weight: u32) -> Config {
    let organisation = Organisation { id: "grower".into(), weight, limit_requests_per_s: None };
    Config { organisations: vec![organisation], ..Config::default() }
}

fn request(change: u128, from: Option<Revision>, weight: u32) -> EditRequest {
    EditRequest {
        change: ChangeId(change),
        from,
        operator: "maria".into(),
        at_unix_ms: 0,
        config: config(weight),
        replaces_lost: None,
    }
}

async fn commit(store: &MemStore, change: u128, from: Option<Revision>) -> Revision {
    let weight = u32::try_from(change).unwrap();
    match propose(store, None, request(change, from, weight)).await {
        EditResult::Committed { revision } => revision,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_conflict_shows_both_sides() {
    let store = mem::open();
    let first = commit(&store, 1, None).await;
    let held = VersionedConfig { revision: first, config: config(1) };
    let second = commit(&store, 2, Some(first)).await;
    let res = propose(&store, Some(&held), request(3, Some(first), 3)).await;
    let EditResult::Conflict(conflict) = res else { panic!("{res:?}") };
    assert_eq!(conflict.current, Some(second));
    assert_eq!(conflict.made_by.map(|it| it.change), Some(ChangeId(2)));
    assert!(conflict.yours[0].after.as_ref().unwrap().contains("\"weight\":3"));
    assert!(conflict.theirs[0].after.as_ref().unwrap().contains("\"weight\":2"));
}

#[tokio::test(start_paused = true)]
async fn a_change_whose_response_was_lost_is_looked_up() {
    let store = mem::open();
    let first = commit(&store, 1, None).await;
    let second = commit(&store, 2, Some(first)).await;
    // A repeated change is found, also when a later one was committed after it.
    assert_eq!(commit(&store, 1, None).await, first);
    assert_eq!(look_up(&store, ChangeId(2)).await, Ok(Some(second)));
    assert_eq!(look_up(&store, ChangeId(9)).await, Ok(None));
    store.set_fault(Fault::Down);
    let res = propose(&store, None, request(4, Some(second), 4)).await;
    assert!(matches!(res, EditResult::NotMade { .. }), "{res:?}");
}

#[tokio::test(start_paused = true)]
async fn history_is_kept_in_order_and_bounded() {
    let store = mem::open();
    let mut from = None;
    for change in 1..=(MAX_HISTORY as u128 + 5) {
        from = Some(commit(&store, change, from).await);
    }
    let history = history(&store).await.unwrap();
    assert_eq!(history.last().and_then(|it| it.revision), from);
    assert!(history.len() <= MAX_HISTORY + 1);
    assert!(history.windows(2).all(|it| it[0].revision < it[1].revision));
    let bodies = store.inspect(|core| core.list(&"citrongw/body/".into()));
    assert!(bodies.entries.len() <= BODIES_KEPT + 1);
}
