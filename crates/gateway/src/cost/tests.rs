use super::*;
use crate::testing::{engine, model};

const FIGURES: EngineFigures = EngineFigures {
    step_ms: 6.0,
    per_request_ms: 0.1,
    context_ms_per_k: 0.0,
    prefill_tokens_per_s: 50_000.0,
    pairs_ms_per_m: 0.0,
    chunk_tokens: 2_048.0,
    stride: 6.0,
    kv_capacity_tokens: None,
    usual_prompt_tokens: Some(1_500.0),
    usual_output_tokens: Some(100.0),
    pace: 1.0,
};

fn expect(figures: Option<EngineFigures>, stated: StatedCost) -> Option<CallCost> {
    let engine = EngineSpec { figures, ..engine(vec![model("m", 2, 0.6, 1.0)]) };
    open(Duration::from_millis(20)).expect(&engine, &"m".into(), "r", stated)
}

// Guards against any effect where the operators state no figures.
#[test]
fn cost_is_not_known_without_figures_or_means() {
    let stated = StatedCost::default();
    assert_eq!(expect(None, stated), None);
    let slow = EngineFigures { prefill_tokens_per_s: 0.0, ..FIGURES };
    assert_eq!(expect(Some(slow), stated), None);
    let unusual = EngineFigures { usual_output_tokens: None, ..FIGURES };
    assert_eq!(expect(Some(unusual), stated), None);
}

#[test]
fn request_without_stated_cost_counts_as_a_mean_one() {
    let cost = expect(Some(FIGURES), StatedCost::default()).unwrap();
    assert_eq!(cost.expected, cost.mean);
    assert_eq!(cost.figures.pace, 0.6);
    let work = RequestWork { prompt_tokens: 1_500, output_tokens: 100, event_tokens: 6 };
    assert_eq!(cost.work(), work);
}

#[test]
fn long_request_must_gain_more_to_cross_zones() {
    let crossing = |prompt_tokens| {
        let stated = StatedCost { prompt_tokens: Some(prompt_tokens), ..StatedCost::default() };
        expect(Some(FIGURES), stated).unwrap().crossing
    };
    assert!(Duration::from_millis(20) <= crossing(40));
    assert!(crossing(40) + Duration::from_millis(5) < crossing(5_900));
}
