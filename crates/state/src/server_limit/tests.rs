use super::*;

#[test]
fn only_finite_rates_from_zero_are_limits() {
    let rate = |it| StatedLimit::Rate(RequestsPerSecond(it));
    let cases = [
        (4.5, rate(4.5)),
        (0.0, rate(0.0)),
        (1e300, rate(1e300)),
        (-1.0, StatedLimit::Unreadable),
        (f64::NAN, StatedLimit::Unreadable),
        (f64::INFINITY, StatedLimit::Unreadable),
    ];
    for (number, expected) in cases {
        assert_eq!(StatedLimit::from(number), expected, "{number}");
    }
}
