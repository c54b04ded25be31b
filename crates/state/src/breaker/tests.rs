//! Cases of the breaker.

use super::*;

#[test]
fn opens_probes_and_closes() {
    let breaker = Breaker::default();
    let at = Time::from_millis;
    for _ in 1..FAILURES_TO_OPEN {
        assert!(!breaker.record_result(at(0), false));
        assert_eq!(breaker.try_acquire(at(0)), BreakerState::Closed);
    }
    assert!(breaker.record_result(at(0), false));
    assert_eq!(breaker.try_acquire(at(100)), BreakerState::Open { until: at(500) });
    assert_eq!(breaker.try_acquire(at(500)), BreakerState::Probe);
    assert!(matches!(breaker.try_acquire(at(500)), BreakerState::Open { .. }));
    assert!(!breaker.record_result(at(600), false));
    assert_eq!(breaker.state(at(1000)), BreakerState::Open { until: at(1600) });
    assert_eq!(breaker.try_acquire(at(1600)), BreakerState::Probe);
    breaker.record_result(at(1700), true);
    assert_eq!(breaker.try_acquire(at(1700)), BreakerState::Closed);
}
