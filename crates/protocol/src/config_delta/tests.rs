//! Tests of the difference.

use citrongw_state::config::Organisation;

use super::*;

type Weights = &'static [(&'static str, u32)];

fn config(names: Weights) -> Config {
    let organisation = |(id, weight): &(&str, u32)| Organisation {
        id: (*id).into(),
        weight: *weight,
        limit_requests_per_s: None,
    };
    Config { organisations: names.iter().map(organisation).collect(), ..Config::default() }
}

#[test]
fn applying_the_difference_yields_the_new_document() {
    let cases: [(Weights, Weights, usize); 5] = [
        (&[], &[("a", 1)], 1),
        (&[("a", 1)], &[("a", 2)], 1),
        (&[("a", 1), ("b", 1)], &[("b", 1)], 1),
        (&[("a", 1), ("b", 1)], &[("b", 2), ("c", 1)], 3),
        (&[("a", 1)], &[("a", 1)], 0),
    ];
    for (before, after, count) in cases {
        let (before, after) = (config(before), config(after));
        let changes = diff(&before, &after);
        assert_eq!(changes.len(), count);
        assert_eq!(apply(&before, &changes), Some(after));
    }
}

#[test]
fn changes_of_missing_items_are_rejected() {
    let removal = diff(&config(&[("a", 1)]), &config(&[]));
    assert_eq!(apply(&config(&[("b", 1)]), &removal), None);
}
