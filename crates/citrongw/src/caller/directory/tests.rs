//! Tests of the directory.

use citrongw_state::config::Config;

use super::*;

fn config(revision: u64, limit: u32) -> VersionedConfig {
    let digest = KeyDigest::of("key");
    let config: Config = serde_json::from_value(serde_json::json!({
        "organisations": [{ "id": "estates", "weight": 3 }],
        "services": [
            { "id": "a", "organisation": "estates", "profile": "p", "key_digests": [digest] },
            { "id": "b", "organisation": "estates", "profile": "gone", "key_digests": ["x"] },
        ],
        "profiles": [{ "id": "p", "model": "m", "limit_in_flight": limit }],
    }))
    .unwrap();
    VersionedConfig { revision: Revision::new(revision), config }
}

#[test]
fn only_the_exact_key_identifies_its_service() {
    let cell = DirectoryCell::default();
    let config = config(1, 1);
    let caller = cell.find(&config, &Limits::default(), "key").unwrap();
    assert_eq!(caller.service.as_str(), "a");
    assert_eq!((caller.organisation.as_str(), caller.weight), ("estates", 3));
    let digest = KeyDigest::of("key").0;
    for wrong in ["", "KEY", "x", digest.as_str()] {
        assert!(cell.find(&config, &Limits::default(), wrong).is_none(), "{wrong:?}");
    }
}

#[test]
fn in_flight_limit_applies_across_configuration_changes() {
    let cell = DirectoryCell::default();
    let before = cell.find(&config(1, 1), &Limits::default(), "key").unwrap();
    let permit = before.profile.try_acquire().unwrap();
    assert!(before.profile.try_acquire().is_none());
    let after = cell.find(&config(2, 2), &Limits::default(), "key").unwrap();
    let second = after.profile.try_acquire().unwrap();
    assert!(after.profile.try_acquire().is_none());
    drop((permit, second));
    assert!(after.profile.try_acquire().is_some());
}
