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
fn limits_of_the_machine_are_optional() {
    let settings = parse(SAMPLE).unwrap();
    assert_eq!((settings.memory, settings.max_descriptors), (None, None));
    let settings = parse(&format!("{SAMPLE}\n[limits]\nmemory = 112MB\ndescriptors = 2870\n"));
    let settings = settings.unwrap();
    assert_eq!(settings.memory.unwrap().bytes(), 117_440_512);
    assert_eq!(settings.max_descriptors, Some(2_870));
    for fault in ["memory = 112", "memory = 1MB", "descriptors = 127"] {
        let text = format!("{SAMPLE}\n[limits]\n{fault}\n");
        assert_eq!(parse(&text).unwrap_err().len(), 1, "{fault}");
    }
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

#[test]
fn sample_file_has_no_fault() {
    let sample = include_str!("../../../../../contrib/gateway.ini");
    assert_eq!(parse(sample).map(|_| ()), Ok(()));
}
