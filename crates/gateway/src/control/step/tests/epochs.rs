//! Epochs of owners in turn, whose orders may be carried out late.

use citrongw_state::id::StoreEra;

use super::{
    test_domain::{TestDomain, open},
    *,
};

const ERA: StoreEra = StoreEra(0);

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
