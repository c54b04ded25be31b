//! Tests of the domain records.

use super::*;

#[test]
fn a_record_without_the_newer_fields_is_read() {
    let text = r#"{"epoch":1,"owner":null,"attempt":"00","replicas":[]}"#;
    let record: DomainRecord = serde_json::from_str(text).unwrap();
    assert_eq!(record, DomainRecord { epoch: Epoch(1), ..DomainRecord::default() });
}

#[test]
fn domain_keys_round_trip() {
    let domain = FabricDomainId::from("rack-7");
    assert_eq!(domain_of_key(&domain_key(&domain)), Some(domain));
    assert_eq!(domain_of_key(&CONFIG_KEY.into()), None);
}

#[test]
fn leaving_applies_to_one_incarnation() {
    let mark = LeavingMark {
        instance: "i".into(),
        incarnation: Incarnation(3),
        cause: LeavingCause::Listed,
    };
    let record = DomainRecord { leaving: vec![mark], ..DomainRecord::default() };
    for (incarnation, expected) in [(2, false), (3, true), (4, false)] {
        assert_eq!(record.is_leaving(&"i".into(), Incarnation(incarnation)), expected);
    }
}
