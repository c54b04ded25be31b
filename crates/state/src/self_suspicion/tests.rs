//! Cases of self-doubt.

use super::*;

enum Seen {
    Alive(usize),
    Confirmed,
}

#[test]
fn a_sudden_loss_is_doubted_until_it_lasted_and_was_confirmed() {
    use Seen::{Alive, Confirmed};
    let cases = [
        ("nothing lost", vec![(0, Alive(9)), (5, Alive(9))], false),
        ("one lost", vec![(0, Alive(9)), (5, Alive(8))], false),
        ("a third lost at once", vec![(0, Alive(9)), (5, Alive(6))], true),
        ("lost slowly", vec![(0, Alive(9)), (20, Alive(8)), (40, Alive(7)), (60, Alive(6))], false),
        ("they returned", vec![(0, Alive(9)), (5, Alive(2)), (9, Alive(9))], false),
        ("it lasts without confirmation", vec![(0, Alive(9)), (5, Alive(2)), (60, Alive(2))], true),
        (
            "confirmed too early",
            vec![(0, Alive(9)), (5, Alive(2)), (6, Confirmed), (60, Alive(2))],
            true,
        ),
        (
            "it lasts and is confirmed",
            vec![(0, Alive(9)), (5, Alive(2)), (21, Confirmed), (22, Alive(2))],
            false,
        ),
        ("two nodes, one dies", vec![(0, Alive(2)), (5, Alive(1))], false),
    ];
    for (name, events, expected) in cases {
        let mut doubt = SelfSuspicion::default();
        for (at_s, event) in events {
            let now = Time::from_millis(at_s * 1000);
            match event {
                Alive(count) => doubt.record_alive(count, now),
                Confirmed => doubt.record_store_response(now),
            }
        }
        assert_eq!(doubt.suspects_self(), expected, "{name}");
    }
}
