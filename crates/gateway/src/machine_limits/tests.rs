use citrongw::settings::gateway;

use super::*;

const SAMPLE: &str = include_str!("../../../../contrib/gateway.ini");
const MB: usize = 1024 * 1024;

fn settings(descriptors: Option<usize>) -> Settings {
    Settings { max_descriptors: descriptors, ..gateway::parse(SAMPLE).unwrap() }
}

#[test]
fn without_a_setting_only_the_number_of_callers_is_limited() {
    let limits = port_limits(&settings(None), 8_192);
    assert_eq!(limits, PortLimits { callers: 1_024, relays: 8_192, ready: 8_192, metrics: 8_192 });
}

/// Guards against limits that ordinary callers of the smallest machine reach, and against
/// ports that take all its descriptors.
#[test]
fn smallest_machine_serves_hundreds_of_callers_and_keeps_a_reserve() {
    let limits = port_limits(&settings(Some(2_870)), 8_192);
    assert!(800 <= limits.callers, "{limits:?}");
    let used = 2 * limits.callers + 2 * limits.relays + limits.ready + limits.metrics;
    assert!(used <= 2_870 * 3 / 4, "{limits:?}");
}

#[test]
fn callers_have_a_part_of_the_memory() {
    let of = |size: &str| callers_bytes(size.parse().unwrap());
    assert_eq!(of("112MB"), 44 * MB);
    assert_eq!(of("16MB"), 4 * MB);
    assert_eq!(of("512MB"), 244 * MB);
}
