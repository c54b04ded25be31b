//! Tests of retry decisions.

use super::*;

fn failed() -> FailedAttempt {
    FailedAttempt {
        class: CallClass::Idempotent,
        progress: AttemptProgress::MayHaveRun,
        attempts: 1,
        max_retries: 2,
        from_node: false,
        expected: Duration::from_millis(100),
        deadline: Time::from_millis(1000),
    }
}

#[test]
fn grants_only_safe_and_useful_retries() {
    type Case = (&'static str, fn(&mut FailedAttempt), Option<NoRetry>);
    let cases: [Case; 7] = [
        ("idempotent", |_| {}, None),
        ("may have run", |f| f.class = CallClass::AtMostOnce, Some(NoRetry::MayHaveRun)),
        (
            "not run",
            |f| {
                f.class = CallClass::AtMostOnce;
                f.progress = AttemptProgress::NotRun;
            },
            None,
        ),
        ("answering", |f| f.progress = AttemptProgress::ResponseStarted, Some(NoRetry::Answering)),
        ("from node", |f| f.from_node = true, Some(NoRetry::FromNode)),
        ("attempts", |f| f.attempts = 3, Some(NoRetry::NoAttemptsLeft)),
        ("late", |f| f.deadline = Time::from_millis(90), Some(NoRetry::DeadlineTooNear)),
    ];
    for (name, change, expected) in cases {
        let mut attempt = failed();
        change(&mut attempt);
        let res = decide(&attempt, &RetryBudget::default(), Time::START, 7);
        assert_eq!(res.err(), expected, "{name}");
    }
}

#[test]
fn retries_stay_a_share_of_successes() {
    let budget = RetryBudget::default();
    while budget.try_take() {}
    for _ in 0..500 {
        budget.add_success();
    }
    let granted = (0..500).filter(|_| budget.try_take()).count();
    assert_eq!(granted, 50);
    assert_eq!(decide(&failed(), &budget, Time::START, 7).err(), Some(NoRetry::BudgetSpent));
    budget.tick(Duration::from_secs(100));
    assert_eq!(budget.attempts_left(), 10);
}
