//! Cases of stragglers.

use super::*;

fn run(rounds: &[&[f32]]) -> Vec<String> {
    let mut peers = StepTimes::default();
    let mut found = Vec::new();
    for (round, steps) in rounds.iter().enumerate() {
        for (idx, step_ms) in steps.iter().enumerate() {
            peers.record(&format!("i{idx}").as_str().into(), *step_ms);
        }
        found = peers.find_stragglers(Time::from_millis(round as u64 * 1000));
    }
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn only_lasting_slowness_of_a_few_counts() {
    let even = [10.0, 10.0, 10.0, 10.0];
    let slow = [10.0, 10.0, 10.0, 30.0];
    let all = [30.0, 30.0, 30.0, 30.0];
    let two = [10.0, 10.0, 10.0, 30.0, 30.0];
    let rounds = |steps: &'static [f32], count: usize| vec![steps; count];
    let back: Vec<&[f32]> = [vec![&slow[..]; 15], vec![&even[..]; 15]].concat();
    let cases = [
        ("even", vec![&even[..]; 15], vec![]),
        ("slow for a moment", vec![&slow[..]; 5], vec![]),
        ("slow for long", vec![&slow[..]; 15], vec!["i3"]),
        ("all slow", vec![&all[..]; 15], vec![]),
        ("two slow, capped to one", vec![&two[..]; 15], vec!["i3"]),
        ("slow, then well", back, vec![]),
        ("too few to compare", rounds(&[10.0, 30.0], 15), vec![]),
    ];
    for (name, rounds, expected) in cases {
        assert_eq!(run(&rounds), expected, "{name}");
    }
}
