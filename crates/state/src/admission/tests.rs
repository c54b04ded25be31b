//! Tests of the admission queue.

use super::*;

fn arrival(organisation: &str, start_by_ms: u64) -> Arrival {
    Arrival {
        organisation: organisation.into(),
        weight: 1,
        priority: Priority::Normal,
        cost: Tokens(100),
        size: Bytes(10),
        start_by: Time::from_millis(start_by_ms),
    }
}

fn queue(max_requests: usize) -> Queue<u32> {
    open(QueueBounds { max_requests, max_bytes: 1000 })
}

const FAR_DEADLINE_MS: u64 = 1_000_000;

#[test]
fn organisations_are_served_by_weight() {
    let mut queue = queue(100);
    for item in 0..20 {
        queue.offer(arrival("large", FAR_DEADLINE_MS), item, Time::START);
    }
    for item in 20..24 {
        queue.offer(arrival("small", FAR_DEADLINE_MS), item, Time::START);
    }
    let weighted = Arrival { weight: 2, ..arrival("weighted", FAR_DEADLINE_MS) };
    for item in 30..38 {
        queue.offer(weighted.clone(), item, Time::START);
    }
    let first: Vec<OrganisationId> = (0..16)
        .filter_map(|_| queue.take(Time::START).next)
        .map(|(arrival, _)| arrival.organisation)
        .collect();
    let count = |name: &str| first.iter().filter(|it| it.as_str() == name).count();
    assert_eq!((count("large"), count("small"), count("weighted")), (4, 4, 8));
}

#[test]
fn higher_class_goes_first() {
    let mut queue = queue(100);
    for (item, priority) in [(1, Priority::Low), (2, Priority::Normal), (3, Priority::High)] {
        queue.offer(Arrival { priority, ..arrival("a", FAR_DEADLINE_MS) }, item, Time::START);
    }
    let order: Vec<u32> =
        std::iter::from_fn(|| queue.take(Time::START).next.map(|(_, item)| item)).collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn full_queue_displaces_requests_of_the_largest_organisation() {
    let mut queue = queue(4);
    for item in 0..4 {
        assert!(queue.offer(arrival("large", FAR_DEADLINE_MS), item, Time::START).ticket.is_some());
    }
    let own = queue.offer(arrival("large", FAR_DEADLINE_MS), 4, Time::START);
    assert_eq!(own.refused[0].refusal, Refusal::Full);
    let small = queue.offer(arrival("small", FAR_DEADLINE_MS), 5, Time::START);
    assert!(small.ticket.is_some());
    assert_eq!((small.refused[0].item, small.refused[0].refusal), (3, Refusal::Displaced));
    assert_eq!(queue.len(), 4);
    let large_body = Arrival { size: Bytes(2000), ..arrival("small", FAR_DEADLINE_MS) };
    assert_eq!(queue.offer(large_body, 6, Time::START).ticket, None);
}

#[test]
fn rejects_at_once_requests_that_would_be_late() {
    let mut queue = queue(100);
    for item in 0..40 {
        queue.offer(arrival("large", FAR_DEADLINE_MS), item, Time::START);
    }
    // One request leaves every 100 ms.
    for step in 1..=10 {
        assert!(queue.take(Time::from_millis(step * 100)).next.is_some());
    }
    let now = Time::from_millis(1000);
    let late = queue.offer(arrival("large", 2000), 50, now);
    assert_eq!(late.refused[0].refusal, Refusal::TooLate);
    assert!(Duration::from_secs(2) < late.refused[0].retry_after);
    let small = queue.offer(arrival("small", 2000), 51, now);
    assert!(small.ticket.is_some(), "served before the rest of the large organisation");
}

#[test]
fn expired_and_removed_are_not_served() {
    let mut queue = queue(100);
    queue.offer(arrival("a", 50), 1, Time::START);
    let ticket = queue.offer(arrival("a", FAR_DEADLINE_MS), 2, Time::START).ticket.unwrap();
    queue.offer(arrival("a", FAR_DEADLINE_MS), 3, Time::START);
    assert_eq!(queue.remove(&ticket), Some(2));
    assert_eq!(queue.remove(&ticket), None);
    let taken = queue.take(Time::from_millis(100));
    assert_eq!(taken.refused[0].refusal, Refusal::Expired);
    let (arrival, item) = taken.next.unwrap();
    assert_eq!(item, 3);
    queue.put_back(arrival, item, Time::from_millis(100));
    assert_eq!(queue.take(Time::from_millis(100)).next.map(|it| it.1), Some(3));
    assert!(queue.is_empty());
}

#[test]
fn queue_that_has_not_drained_yet_accepts_a_new_organisation() {
    let mut queue = queue(100);
    for item in 0..20 {
        queue.offer(arrival("large", FAR_DEADLINE_MS), item, Time::START);
    }
    // Streams are long: none has ended in the first 300 ms.
    let now = Time::from_millis(300);
    assert!(queue.offer(arrival("small", 2000), 20, now).ticket.is_some());
    let late = queue.offer(arrival("large", 2000), 21, now);
    assert_eq!(late.refused[0].refusal, Refusal::TooLate);
}
