use citrongw_state::id::{Epoch, ReplicaId};

use super::*;

fn up(epoch: u64) -> PeerMessage {
    PeerMessage::Up(OpenReplica {
        service: "engine".into(),
        model: "m".into(),
        replica: ReplicaId(7),
        epoch: Epoch(epoch),
        head: "a".into(),
    })
}

fn down(epoch: u64) -> PeerMessage {
    PeerMessage::Down { replica: ReplicaId(7), epoch: Epoch(epoch) }
}

fn key(epoch: u64) -> ReplicaKey {
    ReplicaKey { replica: ReplicaId(7), epoch: Epoch(epoch) }
}

fn open_epochs(told: &AnnouncedReplicas, now: Time) -> Vec<u64> {
    told.open(now).map(|(open, _)| open.epoch.0).collect()
}

#[test]
fn last_word_on_an_epoch_counts() {
    let mut told = AnnouncedReplicas::default();
    told.apply(&up(1), Time::START);
    assert_eq!(open_epochs(&told, Time::START), [1]);
    told.apply(&down(1), Time::START);
    assert!(told.is_down(&key(1)) && open_epochs(&told, Time::START).is_empty());
    told.apply(&up(1), Time::START);
    assert!(!told.is_down(&key(1)));
}

#[test]
fn next_epoch_takes_the_place_of_the_one_before() {
    let mut told = AnnouncedReplicas::default();
    told.apply(&up(1), Time::START);
    told.apply(&down(1), Time::START);
    told.apply(&up(2), Time::START);
    assert_eq!(open_epochs(&told, Time::START), [2]);
    assert!(told.is_down(&key(1)) && !told.is_down(&key(2)));
}

#[test]
fn list_has_to_agree_after_a_while() {
    let mut told = AnnouncedReplicas::default();
    told.apply(&up(1), Time::START);
    let must_agree = |now| told.open(now).all(|(_, is_listed)| is_listed);
    assert!(!must_agree(Time::START));
    assert!(must_agree(Time::START + LIST_TIME));
}
