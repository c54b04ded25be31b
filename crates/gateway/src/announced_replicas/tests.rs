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

fn open_epochs(announced: &AnnouncedReplicas, now: Time) -> Vec<u64> {
    announced.open(now).map(|(open, _)| open.epoch.0).collect()
}

#[test]
fn last_message_for_an_epoch_counts() {
    let mut announced = AnnouncedReplicas::default();
    announced.apply(&up(1), Time::START);
    assert_eq!(open_epochs(&announced, Time::START), [1]);
    announced.apply(&down(1), Time::START);
    assert!(announced.is_down(&key(1)) && open_epochs(&announced, Time::START).is_empty());
    announced.apply(&up(1), Time::START);
    assert!(!announced.is_down(&key(1)));
}

#[test]
fn next_epoch_replaces_the_previous_one() {
    let mut announced = AnnouncedReplicas::default();
    announced.apply(&up(1), Time::START);
    announced.apply(&down(1), Time::START);
    announced.apply(&up(2), Time::START);
    assert_eq!(open_epochs(&announced, Time::START), [2]);
    assert!(announced.is_down(&key(1)) && !announced.is_down(&key(2)));
}

#[test]
fn list_must_confirm_an_open_replica_after_its_delay() {
    let mut announced = AnnouncedReplicas::default();
    announced.apply(&up(1), Time::START);
    let all_must_be_listed = |now| announced.open(now).all(|(_, must_be_listed)| must_be_listed);
    assert!(!all_must_be_listed(Time::START));
    assert!(all_must_be_listed(Time::START + LIST_CONFIRM_TIME));
}
