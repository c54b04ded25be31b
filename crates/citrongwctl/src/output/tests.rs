//! Tests of table formatting.

use super::*;

#[test]
fn columns_are_as_wide_as_their_widest_cell() {
    let mut table = table(&["id", "state"]);
    table.add(["first".to_owned(), "ok".to_owned()]);
    assert_eq!(table.text(), "id     state\nfirst  ok\n");
}
