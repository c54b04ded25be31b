//! Tests of configuration changes.

use super::*;

fn config() -> Config {
    serde_json::from_str(
        r#"{
            "organisations": [{"id": "o"}],
            "services": [{"id": "s", "organisation": "o", "profile": "p", "key_digests": []}],
            "profiles": [{"id": "p", "model": "m"}, {"id": "q", "model": "m"}],
            "deployments": [{"id": "d", "model": "m", "version": "1", "replicas": 2,
                             "instances_per_replica": 4}],
            "plain_services": [{"id": "x", "addrs": ["127.0.0.1:1"], "calls": [
                {"method": "POST", "path": "/dispatch", "class": "at-most-once"}]}]
        }"#,
    )
    .unwrap()
}

fn profile(id: &str, deadline_ms: u64) -> Profile {
    let mut profile = config().profiles[0].clone();
    profile.id = id.into();
    profile.deadline_ms = deadline_ms;
    profile
}

#[test]
fn invalid_changes_are_rejected_with_a_reason() {
    let cases = [
        (ConfigChange::CreateProfile { profile: profile("p", 60_000) }, "profile p exists already"),
        (ConfigChange::EditProfile { profile: profile("r", 60_000) }, "profile r does not exist"),
        (ConfigChange::RetireProfile { profile: "p".into() }, "profile p is in use by s"),
        (
            ConfigChange::AssignService { service: "t".into(), profile: "q".into() },
            "service t does not exist",
        ),
        (
            ConfigChange::RemoveDeployment { deployment: "d".into() },
            "profile p: no deployment serves model m, profile q: no deployment serves model m",
        ),
        (
            ConfigChange::EditProfile { profile: profile("p", 1) },
            "profile p: first_token_ms is 10000, allowed up to deadline_ms, 1",
        ),
    ];
    for (change, expected) in cases {
        assert_eq!(apply(&config(), &change).unwrap_err().to_string(), expected);
    }
}

#[test]
fn a_change_leaves_other_items_unchanged() {
    let retired = apply(&config(), &ConfigChange::RetireProfile { profile: "q".into() }).unwrap();
    let mut expected = config();
    expected.profiles.pop();
    assert_eq!(retired, expected);
}

#[test]
fn risks_are_reported() {
    let mut after = config();
    after.deployments[0].replicas = 1;
    after.plain_services[0].calls[0].class = CallClass::Idempotent;
    after.operators = vec![crate::config::Operator {
        id: "reader".into(),
        role: Role::Read,
        token_digest: crate::config::KeyDigest::of("token"),
    }];
    let risks: Vec<String> = risks(&config(), &after).iter().map(ToString::to_string).collect();
    let expected = [
        "POST /dispatch of plain service x is no longer at-most-once: a resent call can run twice",
        "deployment d goes from 2 to 1 replicas",
        "no operator may change the configuration any more",
    ];
    assert_eq!(risks, expected);
}
