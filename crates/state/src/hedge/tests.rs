//! Cases of hedges.

use super::*;

#[test]
fn hedges_only_what_may_run_twice() {
    let first = FirstAttempt {
        class: CallClass::Idempotent,
        allowed: true,
        from_node: false,
        suspected: false,
        sent_at: Time::from_millis(1000),
        first_token_p95: Duration::from_millis(300),
        deadline: Time::from_millis(2000),
    };
    type Case = (&'static str, fn(&mut FirstAttempt), Result<Time, NoHedge>);
    let cases: [Case; 7] = [
        ("idempotent", |_| {}, Ok(Time::from_millis(1300))),
        ("short", |f| f.first_token_p95 = Duration::ZERO, Ok(Time::from_millis(1050))),
        ("at-most-once", |f| f.class = CallClass::AtMostOnce, Err(NoHedge::AtMostOnce)),
        ("profile", |f| f.allowed = false, Err(NoHedge::NotAllowed)),
        ("from node", |f| f.from_node = true, Err(NoHedge::FromNode)),
        ("suspected", |f| f.suspected = true, Err(NoHedge::Suspected)),
        ("late", |f| f.deadline = Time::from_millis(1300), Err(NoHedge::DeadlineTooNear)),
    ];
    for (name, change, expected) in cases {
        let mut attempt = first;
        change(&mut attempt);
        assert_eq!(plan(&attempt), expected, "{name}");
    }
}
