use super::*;

#[test]
fn priority_outranks_timeliness_and_timeliness_orders_a_priority() {
    let order = [
        of(0, Timeliness::Resumed),
        of(0, Timeliness::InTime),
        of(0, Timeliness::Late),
        of(1, Timeliness::Resumed),
        of(1, Timeliness::InTime),
        of(1, Timeliness::Late),
        of(2, Timeliness::Resumed),
    ];
    assert!(order.is_sorted() && order.windows(2).all(|it| it[0] != it[1]), "{order:?}");
    assert_eq!(of(u8::MAX, Timeliness::Late), LOWEST);
}
