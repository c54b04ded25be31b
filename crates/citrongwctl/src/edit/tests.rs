//! Tests of profile edits.

use super::*;

fn base() -> Profile {
    profile(&"p".into(), None, None, &["model=m".parse().unwrap()]).unwrap()
}

#[test]
fn pairs_set_and_remove_fields() {
    let pairs = ["deadline_ms=30000", "priority=high", "adapter=crown"];
    let pairs: Vec<Pair> = pairs.iter().map(|it| it.parse().unwrap()).collect();
    let edited = profile(&"p".into(), Some(&base()), None, &pairs).unwrap();
    assert_eq!(edited.deadline_ms, 30_000);
    assert_eq!(edited.adapter, Some("crown".into()));
    let lines = differences(&base(), &edited);
    let expected = [
        "adapter: (none) -> \"crown\"",
        "deadline_ms: 60000 -> 30000",
        "priority: \"normal\" -> \"high\"",
    ];
    assert_eq!(lines, expected);

    let back = ["deadline_ms=", "priority=", "adapter="].map(|it| it.parse().unwrap());
    assert_eq!(profile(&"p".into(), Some(&edited), None, &back).unwrap(), base());
}

#[test]
fn invalid_fields_are_named_in_the_error() {
    let cases = [("deadlin_ms=1", "deadlin_ms"), ("retries=many", "many"), ("model=", "model")];
    for (pair, expected) in cases {
        let pair: Pair = pair.parse().unwrap();
        let report = profile(&"p".into(), Some(&base()), None, &[pair]).unwrap_err();
        let message = report.current_context().to_string();
        assert!(message.contains(expected), "{message}");
    }
}
