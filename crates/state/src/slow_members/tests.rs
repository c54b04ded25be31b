//! Tests of slow member detection.

use super::*;

fn run(rounds: &[&[f32]]) -> Vec<String> {
    let mut step_times = StepTimes::default();
    let mut found = Vec::new();
    for (round, steps) in rounds.iter().enumerate() {
        for (idx, step_ms) in steps.iter().enumerate() {
            step_times.record(&format!("i{idx}").as_str().into(), *step_ms);
        }
        found = step_times.find_stragglers(Time::from_millis(round as u64 * 1000));
    }
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn detects_lasting_slowness_of_few_members() {
    let even = [10.0, 10.0, 10.0, 10.0];
    let slow = [10.0, 10.0, 10.0, 30.0];
    let all = [30.0, 30.0, 30.0, 30.0];
    let two = [10.0, 10.0, 10.0, 30.0, 30.0];
    let rounds = |steps: &'static [f32], count: usize| vec![steps; count];
    let recovered: Vec<&[f32]> = [vec![&slow[..]; 15], vec![&even[..]; 15]].concat();
    let cases = [
        ("equal", vec![&even[..]; 15], vec![]),
        ("slow for a short time", vec![&slow[..]; 5], vec![]),
        ("slow for a long time", vec![&slow[..]; 15], vec!["i3"]),
        ("all slow", vec![&all[..]; 15], vec![]),
        ("two slow, capped to one", vec![&two[..]; 15], vec!["i3"]),
        ("slow, then recovered", recovered, vec![]),
        ("too few to compare", rounds(&[10.0, 30.0], 15), vec![]),
    ];
    for (name, rounds, expected) in cases {
        assert_eq!(run(&rounds), expected, "{name}");
    }
}
