//! Plays loads of many gateways in virtual time, before engines whose figures are known,
//! and compares the choice by cost with others.

#[path = "choice_by_cost/engine.rs"]
mod engine;
#[path = "choice_by_cost/fleet.rs"]
mod fleet;
#[path = "choice_by_cost/load.rs"]
mod load;

use std::{thread, time::Duration};

use citrongw_state::request_cost::EngineFigures;

use self::{
    fleet::Placement,
    load::{Load, Outcome},
};

const FIGURES: EngineFigures = EngineFigures {
    step_ms: 5.95,
    per_request_ms: 0.1,
    context_ms_per_k: 0.0,
    prefill_tokens_per_s: 50_700.0,
    pairs_ms_per_m: 0.0,
    chunk_tokens: 2_048.0,
    stride: 6.0,
    kv_capacity_tokens: None,
    usual_prompt_tokens: Some(1_640.0),
    usual_output_tokens: Some(97.0),
    pace: 1.0,
};

/// 89 gateways before 6 replicas with long prompts, a third of whose slots are taken.
const LONG_PROMPTS: Load = Load {
    figures: FIGURES,
    slots: 30,
    replicas_per_zone: 2,
    gateways_per_zone: 30,
    zone_requests_per_s: &[21.0, 21.0, 21.0],
    zone_delay: Duration::from_micros(4_900),
    prompt_tokens: (1_640.0, 5_900.0),
    events: (25.0, 3.0),
    first_kind: 0.6,
    target: Duration::from_millis(300),
    slow_every: 0,
    slow_factor: 1.0,
    hint_error: 0.5,
    lost_reports: 0.0,
    older_every: 0,
    length: Duration::from_secs(30),
    seed: 1,
};

/// The same with the traffic uneven.
const UNEVEN_ZONES: Load = Load { zone_requests_per_s: &[40.0, 15.0, 8.0], ..LONG_PROMPTS };

/// 122 gateways before 36 replicas with short prompts.
const MANY_REPLICAS: Load = Load {
    figures: EngineFigures {
        step_ms: 7.8,
        per_request_ms: 0.095,
        prefill_tokens_per_s: 45_900.0,
        usual_prompt_tokens: Some(714.0),
        usual_output_tokens: Some(168.0),
        pace: 0.6,
        ..FIGURES
    },
    slots: 20,
    replicas_per_zone: 12,
    gateways_per_zone: 41,
    zone_requests_per_s: &[180.0, 150.0, 110.0],
    zone_delay: Duration::from_micros(500),
    prompt_tokens: (714.0, 5_900.0),
    events: (28.0, 28.0),
    target: Duration::from_millis(250),
    length: Duration::from_secs(12),
    ..LONG_PROMPTS
};

/// Seeds that each load is played with.
const SEEDS: [u64; 2] = [1, 2];

/// Plays a load with all seeds.
fn play(load: Load, placement: Placement) -> Vec<Outcome> {
    let plays =
        SEEDS.map(|seed| thread::spawn(move || fleet::play(&Load { seed, ..load }, placement)));
    let outcomes: Vec<Outcome> = plays.into_iter().map(|it| it.join().unwrap()).collect();
    println!("{placement:?}: {}", outcomes[0]);
    outcomes
}

fn in_time(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().map(|it| it.in_time).sum::<f64>() / outcomes.len() as f64
}

/// Checks that more requests are in time than with the choice by requests.
fn check_in_time(load: Load) {
    let by_cost = in_time(&play(load, Placement::ByCost));
    let by_requests = in_time(&play(load, Placement::ByRequests));
    assert!(by_requests < by_cost, "in time {by_cost} by cost, {by_requests} by requests");
}

/// Checks that 9 in 10 callers wait no longer than with the choice by requests.
fn check_p90(load: Load) {
    let by_cost = play(load, Placement::ByCost);
    let by_requests = play(load, Placement::ByRequests);
    for (by_cost, by_requests) in by_cost.iter().zip(&by_requests) {
        assert!(by_cost.p90 <= by_requests.p90, "{by_cost} by cost, {by_requests} by requests");
    }
}

// Guards against keeping requests in a zone whose replicas have long prompts waiting.
#[test]
fn long_prompts_are_in_time_more_often_than_by_requests() {
    check_in_time(LONG_PROMPTS);
    for placement in [Placement::LeastOutstanding, Placement::AllKnowing, Placement::Random] {
        play(LONG_PROMPTS, placement);
    }
}

#[test]
fn zone_with_most_of_the_traffic_uses_the_replicas_of_others() {
    check_in_time(UNEVEN_ZONES);
}

// Guards against gateways that together choose the replica that looked idle.
#[test]
fn many_gateways_do_not_wait_longer_before_many_replicas() {
    check_p90(MANY_REPLICAS);
    check_in_time(MANY_REPLICAS);
    for placement in [Placement::LeastOutstanding, Placement::AllKnowing, Placement::Random] {
        play(MANY_REPLICAS, placement);
    }
}

#[test]
fn slow_replicas_are_avoided() {
    check_in_time(Load { slow_every: 6, slow_factor: 3.0, ..LONG_PROMPTS });
    check_in_time(Load { slow_every: 6, slow_factor: 3.0, ..MANY_REPLICAS });
}

#[test]
fn lost_reports_lose_part_of_the_gain_only() {
    check_in_time(Load { lost_reports: 0.3, ..LONG_PROMPTS });
}

#[test]
fn estimates_that_are_far_off_lose_part_of_the_gain_only() {
    check_in_time(Load { hint_error: 2.0, ..LONG_PROMPTS });
}

// Guards against an upgrade in which gateways of two builds serve fewer in time.
#[test]
fn half_of_the_gateways_of_an_older_build_lose_part_of_the_gain_only() {
    check_in_time(Load { older_every: 2, ..LONG_PROMPTS });
    check_p90(Load { older_every: 2, ..MANY_REPLICAS });
}
