//! Tests of counting holders.

use citrongw_protocol::node_record::NodeRecord;
use citrongw_state::id::{AttemptId, Revision};

use super::*;

fn record(zone: &str, members: &[u64], before: Option<&[u64]>) -> VersionedNodeRecord {
    let ids = |ids: &[u64]| ids.iter().copied().map(NodeId).collect();
    VersionedNodeRecord {
        zone: zone.into(),
        revision: Revision::new(1),
        record: NodeRecord {
            attempt: AttemptId(0),
            members: ids(members),
            before: before.map(ids),
        },
    }
}

#[test]
fn a_majority_of_both_sets_is_needed() {
    type Case = (&'static [u64], Option<&'static [u64]>, &'static [u64], bool);
    let cases: [Case; 7] = [
        (&[1, 2, 3], None, &[1], false),
        (&[1, 2, 3], None, &[1, 2], true),
        (&[1, 2, 3, 4], None, &[1, 2], false),
        // Two nodes were removed: a majority of the five is still needed.
        (&[1, 2, 3], Some(&[1, 2, 3, 4, 5]), &[1, 2], false),
        (&[1, 2, 3], Some(&[1, 2, 3, 4, 5]), &[1, 2, 3], true),
        // Four nodes were added: alone they are a majority of the new set only.
        (&[1, 2, 3, 4, 5, 6, 7], Some(&[1, 2, 3]), &[4, 5, 6, 7], false),
        (&[], None, &[], false),
    ];
    for (members, before, holds, majority) in cases {
        let records = [record("a", members, before)];
        let mut table = HolderTable::default();
        table.restart(records.iter(), &"a".into());
        for node in holds {
            table.add_node(NodeId(*node), Time::from_millis(10 * node));
        }
        assert_eq!(table.tally().majority, majority, "{members:?} {before:?} {holds:?}");
        assert_eq!(table.majority_since().is_some(), majority);
    }
}

#[test]
fn zones_are_counted_once_each() {
    let records = [record("a", &[1, 2, 3], None), record("b", &[4, 5, 6], None)];
    let mut here = HolderTable::default();
    here.restart(records.iter(), &"a".into());
    here.add_node(NodeId(1), Time::from_millis(5000));
    let mut there = HolderTable::default();
    there.restart(records.iter(), &"b".into());
    for node in [4, 5, 6] {
        there.add_node(NodeId(node), Time::from_millis(5000));
    }
    let holders = there.holders_for(HolderQuery::Ages, false, Time::from_millis(5010)).unwrap();
    for _ in 0..3 {
        here.add_report(NodeId(4), &holders, Time::from_millis(5020));
    }
    let tally = here.tally();
    assert_eq!((tally.holding, tally.recorded, tally.majority), (4, 6, true));
    assert_eq!(tally.missing, [NodeId(2), NodeId(3)]);
    // The age was rounded up, never down.
    let since = here.majority_since().unwrap();
    assert!(since <= Time::from_millis(5010));
    // A node whose confirmation is too old is reported in the bitmap, but not
    // with an age.
    let late = Time::from_millis(20_000);
    let ages = there.holders_for(HolderQuery::Ages, true, late).unwrap();
    assert_eq!(
        ages,
        HolderReport { own_zone: ZoneNodes::Ages(vec![HOLDER_UNKNOWN; 3]), zones: vec![] }
    );
    let ever = there.holders_for(HolderQuery::EverHeld, true, late).unwrap();
    assert_eq!(ever.own_zone, ZoneNodes::EverHeld(vec![0b111]));
    let mut third = HolderTable::default();
    third.restart(records.iter(), &"b".into());
    third.add_report(NodeId(4), &ever, late);
    assert_eq!(third.tally().holding, 3);
    assert_eq!(third.majority_since(), None);
    // A node of another zone ignores the bitmap.
    here.add_report(NodeId(4), &ever, late);
    assert_eq!(here.tally().holding, 4);
}
