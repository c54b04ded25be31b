//! Tests of the settings reader.

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
            "[store] timeout, line 13: value \"soon\", allowed: a duration above zero such as 500ms",
        ),
        (
            "timeout = 1s",
            "tiemout = 1s",
            "[store] tiemout, line 13: unknown key, value \"1s\", allowed: addr, timeout",
        ),
        (
            "timeout = 1s",
            "timeout = 0s",
            "[store] timeout, line 13: value \"0s\", allowed: a duration above zero such as 500ms",
        ),
        (
            "timeout = 1s",
            "timeout = 1s\ntimeout = 2s",
            "[store] timeout, line 14: value \"2s\", allowed: once, and line 13 has it",
        ),
        (
            "[log]",
            "[extra]\n[log]",
            "[extra], line 19: unknown section, \
             allowed: admin, callers, control, log, membership, node, platform, store, tls",
        ),
        (
            "level = info",
            "level = loud",
            "[log] level, line 20: value \"loud\", \
             allowed: error, warn, info, debug, trace or off, or a list of target=level",
        ),
        (
            "max-connections = 8192",
            "max-connections = 0",
            "[callers] max-connections, line 23: value \"0\", allowed: a number from 1",
        ),
        (
            "[callers]",
            "[tls]\nkey = key.pem\n[callers]",
            "[tls] certificates: missing, allowed: path of a PEM file",
        ),
        (
            "seeds = 127.0.0.1:8081",
            "seeds = 127.0.0.1:8081, there",
            "[membership] seeds, line 27: value \"127.0.0.1:8081, there\", \
             allowed: IP addresses and ports with commas between them",
        ),
        (
            "keys = change-me-to-a-secret",
            "keys = change-me-to-a-secret, short",
            "[membership] keys, line 28: value \"(hidden)\", \
             allowed: secrets of 16 characters or more with commas between them",
        ),
        (
            "objective = group-downtime",
            "objective = cheap",
            "[control] objective, line 31: value \"cheap\", \
             allowed: group-downtime or stranded-accelerators",
        ),
        ("addr = 127.0.0.1:2379", "", "[store] addr: missing, allowed: IP address and port"),
    ];
    for (from, to, expected) in cases {
        assert!(GOOD.contains(from), "{from}");
        let faults = parse(&GOOD.replacen(from, to, 1)).unwrap_err();
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert_eq!(faults, [expected]);
    }
}

#[test]
fn all_faults_are_named_at_once() {
    let text =
        GOOD.replacen("zone = johor-a", "zone = a b", 1) + "[store]\naddr = x\n[more]\nk = v";
    let faults = parse(&text).unwrap_err();
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let expected = [
        "[node] zone, line 3: value \"a b\", allowed: a name without blanks",
        "[store] addr, line 34: value \"x\", allowed: once, and line 12 has it",
        "[more], line 35: unknown section, \
         allowed: admin, callers, control, log, membership, node, platform, store, tls",
        "[more] k, line 36: unknown key, value \"v\", allowed: none here",
    ];
    assert_eq!(faults, expected);
}

#[test]
fn documents_name_every_setting_and_no_other() {
    let table = include_str!("../../../../docs/configuration.md");
    let mut reader = reader::open("").unwrap();
    read(&mut reader);
    let mut rows = 0;
    for name in reader.names() {
        let row = table.lines().find(|line| {
            let mut cells = line.split('|').map(str::trim).skip(1);
            let section = cells.next().unwrap_or_default();
            let keys = cells.next().unwrap_or_default();
            section == format!("`{}`", name.section) && keys.contains(&format!("`{}`", name.key))
        });
        assert!(row.is_some(), "missing: [{}] {}", name.section, name.key);
        rows += 1;
    }
    let documented = table.lines().filter(|line| line.starts_with("| `")).filter(|line| {
        let section = line.split('|').nth(1).unwrap_or_default().trim().trim_matches('`');
        reader.names().any(|name| name.section == section)
    });
    let keys = |line: &str| line.split('|').nth(2).unwrap_or_default().matches('`').count() / 2;
    assert_eq!(documented.map(keys).sum::<usize>(), rows);
}
