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
    for absent in ["memory =", "memory = MB", "memory = {{a.b}}MB", "descriptors = {{a.c}}"] {
        let settings = parse(&format!("{SAMPLE}\n[limits]\n{absent}\n")).unwrap();
        assert_eq!((settings.memory, settings.max_descriptors), (None, None), "{absent}");
    }
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

/// Cold servers are limited only if a deployment states both figures; a template without
/// them must not keep the gateway from starting.
#[test]
fn bounds_for_cold_servers_need_both_figures() {
    let cold = |text: &str| {
        let settings = parse(&format!("{SAMPLE}\n[cold-servers]\n{text}"));
        settings.map(|it| it.cold)
    };
    assert_eq!(cold("overage = 1.5\nslack = 5"), Ok(Some(ColdBounds { overage: 1.5, slack: 5.0 })));
    for text in
        ["", "overage = 1.5", "slack = 5", "overage =\nslack = 5", "overage = {{a.b}}\nslack = 5"]
    {
        assert_eq!(cold(text), Ok(None), "{text}");
    }
    for text in ["overage = -1", "slack = much", "overage = inf"] {
        assert!(cold(text).is_err(), "{text}");
    }
}

/// Guards against a gateway that does not start without regions, and against one that
/// takes another region for its own.
#[test]
fn regions_are_optional() {
    let with = |lines: &str| parse(&SAMPLE.replace("zone = a\n", lines));
    let settings = with("zone = zone-a\n").unwrap();
    assert_eq!((settings.region, settings.zone_regions), (None, Default::default()));
    let map = "zone-regions = {\"zone-a\": \"north\", \"zone-b\": \"south\"}\n";
    let settings = with(&format!("zone = zone-a\n{map}")).unwrap();
    assert_eq!(settings.region, Some("north".into()), "from the map");
    assert_eq!(settings.zone_regions.region_of(&"zone-b".into()), Some(&"south".into()));
    let settings = with(&format!("zone = zone-a\nregion = south\n{map}")).unwrap();
    assert_eq!(settings.region, Some("south".into()));
    let settings = with("zone = zone-a\nregion =\nzone-regions =\n").unwrap();
    assert_eq!(settings.region, None);
    let settings = with("zone = zone-a\nregion = {{region}}\nzone-regions = {{zones}}\n").unwrap();
    assert_eq!((settings.region, settings.zone_regions), (None, Default::default()));
    assert!(with("zone = zone-a\nzone-regions = north\n").is_err());
}

#[test]
fn choice_by_cost_is_off_unless_it_is_set() {
    let settings = parse(SAMPLE).unwrap();
    assert!(!settings.by_cost);
    let set =
        |value| parse(&format!("{SAMPLE}\n[choice]\nby-cost = {value}\nzone-penalty = 3ms\n"));
    let settings = set("on").unwrap();
    assert!(settings.by_cost && settings.zone_penalty == Duration::from_millis(3));
    assert!(!set("off").unwrap().by_cost);
    assert!(set("yes").is_err());
}
