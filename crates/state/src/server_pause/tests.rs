use super::*;

const SECOND: Duration = Duration::from_secs(1);
const FIRST: Incarnation = Incarnation(1);
const NEXT: Incarnation = Incarnation(2);

#[test]
fn only_finite_times_above_zero_are_pauses() {
    let cases = [
        (2.0, StatedPause::For(2 * SECOND)),
        (0.25, StatedPause::For(SECOND / 4)),
        (0.0, StatedPause::None),
        (-1.0, StatedPause::Unreadable),
        (f64::NAN, StatedPause::Unreadable),
        (f64::INFINITY, StatedPause::Unreadable),
        (7_200.0, StatedPause::For(7_200 * SECOND)),
        (1e300, StatedPause::For(MAX_PAUSE)),
    ];
    for (seconds, expected) in cases {
        assert_eq!(StatedPause::from(seconds), expected, "{seconds}");
    }
}

#[test]
fn longest_of_several_pauses_counts() {
    let (short, long) = (StatedPause::For(SECOND), StatedPause::For(3 * SECOND));
    let cases = [
        ([short, long], long),
        ([long, StatedPause::None], long),
        ([StatedPause::Unreadable, short], short),
        ([StatedPause::None, StatedPause::Unreadable], StatedPause::Unreadable),
        ([StatedPause::None, StatedPause::None], StatedPause::None),
    ];
    for ([a, b], expected) in cases {
        assert_eq!(a.or_longer(b), expected, "{a} and {b}");
        assert_eq!(b.or_longer(a), expected, "{b} and {a}");
    }
}

#[test]
fn pause_lasts_for_its_time_and_at_most_a_tenth_longer() {
    for (random, until_ms) in [(0.0, 2_000), (1.0, 2_200)] {
        let mut pauses = ServerPauses::default();
        pauses.record(&"i-1".into(), FIRST, 2 * SECOND, Time::START, random);
        let left = |at_ms| pauses.left(&"i-1".into(), FIRST, Time::from_millis(at_ms));
        assert_eq!(left(until_ms - 1), Some(Duration::from_millis(1)));
        assert_eq!(left(until_ms), None);
    }
}

#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let mut pauses = ServerPauses::default();
    pauses.record(&"i-1".into(), FIRST, 5 * SECOND, Time::START, 0.0);
    pauses.record(&"i-1".into(), FIRST, SECOND, Time::START, 0.0);
    assert_eq!(pauses.left(&"i-1".into(), FIRST, Time::START), Some(5 * SECOND));
}

#[test]
fn pause_ends_with_the_incarnation_of_its_server() {
    let mut pauses = ServerPauses::default();
    let id = "i-1".into();
    pauses.record(&id, FIRST, 5 * SECOND, Time::START, 0.0);
    assert_eq!(pauses.left(&id, NEXT, Time::START), None);
    pauses.record(&id, NEXT, SECOND, Time::START, 0.0);
    // A response of the former incarnation, read late.
    pauses.record(&id, FIRST, 9 * SECOND, Time::START, 0.0);
    assert_eq!(pauses.left(&id, NEXT, Time::START), Some(SECOND));
}
