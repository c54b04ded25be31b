//! Tests of configuration checks.

use super::*;

#[test]
fn every_fault_is_reported() {
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

#[test]
fn documentation_covers_every_field() {
    let text = r#"{
        "organisations": [{"id": "o"}],
        "services": [{"id": "s", "organisation": "o", "profile": "p", "key_digests": []}],
        "profiles": [{"id": "p", "model": "m"}],
        "deployments": [{"id": "d", "model": "m", "version": "1", "replicas": 1,
                         "instances_per_replica": 1}],
        "plain_services": [{"id": "x", "addrs": [], "calls": [
            {"method": "GET", "path": "/", "class": "idempotent"}]}],
        "operators": [{"id": "a", "role": "read", "token_digest": ""}]
    }"#;
    let config: Config = serde_json::from_str(text).unwrap();
    let mut fields = Vec::new();
    collect(&serde_json::to_value(&config).unwrap(), &mut fields);
    assert!(40 <= fields.len(), "{fields:?}");
    let table = include_str!("../../../../docs/configuration.md");
    for field in fields {
        assert!(table.contains(&format!("`{field}`")), "missing: {field}");
    }
}

fn collect(value: &serde_json::Value, fields: &mut Vec<String>) {
    match value {
        serde_json::Value::Object(object) => {
            for (name, value) in object {
                fields.push(name.clone());
                collect(value, fields);
            }
        }
        serde_json::Value::Array(items) => items.iter().for_each(|it| collect(it, fields)),
        _ => {}
    }
}

#[test]
fn a_key_of_two_services_is_a_fault() {
    let digest = KeyDigest::of("key");
    let mut config = Config::default();
    for id in ["s", "t"] {
        config.services.push(Service {
            id: id.into(),
            organisation: "o".into(),
            profile: "p".into(),
            key_digests: vec![digest.clone()],
        });
    }
    let faults: Vec<String> = config.check().iter().map(ToString::to_string).collect();
    let expected = "service t: shares a key with service s".to_owned();
    assert!(faults.contains(&expected), "{faults:?}");
    let faults: Vec<String> = config.redacted().check().iter().map(ToString::to_string).collect();
    assert!(!faults.contains(&expected), "{faults:?}");
}
