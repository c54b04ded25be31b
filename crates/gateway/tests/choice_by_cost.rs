//! Plays loads of many gateways in virtual time, before engines whose figures are known,
//! and compares the choice by cost with others.

#[path = "choice_by_cost/engine.rs"]
mod engine;
#[path = "choice_by_cost/fleet.rs"]
mod fleet;

use std::time::Duration;

use citrongw_state::request_cost::EngineFigures;

use self::fleet::{Load, Placement};

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
    length: Duration::from_secs(40),
    seed: 1,
};

/// The same with the traffic uneven.
const UNEVEN_ZONES: Load = Load { zone_requests_per_s: &[31.0, 20.0, 12.0], ..LONG_PROMPTS };

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
    length: Duration::from_secs(14),
    ..LONG_PROMPTS
};

#[test]
fn trial() {
    let slow = Load { slow_every: 6, slow_factor: 3.0, ..LONG_PROMPTS };
    let slow_many = Load { slow_every: 6, slow_factor: 3.0, ..MANY_REPLICAS };
    for (name, load) in [
        ("long", LONG_PROMPTS),
        ("uneven", UNEVEN_ZONES),
        ("very", Load { zone_requests_per_s: &[40.0, 15.0, 8.0], ..LONG_PROMPTS }),
        ("many", MANY_REPLICAS),
        ("slow", slow),
        ("slow many", slow_many),
    ] {
        if std::env::var("LOADS").is_ok_and(|it| !it.split(',').any(|it| it == name)) {
            continue;
        }
        for placement in [
            Placement::ByCost,
            Placement::ByRequests,
            Placement::LeastOutstanding,
            Placement::AllKnowing,
            Placement::Random,
        ] {
            let only = std::env::var("ONLY").unwrap_or_default();
            if !only.is_empty() && !format!("{placement:?}").starts_with(&only) {
                continue;
            }
            let seeds: u64 = std::env::var("SEEDS").map_or(1, |it| it.parse().unwrap());
            let plays: Vec<_> = (1..=seeds)
                .map(|seed| {
                    std::thread::spawn(move || fleet::play(&Load { seed, ..load }, placement))
                })
                .collect();
            let plays: Vec<_> = plays.into_iter().map(|it| it.join().unwrap()).collect();
            let mean = plays.iter().map(|it| it.in_time).sum::<f64>() / seeds as f64;
            println!("{name} {placement:?}: in time {mean:.3} of {seeds}; {}", plays[0]);
        }
    }
}
