//! Epochs of owners in turn, whose orders may be carried out late.

use citrongw_state::id::StoreEra;

use super::{
    test_domain::{TestDomain, open},
    *,
};
use crate::control::step::control_state::Standby;

const ERA: StoreEra = StoreEra(0);
/// Record whose epochs are never used up.
const RECORDED: Epoch = Epoch(u64::MAX);

/// Highest epoch of the joins that were sent.
fn highest_sent(domain: &TestDomain) -> Epoch {
    let epochs = domain.sent.iter().filter_map(|(_, order)| match order {
        Order::Join { epoch, .. } => Some(*epoch),
        _ => None,
    });
    epochs.max().unwrap()
}

/// Lets another node own the domain, which knows only the record.
fn change_owner(domain: &mut TestDomain, era: StoreEra) {
    domain.control_state = ControlState::default();
    domain.control_state.add_read(&domain.plan, era);
    domain.plan.owner.0 += 1;
    domain.plan.reserve_epochs(domain.control_state.epoch_floor());
    domain.sent.clear();
}

fn lose_member(domain: &mut TestDomain) {
    let lost = domain.members("l")[1].clone();
    domain.host(&lost).liveness = Liveness::Refusing;
}

/// Gives a spare standby replicas of two models, one after the other.
fn begin_two_standbys(spare: &Host) -> (ControlState, Standby, Standby) {
    let mut control_state = ControlState::default();
    let first = control_state.begin_standby(spare, &"l".into(), RECORDED).unwrap();
    let second = control_state.begin_standby(spare, &"s".into(), RECORDED).unwrap();
    (control_state, first, second)
}

/// Restarts a spare, whose next standby join is sent and has no effect.
fn restart_spare_without_effect(domain: &mut TestDomain) -> String {
    let spares = domain.spares();
    let spare = spares.iter().find(|it| it.staged.contains(&"l".into())).unwrap().id.to_string();
    domain.add_host(&spare, 2);
    domain.host(&spare).staged = vec!["l".into()];
    domain.step();
    domain.host(&spare).membership = None;
    spare
}

fn check_next_owner_exceeds(domain: &mut TestDomain, late: Epoch) {
    lose_member(domain);
    domain.run(3);
    assert_eq!(domain.open_models(), ["l", "s"]);
    let replica = domain.plan.replicas.iter().find(|it| it.model.as_str() == "l").unwrap();
    assert!(late < replica.epoch, "{late} would be carried out at {}", replica.epoch);
}

/// Guards against a join of a spare that is carried out late and takes it out of the open
/// replica that the next owner has put it into.
#[test]
fn next_owner_exceeds_the_epochs_of_standby_joins() {
    let mut domain = open(7);
    domain.run(4);
    let spare = restart_spare_without_effect(&mut domain);
    let late = highest_sent(&domain);
    change_owner(&mut domain, ERA);
    check_next_owner_exceeds(&mut domain, late);
    assert!(domain.members("l").contains(&spare));
}

/// The same when the record comes back from a backup that lacks the latest epochs.
#[test]
fn owner_in_a_new_era_exceeds_the_epochs_that_a_backup_lacks() {
    let mut domain = open(7);
    domain.run(4);
    let backup = domain.plan.clone();
    lose_member(&mut domain);
    domain.run(3);
    restart_spare_without_effect(&mut domain);
    let late = highest_sent(&domain);
    let mut domain = open(7);
    domain.plan = backup;
    change_owner(&mut domain, StoreEra(1));
    domain.run(4);
    check_next_owner_exceeds(&mut domain, late);
}

/// The same after an owner of a former build, whose standby joins have the epochs after
/// that of the record.
#[test]
fn owner_after_one_of_a_former_build_exceeds_its_standby_joins() {
    let mut domain = open(7);
    domain.run(4);
    let mut record = serde_json::to_value(&domain.plan).unwrap();
    record.as_object_mut().unwrap().remove("has_all_epochs");
    domain.plan = serde_json::from_value(record).unwrap();
    let late = Epoch(domain.plan.epoch.0 + 100);
    change_owner(&mut domain, ERA);
    check_next_owner_exceeds(&mut domain, late);
}

/// An owner of a former build continues after the epoch of the record.
#[test]
fn record_tells_a_former_build_the_highest_epoch() {
    let mut domain = open(7);
    domain.run(4);
    restart_spare_without_effect(&mut domain);
    let record = serde_json::to_value(&domain.plan).unwrap();
    assert!(highest_sent(&domain).0 <= record["epoch"].as_u64().unwrap());
}

#[test]
fn spares_cost_one_write_for_many_joins() {
    let mut domain = open(7);
    domain.run(4);
    let mut writes = 0;
    for incarnation in 2..130 {
        let spare = domain.spares()[0].id.to_string();
        domain.add_host(&spare, incarnation);
        domain.host(&spare).staged = vec!["l".into()];
        let before = domain.plan.clone();
        domain.run(2);
        writes += usize::from(domain.plan != before);
    }
    assert!((1..=3).contains(&writes), "{writes} writes for 128 joins");
}

#[test]
fn epoch_exceeds_all_epochs_that_instances_have_seen() {
    let mut domain = open(7);
    let seen = Membership { replica: None, epoch: Epoch(500), rank: 0, state: MemberState::Ready };
    domain.host("h6").membership = Some(seen);
    domain.step();
    assert!(Epoch(500) < domain.plan.epoch);
}

#[test]
fn spare_that_refuses_an_epoch_gets_a_higher_one() {
    let mut domain = open(7);
    domain.run(4);
    let spare = domain.spares()[0].clone();
    let (id, membership) = (spare.id.clone(), spare.membership.unwrap());
    domain.control_state.add_refused(&id, membership.replica.unwrap(), membership.epoch);
    domain.host(id.as_str()).membership = None;
    domain.sent.clear();
    domain.step();
    let joined = domain.sent.iter().find_map(|(to, order)| match order {
        Order::Join { epoch, .. } if *to == id.to_string() => Some(*epoch),
        _ => None,
    });
    assert!(Epoch(membership.epoch.0 * 2) < joined.unwrap());
    // The epoch of a replica that takes the spare must be higher too.
    let lost = domain.members("l")[1].clone();
    domain.host(&lost).liveness = Liveness::Refusing;
    domain.run(2);
    assert!(joined.unwrap() < domain.plan.epoch);
}

#[test]
fn epochs_grow_however_often_a_spare_refuses() {
    let mut domain = open(7);
    domain.run(4);
    let spare = domain.spares()[0].clone();
    let mut control_state = ControlState::default();
    let mut last = domain.plan.epoch;
    control_state.raise_epoch_floor(last);
    for refusals in 0..100 {
        let standby = control_state.begin_standby(&spare, &"l".into(), RECORDED).unwrap();
        assert!(last < standby.epoch, "epoch {} after {refusals} refusals", standby.epoch);
        last = standby.epoch;
        control_state.add_refused(&spare.id, standby.replica, standby.epoch);
    }
}

#[test]
fn spare_that_changes_its_model_joins_under_another_epoch_although_its_report_is_old() {
    let mut domain = open(7);
    domain.run(4);
    let spare = domain.spares()[0].clone();
    let (_, first, second) = begin_two_standbys(&spare);
    assert!(first.epoch < second.epoch);
}

#[test]
fn refusal_of_a_join_that_a_later_one_overtook_changes_nothing() {
    let mut domain = open(7);
    domain.run(4);
    let spare = domain.spares()[0].clone();
    let (mut control_state, first, second) = begin_two_standbys(&spare);
    control_state.add_refused(&spare.id, first.replica, first.epoch);
    assert_eq!(control_state.standby(&spare), Some(&second));
}
