use super::*;

fn queue() -> PrefillQueue {
    let mut queue = PrefillQueue::default();
    queue.set_speed(QueueSpeed { prefill_rate: 50_000.0, pass_s: 0.04 });
    queue
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn prompts_add_up_and_shrink_over_the_passes_of_the_engine() {
    let mut queue = queue();
    queue.add(1_000.0, Duration::ZERO, at(1_000));
    queue.add(1_000.0, Duration::ZERO, at(1_000));
    assert_eq!(queue.tokens(), 2_000.0);
    // A pass of 40 ms and 40 ms for the prompts.
    queue.advance(at(1_080));
    assert!((500.0..800.0).contains(&queue.tokens()), "{}", queue.tokens());
    queue.advance(at(1_400));
    assert!(queue.tokens() < 50.0, "{}", queue.tokens());
}

// Guards against counting prompts of a late report as if they had just arrived.
#[test]
fn reported_prompts_have_shrunk_since_they_began() {
    let (mut late, mut early) = (queue(), queue());
    early.add(4_000.0, Duration::ZERO, at(1_000));
    early.advance(at(1_100));
    late.add(4_000.0, Duration::from_millis(100), at(1_100));
    assert!((late.tokens() - early.tokens()).abs() < 1.0, "{late:?} {early:?}");
    assert!(late.tokens() < 2_000.0);
}

#[test]
fn one_wrong_report_does_not_keep_a_server_without_requests() {
    let mut queue = queue();
    queue.add(1e12, Duration::ZERO, at(1_000));
    for ms in (1_000..8_000).step_by(50) {
        queue.advance(at(ms));
    }
    assert!(queue.tokens() < 100.0, "{}", queue.tokens());
}

#[test]
fn rate_follows_the_load_and_ends_with_it() {
    let mut queue = queue();
    for ms in (0..10_000).step_by(100) {
        queue.add(1_000.0, Duration::ZERO, at(ms));
        queue.add_remote(500.0, at(ms));
    }
    assert!((queue.tokens_per_s() - 15_000.0).abs() < 1_500.0, "{}", queue.tokens_per_s());
    assert!((queue.remote_tokens_per_s() - 5_000.0).abs() < 500.0);
    assert!(!queue.is_idle(at(10_500)));
    queue.advance(at(20_000));
    assert!(queue.tokens_per_s() < 100.0);
    assert!(queue.is_idle(at(40_000)));
}
