use super::*;

const THIS: NodeId = NodeId(3);
const OTHER: NodeId = NodeId(7);

/// Exchanges announcements until neither gateway sends any; returns how many were sent.
fn exchange(one: &mut WorkReaders, other: &mut WorkReaders, is_lost: impl Fn(u32) -> bool) -> u32 {
    let (mut sent, now) = (0, Time::START);
    for _ in 0..20 {
        let before = sent;
        if let Some(it) = one.announcement(OTHER) {
            sent += 1;
            if !is_lost(sent) {
                other.record(THIS, it, now);
            }
        }
        if let Some(it) = other.announcement(THIS) {
            sent += 1;
            if !is_lost(sent) {
                one.record(OTHER, it, now);
            }
        }
        if sent == before {
            return sent;
        }
    }
    sent
}

// Guards against announcing for ever, and against a gateway that never learns of another.
#[test]
fn gateways_learn_of_each_other_whichever_announcement_is_lost() {
    for lost in 0..6 {
        let (mut one, mut other) = (WorkReaders::default(), WorkReaders::default());
        let sent = exchange(&mut one, &mut other, |it| it == lost);
        assert!(one.is_reader(OTHER) && other.is_reader(THIS), "{lost}");
        assert!(sent < 8, "{lost}: {sent} announcements");
    }
}

// Guards against sending reports that an older build drops.
#[test]
fn gateway_that_announces_nothing_gets_counts() {
    let (mut readers, now) = (WorkReaders::default(), Time::START);
    assert!(readers.announcement(OTHER).is_some());
    readers.retain(|_| true, now);
    assert!(!readers.is_reader(OTHER));
}

#[test]
fn gateway_that_is_not_listed_any_more_is_forgotten() {
    let mut readers = WorkReaders::default();
    let announcement = WorkReaderAnnouncement { known: true, needs_reply: false };
    readers.record(OTHER, announcement, Time::START);
    readers.retain(|_| false, Time::from_millis(9_000));
    assert!(readers.is_reader(OTHER), "it may not be listed yet");
    readers.retain(|_| true, Time::from_millis(60_000));
    assert!(readers.is_reader(OTHER));
    readers.retain(|_| false, Time::from_millis(60_000));
    assert!(!readers.is_reader(OTHER));
}
