use super::*;

fn regions(text: &str) -> ZoneRegions {
    text.parse().unwrap()
}

fn names(names: &[&str]) -> Vec<Region> {
    names.iter().map(|it| Region::from(*it)).collect()
}

fn allows(map: &ZoneRegions, route: &[&str], organisation: &[&str], zone: &str) -> bool {
    let (route, organisation) = (names(route), names(organisation));
    let homes = Homes { regions: map, route: &route, organisation: &organisation };
    homes.allows(&zone.into())
}

/// Guards against a gateway that does not start because the template's map is written in
/// another of the usual notations.
#[test]
fn map_is_read_in_the_usual_notations() {
    let expected = regions("a=north,b=south");
    for text in [
        r#"{"a": "north", "b": "south"}"#,
        "{a: north, b: south}",
        "{'a': 'north', 'b': 'south'}",
        r#"{ a = "north", b = "south" }"#,
        " a:north , b:south, ",
    ] {
        assert_eq!(regions(text), expected, "{text}");
    }
    assert_eq!(regions(""), ZoneRegions::default());
    assert_eq!(regions("{}"), ZoneRegions::default());
    for text in ["a", "a=", "=north", "a=no rth", "{a"] {
        assert_eq!(text.parse::<ZoneRegions>(), Err(InvalidZoneRegions), "{text}");
    }
}

/// Guards against requests that leave the regions of either list.
#[test]
fn requests_stay_in_the_regions_of_both_lists() {
    let map = regions("a=north,b=south,c=east");
    for zone in ["a", "b", "c", "unknown"] {
        assert!(allows(&map, &[], &[], zone), "{zone}: not confined");
        let is_north = zone == "a";
        assert_eq!(allows(&map, &["north"], &[], zone), is_north, "{zone}");
        assert_eq!(allows(&map, &[], &["north"], zone), is_north, "{zone}");
        assert_eq!(allows(&map, &["north", "south"], &["north", "east"], zone), is_north, "{zone}");
        assert!(!allows(&map, &["north"], &["south"], zone), "{zone}: no region is in both");
    }
}

/// Guards against a deployment that stops serving because it has no map of its zones.
#[test]
fn requests_are_not_confined_without_a_map() {
    assert!(allows(&ZoneRegions::default(), &["north"], &["south"], "a"));
}

#[test]
fn requests_are_relayed_in_a_home_or_the_region_of_the_caller_only() {
    let map = regions("a=north,b=south,c=east");
    let route = names(&["north"]);
    let homes = Homes { regions: &map, route: &route, organisation: &[] };
    let own = Region::from("south");
    let relayed = ["a", "b", "c", "d"].map(|it| homes.allows_relay(&it.into(), Some(&own)));
    assert_eq!(relayed, [true, true, false, false]);
    assert!(!homes.allows_relay(&"d".into(), None), "both unknown");
}
