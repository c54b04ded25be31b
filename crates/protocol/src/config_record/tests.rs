//! Tests of the stored representation.

use citrongw_state::id::Revision;

use super::*;

#[test]
fn a_headless_document_is_accepted() {
    let config = Config::default();
    let value = ConfigValue::parse(&serde_json::to_vec(&config).unwrap()).unwrap();
    assert_eq!(value, ConfigValue::HeadlessDocument(Box::new(config)));
    assert!(ConfigValue::parse(b"{\"organisations\": 3}").is_err());
}

#[test]
fn a_head_is_parsed() {
    let made = ChangeRecord {
        change: ChangeId(7),
        operator: "maria".into(),
        at_unix_ms: 1,
        from: Some(Revision::new(3)),
        replaces_lost: None,
        revision: None,
    };
    let digest = digest_hex(&Config::default());
    let head = ConfigHead { made, digest };
    assert!(head.matches(&Config::default()));
    let value = ConfigValue::parse(&serde_json::to_vec(&head).unwrap()).unwrap();
    assert_eq!(value, ConfigValue::Head(head));
}
