use super::*;

#[test]
fn delays_double_up_to_the_limit_and_start_over() {
    let mut backoff = open(Duration::from_millis(100), Duration::from_millis(300));
    for full in [100, 200, 300, 300] {
        let (delay, full) = (backoff.next_delay(), Duration::from_millis(full));
        assert!(full.mul_f64(0.75) <= delay && delay <= full, "{delay:?}");
    }
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(100));
}
