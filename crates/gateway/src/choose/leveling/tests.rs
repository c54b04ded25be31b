use super::*;

fn levels(loads: &[f64]) -> Vec<Level> {
    loads.iter().map(|it| Level { load: *it, capacity: 10.0 }).collect()
}

/// Share of the choices that each server gets.
fn shares(servers: &[Level], arrivals: f64) -> Vec<f64> {
    const DRAWS: u32 = 1_000;
    let mut counts = vec![0.0; servers.len()];
    for draw in 0..DRAWS {
        let random = (f64::from(draw) + 0.5) / f64::from(DRAWS);
        counts[pick(servers, arrivals, random).unwrap()] += 1.0 / f64::from(DRAWS);
    }
    counts
}

#[test]
fn without_arrivals_the_least_loaded_servers_share_the_choices() {
    assert_eq!(pick(&[], 0.0, 0.5), None);
    assert_eq!(pick(&levels(&[0.3, 0.1, 0.2]), 0.0, 0.99), Some(1));
    let equal = shares(&levels(&[0.1, 0.1, 0.2]), 0.0);
    assert!((equal[0] - 0.5).abs() < 0.01 && equal[2] == 0.0);
}

#[test]
fn arrivals_fill_the_servers_to_one_level() {
    // Four arrivals raise 0.1 to 0.35 and 0.2 to 0.35.
    let filled = shares(&levels(&[0.1, 0.2, 0.5]), 4.0);
    assert!((filled[0] - 0.625).abs() < 0.01 && (filled[1] - 0.375).abs() < 0.01);
    assert_eq!(filled[2], 0.0);
}

#[test]
fn many_arrivals_make_the_choice_nearly_random() {
    let random = shares(&levels(&[0.0, 0.5]), 1_000.0);
    assert!((random[0] - 0.5).abs() < 0.01);
}

#[test]
fn server_with_more_slots_gets_more() {
    let servers = [Level { load: 0.0, capacity: 30.0 }, Level { load: 0.0, capacity: 10.0 }];
    assert!((shares(&servers, 4.0)[0] - 0.75).abs() < 0.01);
}
