//! Tests of the circuit breaker.

use super::*;

#[test]
fn opens_probes_and_closes() {
    let breaker = Breaker::default();
    let at = Time::from_millis;
    for _ in 1..FAILURES_TO_OPEN {
        assert!(!breaker.add(at(0), false));
        assert_eq!(breaker.enter(at(0)), Pass::Closed);
    }
    assert!(breaker.add(at(0), false));
    assert_eq!(breaker.enter(at(100)), Pass::Open { until: at(500) });
    assert_eq!(breaker.enter(at(500)), Pass::Probe);
    assert!(matches!(breaker.enter(at(500)), Pass::Open { .. }));
    assert!(!breaker.add(at(600), false));
    assert_eq!(breaker.check(at(1000)), Pass::Open { until: at(1600) });
    assert_eq!(breaker.enter(at(1600)), Pass::Probe);
    breaker.add(at(1700), true);
    assert_eq!(breaker.enter(at(1700)), Pass::Closed);
}
