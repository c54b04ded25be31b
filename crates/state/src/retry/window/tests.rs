use super::*;

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };

fn pay_all(windows: &RetryWindows, nodes: usize, now: Time) -> usize {
    let service = "s".into();
    (0..10_000).take_while(|_| windows.service_budget(&service, nodes, now).try_charge()).count()
}

#[test]
fn retries_stay_within_ratio_and_slack() {
    let windows = open(LIMITS);
    let now = Time::from_millis(5_000);
    for _ in 0..100 {
        windows.add_request(&"s".into(), now);
    }
    assert_eq!(pay_all(&windows, 1, now), 56, "0.8 of 100 x 0.2 + 50");
    assert_eq!(pay_all(&windows, 1, now), 0);
    assert!(!windows.service_budget(&"s".into(), 1, now).try_charge());
}

#[test]
fn services_have_budgets_of_their_own() {
    let windows = open(LIMITS);
    assert_eq!(pay_all(&windows, 1, Time::START), 40);
    assert!(windows.service_budget(&"other".into(), 1, Time::START).try_charge());
}

#[test]
fn nodes_share_the_slack() {
    let nodes: Vec<RetryWindows> = (0..10).map(|_| open(LIMITS)).collect();
    let paid: usize = nodes.iter().map(|it| pay_all(it, nodes.len(), Time::START)).sum();
    assert!(paid <= 50, "{paid}");
}

#[test]
fn nothing_is_saved_up_and_what_was_paid_comes_back_after_the_window() {
    let windows = open(LIMITS);
    assert_eq!(pay_all(&windows, 1, Time::from_millis(3_600_000)), 40);
    let mut paid = Vec::new();
    for second in 0..30 {
        paid.push(pay_all(&windows, 1, Time::from_millis(3_600_000 + second * 1_000)));
    }
    for span in paid.windows(10) {
        assert!(span.iter().sum::<usize>() <= 50, "{paid:?}");
    }
    assert!(0 < paid.iter().sum::<usize>());
}
