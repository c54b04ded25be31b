use super::*;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_gap: Duration::from_millis(100),
        priority: 1,
        targets: Vec::new(),
        max_attempts: 1,
        needs_key: true,
        homes: Vec::new(),
    }
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(vec![
        route("root", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("shallow", "a.example", "/x/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let cases = [
        ("a.example", "/x/y/z/1", Some("deep")),
        ("a.example:8080", "/x/y", Some("shallow")),
        ("A.Example", "/x", Some("root")),
        ("b.example", "/x/y/z/", Some("other")),
        ("b.example", "/x/y/", None),
        ("c.example", "/", None),
        ("", "/", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|it| it.name.as_str());
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn targets_share_by_weight() {
    let target = |service: &str, weight| Target { service: service.into(), weight };
    let mut split = route("split", "a.example", "/");
    split.targets = vec![target("none", 0.0), target("most", 90.0), target("few", 10.0)];
    let pick = |random| split.pick_target(random).map(|it| it.service.as_str());
    assert_eq!(pick(0.0), Some("most"));
    assert_eq!(pick(0.89), Some("most"));
    assert_eq!(pick(0.91), Some("few"));
    assert_eq!(pick(1.0), Some("few"));
    split.targets = vec![target("none", 0.0)];
    assert_eq!(split.pick_target(0.5), None);
}
