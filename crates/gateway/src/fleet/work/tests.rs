use super::*;

const WORK: RequestWork = RequestWork { prompt_tokens: 1_500, output_tokens: 14, event_tokens: 6 };

fn predicted() -> Option<PredictedTimes> {
    Some(PredictedTimes {
        first_event: Duration::from_millis(100),
        event_gap: Duration::from_millis(50),
        time_factor: 1.0,
        compared: Duration::from_millis(100),
        queued_tokens: 0.0,
        slowness: 1.0,
    })
}

#[test]
fn work_shrinks_with_events_and_ends_with_the_request() {
    let stats = Arc::new(BackendStats::default());
    let left = || (stats.work.unread_tokens(), stats.work.remaining_tokens());
    let mut first = stats.begin_work(WORK, Time::START);
    let second = stats.begin_work(WORK, Time::START);
    assert_eq!(left(), (3_000.0, 28.0));
    for expected in [(1_500.0, 22.0), (1_500.0, 16.0), (1_500.0, 14.0), (1_500.0, 14.0)] {
        first.record_event(Time::from_millis(100));
        assert_eq!(left(), expected, "also beyond the expected length");
    }
    drop(second);
    drop(first);
    assert_eq!(left(), (0.0, 0.0));
    assert_eq!(stats.work.begun_tokens(), 3_000);
}

// Guards against sending on to a server that is slow although few requests are there.
#[test]
fn slow_server_is_recognised_and_tried_again_later() {
    let stats = Arc::new(BackendStats::default());
    let mut request = stats.begin_work(WORK, Time::START);
    request.set_predicted(predicted());
    for at_ms in (500..2_500).step_by(200) {
        request.record_event(Time::from_millis(at_ms));
    }
    let slowness = |ms| stats.work.slowness(Time::from_millis(ms));
    assert!(2.5 < slowness(2_300), "{}", slowness(2_300));
    assert!(slowness(20_000) < 1.1);
    assert_eq!(request.time_factor(), Some(5.0));
}
