use super::*;
use crate::request_cost::tests::FIGURES;

fn key(route: &str) -> CostKey {
    CostKey::new(&"m".into(), route)
}

fn stated(prompt_tokens: u32, output_tokens: u32) -> StatedCost {
    StatedCost {
        prompt_tokens: Some(prompt_tokens),
        max_output_tokens: Some(400),
        output_tokens: Some(output_tokens),
    }
}

#[test]
fn mean_is_stated_until_it_is_learned() {
    let mut learned = LearnedCosts::default();
    let mean = learned.mean(key("r"), &FIGURES).unwrap();
    assert_eq!((mean.prompt_tokens, mean.output_tokens), (1_500.0, 100.0));
    for _ in 0..MIN_RESPONSES {
        learned.record(key("r"), stated(300, 10), 20.0, None, Time::START);
    }
    let mean = learned.mean(key("r"), &FIGURES).unwrap();
    assert!((mean.prompt_tokens - 300.0).abs() < 1e-9 && (mean.output_tokens - 20.0).abs() < 1e-9);
    assert!(mean.output_spread < 1e-3);
    assert_eq!(learned.mean(key("other"), &FIGURES).unwrap().prompt_tokens, 1_500.0);
}

#[test]
fn nothing_is_assumed_without_figures_and_responses() {
    let unknown = EngineFigures { usual_prompt_tokens: None, usual_output_tokens: None, ..FIGURES };
    assert_eq!(LearnedCosts::default().mean(key("r"), &unknown), None);
}

// Guards against trusting estimates that are far off for a whole route.
#[test]
fn estimates_of_callers_are_corrected_within_bounds() {
    let mut learned = LearnedCosts::default();
    let mean = learned.mean(key("r"), &FIGURES).unwrap();
    let expect = |learned: &LearnedCosts| learned.expect(key("r"), stated(800, 50), &mean);
    assert_eq!(expect(&learned).output_tokens, 50.0);
    for _ in 0..200 {
        learned.record(key("r"), stated(800, 50), 100.0, None, Time::START);
    }
    assert!((expect(&learned).output_tokens - 100.0).abs() < 1.0);
    for _ in 0..2_000 {
        learned.record(key("r"), stated(800, 1), 1e6, None, Time::START);
    }
    assert!((expect(&learned).output_tokens - 250.0).abs() < 1.0);
    let hinted = StatedCost { max_output_tokens: Some(30), ..stated(800, 50) };
    assert_eq!(learned.expect(key("r"), hinted, &mean).output_tokens, 30.0);
}

#[test]
fn memory_is_bounded_and_the_newest_routes_are_kept() {
    let mut learned = LearnedCosts::default();
    for idx in 0..3 * MAX_KEYS as u64 {
        let now = Time::from_millis(idx);
        learned.record(key(&idx.to_string()), stated(1, 1), 1.0, None, now);
    }
    assert_eq!(learned.averages.len(), MAX_KEYS);
    assert!(learned.averages.contains_key(&key(&(3 * MAX_KEYS - 1).to_string())));
}

#[test]
fn factor_between_predicted_and_observed_times_is_learned_within_bounds() {
    let mut learned = LearnedCosts::default();
    assert_eq!(learned.time_factor(key("r")), 1.0);
    for _ in 0..200 {
        learned.record(key("r"), stated(800, 50), 100.0, Some(1.5), Time::START);
    }
    assert!((learned.time_factor(key("r")) - 1.5).abs() < 0.01);
    for _ in 0..2_000 {
        learned.record(key("r"), stated(800, 50), 100.0, Some(1e9), Time::START);
    }
    assert!(learned.time_factor(key("r")) <= 4.0);
}
