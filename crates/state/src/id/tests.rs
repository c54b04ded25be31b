//! Tests of identifiers.

use super::*;

#[test]
fn number_ids_round_trip_through_text() {
    assert_eq!("00000000000000ff".parse(), Ok(NodeId(255)));
    assert_eq!(NodeId(255).to_string(), "00000000000000ff");
    assert_eq!(RequestId(7).to_string().parse(), Ok(RequestId(7)));
    assert_eq!(Revision::new(12).to_string().parse(), Ok(Revision::new(12)));
    let later = Revision::of_era(StoreEra(3), 12);
    assert_eq!(later.to_string().parse(), Ok(later));
    assert!("x".parse::<ReplicaId>().is_err());
    let json = serde_json::to_value(RequestId(u128::MAX)).unwrap();
    assert_eq!(serde_json::from_value::<RequestId>(json).unwrap(), RequestId(u128::MAX));
}

#[test]
fn revision_of_a_later_era_is_newer_in_all_formats() {
    let old = Revision::new(300);
    let later = Revision::of_era(StoreEra(1), 20);
    assert!(old < later && later < later.next());
    for revision in [old, later] {
        let json = serde_json::to_value(revision).unwrap();
        assert_eq!(serde_json::from_value::<Revision>(json).unwrap(), revision);
    }
    assert_eq!(serde_json::to_value(old).unwrap(), 300);
}
