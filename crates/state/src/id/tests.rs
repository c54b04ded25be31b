//! Tests of identifiers.

use super::*;

#[test]
fn number_ids_round_trip_through_text() {
    assert_eq!("00000000000000ff".parse(), Ok(NodeId(255)));
    assert_eq!(NodeId(255).to_string(), "00000000000000ff");
    assert_eq!(RequestId(7).to_string().parse(), Ok(RequestId(7)));
    assert_eq!(Revision(12).to_string().parse(), Ok(Revision(12)));
    assert!("x".parse::<ReplicaId>().is_err());
    let json = serde_json::to_value(RequestId(u128::MAX)).unwrap();
    assert_eq!(serde_json::from_value::<RequestId>(json).unwrap(), RequestId(u128::MAX));
}
