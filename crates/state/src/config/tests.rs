//! Cases of configuration checks.

use super::*;

#[test]
fn every_fault_is_named() {
    let text = r#"{
        "services": [{"id": "s", "organisation": "o", "profile": "p", "key_digests": []}],
        "profiles": [
            {"id": "q", "model": "m", "deadline_ms": 1},
            {"id": "q", "model": "m"}
        ],
        "deployments": [{"id": "d", "model": "n", "version": "1", "replicas": 1,
                         "instances_per_replica": 0}],
        "plain_services": [{"id": "x", "addrs": [], "calls": [
            {"method": "POST", "path": "/", "class": "at-most-once",
             "retention_ms": 1, "answer_bytes": 65537}
        ]}]
    }"#;
    let config: Config = serde_json::from_str(text).unwrap();
    let faults: Vec<String> = config.check().iter().map(ToString::to_string).collect();
    let expected = [
        "service s: organisation o is not declared",
        "service s: profile p is not declared",
        "profile q: is declared twice",
        "profile q: no deployment serves model m",
        "profile q: first_token_ms is 10000, allowed up to deadline_ms, 1",
        "profile q: no deployment serves model m",
        "deployment d: instances_per_replica is 0, allowed from 1",
        "plain service x: addrs is empty, allowed from one address",
        "plain service x, call POST /: retention_ms is 1, allowed from 60000",
        "plain service x, call POST /: answer_bytes is 65537, allowed up to 65536",
    ];
    assert_eq!(faults, expected);
}
