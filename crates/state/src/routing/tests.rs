//! Cases of the choice.

use std::time::Duration;

use super::*;
use crate::id::{Fingerprint, ReplicaId};

fn group(len: u32) -> Group {
    Group::of((0..len).map(|idx| (ReplicaId(u64::from(idx) + 1), Slot(idx))))
}

fn request() -> RouteRequest {
    RouteRequest { prompt_tokens: 0, typical_load: 10.0, nodes: 10 }
}

fn look(running: u32) -> ReplicaView {
    let load = LoadView {
        running,
        report_age: Some(Duration::ZERO),
        own_limit: u32::MAX,
        ..LoadView::default()
    };
    ReplicaView { load, ..ReplicaView::default() }
}

#[test]
fn homes_are_distinct_and_the_same_everywhere() {
    for len in [1, 2, 5, 70] {
        let group_once = group(len);
        let homes = group_once.homes(PrefixHash(7), Fingerprint(9));
        assert_eq!(homes.slots().len(), MAX_HOMES.min(len as usize), "{len}");
        let mut sorted = homes.slots().to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(sorted.len(), homes.slots().len(), "{len}");
        let again = group(len);
        let again = again.homes(PrefixHash(7), Fingerprint(9));
        assert_eq!(homes.slots(), again.slots());
    }
}

#[test]
fn selects_by_health_then_wait() {
    type Case = (&'static str, fn(usize) -> ReplicaView, Result<(usize, Reason), NoChoice>);
    let until = Time::from_millis(5);
    let cases: [Case; 7] = [
        ("equal", |_| look(10), Ok((0, Reason::PrefixHome))),
        ("home busy", |rank| look(if rank == 0 { 14 } else { 2 }), Ok((1, Reason::SmallerWait))),
        (
            "home overloaded",
            |rank| look([40, 9, 3, 0, 0, 0, 0, 0][rank]),
            Ok((2, Reason::SmallerWait)),
        ),
        (
            "all unusable",
            |_| ReplicaView { health: Health::Unusable, ..look(0) },
            Err(NoChoice::NoneUsable),
        ),
        (
            "one newly dead",
            |rank| match rank {
                0 => ReplicaView {
                    health: Health::NewlyDead { settled_at: Time::from_millis(5) },
                    ..look(0)
                },
                _ => look(20),
            },
            Ok((1, Reason::OnlyCandidate)),
        ),
        (
            "both newly dead",
            |rank| match rank {
                0 | 1 => ReplicaView {
                    health: Health::NewlyDead { settled_at: Time::from_millis(5) },
                    ..look(0)
                },
                _ => look(0),
            },
            Err(NoChoice::Settle { until }),
        ),
        (
            "only stragglers",
            |_| ReplicaView { health: Health::Ejected, ..look(0) },
            Ok((0, Reason::StragglerForWant)),
        ),
    ];
    let group = group(20);
    let homes = group.homes(PrefixHash(1), Fingerprint(2));
    for (name, seen, expected) in cases {
        let rank = |slot| homes.slots().iter().position(|it| *it == slot).unwrap_or_default();
        let res = select(&homes, &request(), |slot| seen(rank(slot)));
        assert_eq!(res.map(|it| (rank(it.slot), it.reason)), expected, "{name}");
    }
}

#[test]
fn stale_report_gives_way_to_the_typical_load() {
    let aged = |age_s| LoadView { report_age: Some(Duration::from_secs(age_s)), ..look(0).load };
    let fresh = estimate_load(&aged(0), &request());
    let stale = estimate_load(&aged(200), &request());
    assert!(fresh < 0.1, "{fresh}");
    assert!((stale - 10.0).abs() < 0.1, "{stale}");
}

#[test]
fn counts_what_the_other_nodes_sent_alike() {
    let load =
        LoadView { own_in_flight: 3, own_in_flight_at_report: 1, running: 5, ..look(0).load };
    let estimate = estimate_load(&load, &request());
    assert!((estimate - 15.0).abs() < 0.1, "{estimate}");
}
