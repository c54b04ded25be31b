use super::*;

const SAMPLE: &str = "
[node]
name = front-1
zone = a
caller-addr = 127.0.0.1:1
ready-addr = 127.0.0.1:2
metrics-addr = 127.0.0.1:3
peer-addr = 127.0.0.1:5
grace = 8s

[store]
addr = 127.0.0.1:4

[control]
stall-time = 6000ms
";

#[test]
fn settings_are_read_with_their_defaults() {
    let settings = parse(SAMPLE).unwrap();
    assert_eq!(settings.name, "front-1");
    assert_eq!(settings.grace, Duration::from_secs(8));
    assert_eq!(settings.store_timeout, Duration::from_secs(1));
    assert!(Duration::from_secs(6) < settings.stall_time);
}

#[test]
fn every_fault_is_named() {
    let text = SAMPLE.replace("zone = a", "zome = a").replace("grace = 8s", "grace = soon");
    let faults: Vec<String> = parse(&text).unwrap_err().iter().map(ToString::to_string).collect();
    let faults = faults.join("\n");
    for part in ["zone: missing", "zome, line", "grace, line"] {
        assert!(faults.contains(part), "{part} is not in:\n{faults}");
    }
}

/// Guards against a deployment that rejects early without having asked for it.
#[test]
fn early_rejection_is_off_unless_it_is_set() {
    let parsed = |value: &str| parse(&format!("{SAMPLE}\n[admission]\nreject-early = {value}\n"));
    assert!(!parse(SAMPLE).unwrap().reject_early);
    assert!(!parsed("off").unwrap().reject_early);
    assert!(parsed("on").unwrap().reject_early);
    assert!(parsed("true").unwrap_err()[0].to_string().contains("on or off"));
}

#[test]
fn sample_file_has_no_fault() {
    let sample = include_str!("../../../../../contrib/gateway.ini");
    assert_eq!(parse(sample).map(|_| ()), Ok(()));
}
