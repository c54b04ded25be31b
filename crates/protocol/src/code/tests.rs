//! Tests of the result codes.

use super::*;

#[test]
fn numbers_are_unique_and_ascend() {
    for pair in ResultCode::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number());
    }
    assert_eq!(ResultCode::from_number(2005), Some(ResultCode::Stopping));
    assert_eq!(ResultCode::from_number(1), None);
}

/// The table in `docs/result-codes.md` lists every code with its status and
/// outcome.
#[test]
fn the_documentation_lists_every_code() {
    let table = include_str!("../../../../docs/result-codes.md");
    for code in ResultCode::ALL {
        let row = format!(
            "| {} | {code:?} | {} | `{}` |",
            code.number(),
            code.http_status(),
            code.outcome()
        );
        assert!(table.contains(&row), "missing: {row}");
    }
}
