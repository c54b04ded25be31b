use super::*;

pub(crate) const FIGURES: EngineFigures = EngineFigures {
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

fn cost(prompt_tokens: f64) -> ExpectedCost {
    ExpectedCost { prompt_tokens, output_tokens: 100.0, output_spread: 100.0 }
}

fn work(requests: f64, queued_tokens: f64) -> ServerWork {
    ServerWork {
        requests,
        slots: 30.0,
        queued_tokens,
        tokens_per_s: 0.0,
        remaining_output_tokens: 50.0,
    }
}

fn first_event_ms(figures: &EngineFigures, prompt: f64, work: &ServerWork) -> f64 {
    figures.predict(&cost(prompt), &cost(1_500.0), work).first_event_ms
}

// Guards against a choice by free slots, which sees no difference between these servers.
#[test]
fn queued_prompts_count_for_more_than_running_requests() {
    let idle = first_event_ms(&FIGURES, 1_500.0, &work(5.0, 0.0));
    let queued = first_event_ms(&FIGURES, 1_500.0, &work(5.0, 5_000.0));
    let busy = first_event_ms(&FIGURES, 1_500.0, &work(15.0, 0.0));
    assert!((100.0..130.0).contains(&(queued - idle)), "{idle} {queued}");
    assert!(busy - idle < 20.0, "{idle} {busy}");
}

#[test]
fn request_beyond_the_slots_waits_for_one() {
    let free = first_event_ms(&FIGURES, 1_500.0, &work(22.0, 0.0));
    let beyond = first_event_ms(&FIGURES, 1_500.0, &work(36.0, 0.0));
    // A slot is free every 100 / 6 passes of 54 ms / 30.
    let expected = 7.0 * 100.0 / 6.0 * 54.0 / 30.0;
    assert!((beyond - free - expected).abs() < 15.0, "{free} {beyond} {expected}");
}

// Guards against taking a server for free whose last slots others may have taken.
#[test]
fn wait_for_a_slot_grows_before_the_last_one_is_taken() {
    let times =
        [20.0, 27.0, 29.0, 31.0].map(|it| first_event_ms(&FIGURES, 1_500.0, &work(it, 0.0)));
    let steps = [times[1] - times[0], times[2] - times[1], times[3] - times[2]];
    assert!(steps[0] < steps[1] && steps[1] < steps[2], "{steps:?}");
}

#[test]
fn pace_of_the_model_scales_all_times() {
    let slow = EngineFigures { pace: 2.0, ..FIGURES };
    let pairs = EngineFigures { pairs_ms_per_m: 3.0, context_ms_per_k: 0.1, ..FIGURES };
    let slow_pairs = EngineFigures { pace: 2.0, ..pairs };
    for (figures, slow) in [(FIGURES, slow), (pairs, slow_pairs)] {
        let work = work(32.0, 3_000.0);
        let ratio =
            first_event_ms(&slow, 2_000.0, &work) / first_event_ms(&figures, 2_000.0, &work);
        assert!((ratio - 2.0).abs() < 1e-9, "{ratio}");
    }
}

#[test]
fn prediction_is_finite_when_more_prompts_arrive_than_the_engine_prefills() {
    let work = ServerWork { tokens_per_s: 1e9, ..work(1_000.0, 1e6) };
    assert!(first_event_ms(&FIGURES, 5_900.0, &work).is_finite());
    let speed = FIGURES.queue_speed(20.0, &cost(1_500.0));
    assert!(FIGURES.mean_queued_tokens(1e9, &speed).is_finite());
}

#[test]
fn contexts_that_do_not_fit_take_slots() {
    let figures = EngineFigures { kv_capacity_tokens: Some(16_000.0), ..FIGURES };
    assert_eq!(figures.usable_slots(30.0, &cost(1_500.0)), 10.0);
    assert_eq!(FIGURES.usable_slots(30.0, &cost(1_500.0)), 30.0);
}

#[test]
fn figures_that_give_no_time_are_not_used() {
    assert!(FIGURES.are_usable());
    assert!(!EngineFigures { step_ms: 0.0, ..FIGURES }.are_usable());
    assert!(!EngineFigures { prefill_tokens_per_s: f64::NAN, ..FIGURES }.are_usable());
    assert!(!EngineFigures { per_request_ms: -1.0, ..FIGURES }.are_usable());
}
