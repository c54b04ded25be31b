//! Tests of replacing the held document.

use citrongw_protocol::admin_config::ChangeRecord;
use citrongw_state::{config::Organisation, id::ChangeId};

use super::*;

fn config(weight: u32) -> Config {
    let organisation = Organisation { weight, ..organisation() };
    Config { organisations: vec![organisation], ..Config::default() }
}

fn organisation() -> Organisation {
    serde_json::from_str(r#"{ "id": "grower" }"#).unwrap()
}

/// Document with history `past`, each version based on the previous one.
fn current(revision: u64, past: &[u64], replaces_lost: Option<u64>) -> StoredConfig {
    let record = |from: Option<u64>, revision: u64| ChangeRecord {
        change: ChangeId(revision.into()),
        operator: "maria".into(),
        at_unix_ms: 0,
        from: from.map(Revision::new),
        replaces_lost: None,
        revision: Some(Revision::new(revision)),
    };
    let mut before = None;
    let mut history = Vec::new();
    for it in past {
        history.push(record(before, *it));
        before = Some(*it);
    }
    let made = ChangeRecord {
        replaces_lost: replaces_lost.map(Revision::new),
        ..record(before, revision)
    };
    let config = config(u32::try_from(revision).unwrap());
    StoredConfig { revision: Revision::new(revision), made: Some(made), config, history }
}

#[test]
fn only_descendants_replace_the_held_document() {
    let cases = [
        (current(5, &[], None), current(9, &[5], None), OfferOutcome::Applied),
        (current(5, &[], None), current(12, &[5, 9], None), OfferOutcome::Applied),
        (current(9, &[5], None), current(9, &[5], None), OfferOutcome::NotNewer),
        (current(9, &[5], None), current(5, &[], None), OfferOutcome::NotNewer),
        // The service lost revision 9 and was edited from revision 5.
        (current(9, &[5], None), current(12, &[5], None), OfferOutcome::Forked),
        (current(9, &[5], None), current(14, &[5, 12], None), OfferOutcome::Forked),
        (current(9, &[5], None), current(12, &[5], Some(9)), OfferOutcome::Applied),
        (current(10, &[5], None), current(12, &[5], Some(9)), OfferOutcome::Forked),
    ];
    for (held, offered, expected) in cases {
        let (from, to) = (held.revision, offered.revision);
        let mut document = None;
        offer_read(&mut document, held);
        assert_eq!(offer_read(&mut document, offered), expected, "{from} {to}");
        let holds = if expected == OfferOutcome::Applied { to } else { from };
        assert_eq!(document.unwrap().version.revision, holds);
    }
}

#[test]
fn a_document_written_by_hand_only_replaces_older_revisions() {
    let by_hand = |revision| StoredConfig { made: None, ..current(revision, &[], None) };
    let mut document = None;
    assert_eq!(offer_read(&mut document, by_hand(5)), OfferOutcome::Applied);
    assert_eq!(offer_read(&mut document, by_hand(4)), OfferOutcome::NotNewer);
    assert_eq!(offer_read(&mut document, by_hand(6)), OfferOutcome::Applied);
}

#[test]
fn peers_pass_on_changes_and_check_the_digest() {
    let mut here = None;
    let mut there = None;
    for (revision, past) in [(5, &[][..]), (9, &[5][..]), (12, &[5, 9][..])] {
        offer_read(&mut here, current(revision, past, None));
        if revision == 5 {
            offer_read(&mut there, current(revision, past, None));
        }
    }
    let held = there.as_ref().map(|it: &Document| it.version);
    let transfer = here.as_ref().unwrap().transfer_to(held).unwrap();
    assert!(matches!(transfer.content, ConfigContent::Changes(_)));
    let mut damaged = transfer.clone();
    damaged.version.digest.0[0] ^= 1;
    assert_eq!(offer(&mut there, &damaged), OfferOutcome::DigestMismatch);
    assert_eq!(offer(&mut there, &transfer), OfferOutcome::Applied);
    let (here, there) = (here.unwrap(), there.unwrap());
    assert_eq!(here.in_force, there.in_force);
    assert_eq!(here.past, there.past);
    // A node without a document receives the whole document.
    let mut new = None;
    assert_eq!(offer(&mut new, &there.transfer_to(None).unwrap()), OfferOutcome::Applied);
    assert_eq!(there.transfer_to(new.map(|it| it.version)), None);
}
