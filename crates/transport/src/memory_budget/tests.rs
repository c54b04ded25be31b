use std::time::Duration;

use super::{account::OpenAccount, *};

const KB: usize = 1024;

fn budget(max_kb: usize) -> (Arc<MemoryBudget>, PortId) {
    let budget = Arc::new(open(Some(max_kb * KB)));
    let port = budget.add_port();
    (budget, port)
}

/// Connection that holds `kb` and waits for its peer from now on.
fn waiting(budget: &Arc<MemoryBudget>, port: PortId, kb: usize) -> (OpenAccount, Charge) {
    let opened = account::open(budget, port);
    let charge = opened.account().charge_held(MemoryKind::Body, kb * KB);
    opened.account().set_waiting(opened.account().now_ms(), false);
    (opened, charge)
}

fn is_closed(opened: &OpenAccount) -> bool {
    opened.account().is_closed()
}

#[tokio::test]
async fn charges_are_refused_at_the_bound_and_returned_when_dropped() {
    let (budget, port) = budget(80);
    let opened = account::open(&budget, port);
    let mut held = opened.account().charge(MemoryKind::Request, 60 * KB).unwrap();
    held.grow(20 * KB).unwrap();
    assert_eq!(held.grow(1), Err(OverBudget));
    assert_eq!(budget.held_bytes(), 80 * KB, "a refused charge holds nothing");
    assert_eq!(budget.held_for(MemoryKind::Request), 80 * KB);
    drop(held);
    assert_eq!((budget.held_bytes(), budget.held_for(MemoryKind::Request)), (0, 0));
}

/// Guards against long bodies that keep out connections and short requests.
#[tokio::test]
async fn bodies_leave_a_part_to_short_requests() {
    let (budget, port) = budget(80);
    let opened = account::open(&budget, port);
    let _bodies = opened.account().charge(MemoryKind::Body, 70 * KB).unwrap();
    assert!(opened.account().charge(MemoryKind::Body, KB).is_err());
    assert!(opened.account().charge(MemoryKind::Response, KB).is_err());
    assert!(opened.account().charge(MemoryKind::Connection, 10 * KB).is_ok());
}

#[tokio::test]
async fn budget_without_a_limit_only_counts() {
    let budget = Arc::new(open(None));
    let opened = account::open(&budget, budget.add_port());
    let _held = opened.account().charge(MemoryKind::Body, usize::MAX / 16).unwrap();
    assert_eq!((budget.max_bytes(), budget.held_bytes()), (None, usize::MAX / 16));
}

#[tokio::test(start_paused = true)]
async fn connections_that_wait_for_their_peers_are_closed_under_pressure_and_no_others() {
    let (budget, port) = budget(800);
    let small = waiting(&budget, port, 10);
    let large = waiting(&budget, port, 100);
    let working = account::open(&budget, port);
    let mut charge = working.account().charge(MemoryKind::Request, 480 * KB).unwrap();
    tokio::time::advance(Duration::from_secs(2)).await;
    charge.grow(60 * KB).unwrap();
    assert!(is_closed(&large.0), "it holds most");
    assert!(!is_closed(&small.0), "closing the other one was enough");
    assert!(!is_closed(&working), "it does not wait for its peer");
    assert_eq!(budget.closed_for(CloseReason::Memory), 1);
}

#[tokio::test(start_paused = true)]
async fn connections_that_began_to_wait_shortly_before_are_kept() {
    let (budget, port) = budget(80);
    let young = waiting(&budget, port, 50);
    tokio::time::advance(MIN_WAIT - Duration::from_millis(1)).await;
    let opened = account::open(&budget, port);
    assert!(opened.account().charge(MemoryKind::Request, 40 * KB).is_err());
    assert!(!is_closed(&young.0));
    tokio::time::advance(SEARCH_INTERVAL).await;
    assert!(opened.account().charge(MemoryKind::Request, 40 * KB).is_err());
    assert!(is_closed(&young.0), "a refused charge closes it too");
}

#[tokio::test(start_paused = true)]
async fn full_port_closes_the_connection_that_waits_longest_and_idle_ones_last() {
    let (budget, port) = budget(800);
    let idle = waiting(&budget, port, 24);
    idle.0.account().set_waiting(idle.0.account().now_ms(), true);
    let other_port = waiting(&budget, budget.add_port(), 24);
    tokio::time::advance(Duration::from_secs(5)).await;
    let first = waiting(&budget, port, 24);
    tokio::time::advance(Duration::from_secs(1)).await;
    let second = waiting(&budget, port, 24);
    assert!(budget.make_room(port));
    assert!(is_closed(&first.0) && !is_closed(&second.0) && !is_closed(&idle.0));
    assert!(budget.make_room(port), "the idle connection waits long enough, the other not yet");
    assert!(is_closed(&idle.0));
    assert!(!budget.make_room(port));
    assert!(!is_closed(&other_port.0), "it has a port of its own");
}

/// Guards against a place in the list of accounts that belongs to another connection.
#[tokio::test]
async fn accounts_are_removed_in_any_order() {
    let (budget, port) = budget(800);
    let mut opened: Vec<OpenAccount> = (0..5).map(|_| account::open(&budget, port)).collect();
    for idx in [0, 2, 1, 1, 0] {
        opened.remove(idx);
        let accounts = budget.lock();
        assert_eq!(accounts.len(), opened.len());
        for it in &opened {
            assert!(accounts.iter().any(|listed| Arc::ptr_eq(listed, it.account())));
        }
    }
}
