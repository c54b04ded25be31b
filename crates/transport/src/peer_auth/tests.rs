//! Tests of sealing and opening messages.

use super::*;

fn sealer(secrets: &[&str], node: u64) -> Sealer {
    let secrets: Vec<String> = secrets.iter().map(|it| (*it).to_owned()).collect();
    open_sealer(derive_keys(&secrets).unwrap(), NodeId(node))
}

#[test]
fn keys_can_be_rotated() {
    let cases: [(&[&str], &[&str], bool); 5] = [
        (&["old"], &["old"], true),
        (&["old"], &["old", "new"], true),
        (&["new", "old"], &["old", "new"], true),
        (&["new", "old"], &["new"], true),
        (&["new"], &["old"], false),
    ];
    for (sends, receives, accepted) in cases {
        let sealed = sealer(sends, 1).seal(NodeId(2), b"body");
        let opened = sealer(receives, 2).open(&sealed).map(|it| it.body.to_vec());
        assert_eq!(opened.is_ok(), accepted, "{sends:?} {receives:?}");
    }
}

#[test]
fn modified_or_replayed_message_is_rejected() {
    let mut sender = sealer(&["key"], 1);
    let mut receiver = sealer(&["key"], 2);
    let sealed = sender.seal(NodeId(2), b"body");
    for idx in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[idx] ^= 1;
        assert!(receiver.open(&changed).is_err(), "byte {idx}");
        assert!(receiver.open(&sealed[..idx]).is_err(), "cut at {idx}");
    }
    assert_eq!(receiver.open(&sealed).unwrap().body, b"body");
    assert_eq!(receiver.open(&sealed), Err(Rejected::Replayed));
    let other = sender.seal(NodeId(3), b"body");
    assert_eq!(receiver.open(&other), Err(Rejected::Misdirected));
    let own = receiver.seal(NodeId(2), b"body");
    assert_eq!(receiver.open(&own), Err(Rejected::Misdirected));
}

#[test]
fn messages_out_of_order_are_accepted_once() {
    let mut sender = sealer(&["key"], 1);
    let mut receiver = sealer(&["key"], 2);
    let sealed: Vec<_> = (0..300).map(|_| sender.seal(ANY_NODE, b"")).collect();
    for idx in [5, 3, 4, 100, 60] {
        assert!(receiver.open(&sealed[idx]).is_ok(), "{idx}");
        assert_eq!(receiver.open(&sealed[idx]), Err(Rejected::Replayed), "{idx}");
    }
    assert!(receiver.open(&sealed[299]).is_ok());
    assert_eq!(receiver.open(&sealed[150]), Err(Rejected::Replayed));
}
