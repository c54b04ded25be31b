use super::*;

fn limit(per_s: f64, overage: f64, slack: f64) -> ColdLimit {
    let start = ColdStart::from_figures(3.0, per_s).unwrap();
    ColdLimit::new(start, ColdBounds { overage, slack })
}

/// A figure that is absent, zero or nonsense must not limit any server.
#[test]
fn phase_without_positive_figures_is_none() {
    for (duration_s, per_s) in
        [(0.0, 26.0), (3.0, 0.0), (-1.0, 26.0), (f64::NAN, 26.0), (3.0, f64::INFINITY)]
    {
        assert_eq!(ColdStart::from_figures(duration_s, per_s), None, "{duration_s} {per_s}");
    }
}

#[test]
fn bound_is_what_the_server_tolerates_with_overage_and_slack() {
    assert_eq!(limit(26.0, 1.5, 5.0).max_in_1s, 44.0);
}

/// Granter, substitute and the shares of the cut off gateways must fit under the bound,
/// also where it is close to what the servers tolerate.
#[test]
fn parts_together_stay_below_the_bound() {
    for (per_s, overage, slack) in
        [(26.0, 1.5, 5.0), (26.0, 1.0, 0.0), (26.0, 3.0, 0.0), (10.0, 1.5, 5.0), (200.0, 1.2, 5.0)]
    {
        let limit = limit(per_s, overage, slack);
        let granted = |part: f64| {
            let rate = permits::rate(limit.divided_rate() * part);
            rate.per_s + rate.capacity
        };
        let cut_off = limit.share_rate() * CUT_OFF_PART;
        let most = granted(GRANTER_PART)
            + granted(SUBSTITUTE_PART)
            + cut_off
            + SHARE_DEVIATIONS * cut_off.sqrt();
        assert!(most <= limit.max_in_1s, "{limit:?}: {most}");
    }
}
