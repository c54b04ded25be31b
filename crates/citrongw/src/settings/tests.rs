//! Cases of the settings reader.

use super::*;

const GOOD: &str = include_str!("../../../../contrib/citrongw.ini");

#[test]
fn sample_is_read() {
    let settings = parse(GOOD).unwrap();
    assert_eq!(settings.zone.as_str(), "johor-a");
    assert_eq!(settings.store_timeout, Duration::from_secs(1));
}

#[test]
fn every_fault_is_named_with_its_place() {
    let cases = [
        (
            "zone = johor-a",
            "zone =",
            "[node] zone, line 3: value \"\", allowed: a name without blanks",
        ),
        (
            "caller-addr = 127.0.0.1:8080",
            "caller-addr = here",
            "[node] caller-addr, line 5: value \"here\", allowed: IP address and port",
        ),
        (
            "timeout = 1s",
            "timeout = soon",
            "[store] timeout, line 13: value \"soon\", allowed: a duration such as 500ms",
        ),
        ("timeout = 1s", "tiemout = 1s", "[store] tiemout, line 13: unknown key"),
        ("addr = 127.0.0.1:2379", "", "[store] addr: missing, allowed: IP address and port"),
    ];
    for (from, to, expected) in cases {
        assert!(GOOD.contains(from), "{from}");
        let faults = parse(&GOOD.replacen(from, to, 1)).unwrap_err();
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert_eq!(faults, [expected]);
    }
}
