//! Tests of the memory budget of request bodies.

use super::*;

#[test]
fn budget_is_released() {
    let budget = BodyBudget::default();
    let mut share = budget.open_share();
    share.reserve(MAX_ALL_BODIES_BYTES).unwrap();
    let mut other = budget.open_share();
    assert_eq!(other.reserve(1), Err(ResultCode::Overloaded));
    drop((share, other));
    assert_eq!(budget.used_bytes.load(Ordering::Relaxed), 0);
    budget.open_share().reserve(1).unwrap();
}
