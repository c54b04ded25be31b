use super::*;

fn raised(shares: &[f64], is_cold: &[bool]) -> Vec<f64> {
    let mut levels: Vec<Level> =
        shares.iter().map(|it| Level { load: *it, capacity: 20.0 }).collect();
    raise_levels(&mut levels, is_cold.iter().copied());
    levels.iter().map(|it| it.load).collect()
}

/// An empty server that is cold must not attract all requests.
#[test]
fn cold_server_is_no_emptier_than_the_warm_ones() {
    assert_eq!(raised(&[0.0, 0.25, 0.75], &[true, false, false]), [0.25, 0.25, 0.75]);
    assert_eq!(raised(&[0.8, 0.25, 0.75], &[true, false, false]), [0.8, 0.25, 0.75]);
}

#[test]
fn loads_count_where_all_servers_are_warm_or_all_are_cold() {
    assert_eq!(raised(&[0.0, 0.25], &[false, false]), [0.0, 0.25]);
    assert_eq!(raised(&[0.0, 0.25], &[true, true]), [0.0, 0.25]);
}
