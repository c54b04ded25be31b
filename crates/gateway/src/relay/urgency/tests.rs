use super::*;

#[test]
fn priority_outranks_timeliness_and_timeliness_orders_a_priority() {
    let order = [
        of(0, Standing::Resumed),
        of(0, Standing::InTime),
        of(0, Standing::Late),
        of(1, Standing::Resumed),
        of(1, Standing::InTime),
        of(1, Standing::Late),
        of(2, Standing::Resumed),
    ];
    assert!(order.is_sorted() && order.windows(2).all(|it| it[0] != it[1]), "{order:?}");
    assert_eq!(of(u8::MAX, Standing::Late), LOWEST);
}
