//! Weights that are loaded separately from joins.

use super::{
    test_domain::{TestDomain, open},
    *,
};

/// Number of orders for one instance to load weights of a model.
fn loads_of(domain: &TestDomain, host: &str, model: &str) -> usize {
    let is_load = |order: &Order| *order == Order::Stage { model: model.into() };
    domain.sent.iter().filter(|(id, order)| id == host && is_load(order)).count()
}

#[test]
fn weights_of_a_new_spare_are_loaded_once_although_its_replica_changes() {
    let mut domain = open(7);
    domain.run(4);
    domain.has_traffic = true;
    for spare in domain.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        domain.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let members = domain.members("l");
    domain.host(&members[1]).liveness = Liveness::Refusing;
    domain.add_host("new", 1);
    domain.run(6);
    assert!(domain.members("l").contains(&"new".to_owned()));
    assert_eq!(domain.open_models(), ["s"], "the weights are still loading");
    // Another member is lost and replaced during the load.
    domain.host(&members[2]).liveness = Liveness::Refusing;
    domain.add_host("newer", 1);
    domain.run(8);
    let after = domain.members("l");
    assert!(after.contains(&"new".to_owned()) && after.contains(&"newer".to_owned()));
    domain.run(8);
    assert_eq!(domain.open_models(), ["l", "s"]);
    assert_eq!((loads_of(&domain, "new", "l"), loads_of(&domain, "newer", "l")), (1, 1));
}

#[test]
fn spare_that_loads_other_weights_serves_its_own_model_meanwhile() {
    let mut domain = open(7);
    domain.run(4);
    domain.has_traffic = true;
    let lost = domain.members("l")[1].clone();
    domain.host(&lost).liveness = Liveness::Refusing;
    domain.run(6);
    let spares = domain.spares();
    let spare = spares.iter().find(|it| it.is_alive()).unwrap().id.to_string();
    assert_eq!(loads_of(&domain, &spare, "l"), 1);
    let lost = domain.members("s")[1].clone();
    domain.host(&lost).liveness = Liveness::Refusing;
    domain.run(3);
    assert_eq!(domain.open_models(), ["l", "s"]);
    assert!(domain.members("s").contains(&spare));
}

#[test]
fn instance_that_refuses_to_load_before_a_join_joins_at_once() {
    let mut domain = open(7);
    domain.run(4);
    domain.has_traffic = true;
    for spare in domain.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        domain.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let lost = domain.members("l")[1].clone();
    domain.host(&lost).liveness = Liveness::Refusing;
    domain.add_host("new", 1);
    domain.run(2);
    domain.control_state.cancel_staging(&"new".into(), true);
    domain.sent.clear();
    domain.run(2);
    let joined = |it: &&(String, Order)| it.0 == "new" && matches!(it.1, Order::Join { .. });
    assert!(domain.sent.iter().any(|it| joined(&it)), "{:?}", domain.sent);
}

#[test]
fn spare_that_loads_other_weights_with_a_join_ends_the_load() {
    let mut domain = open(7);
    domain.run(4);
    domain.has_traffic = true;
    for spare in domain.spares().iter().map(|it| it.id.clone()).collect::<Vec<_>>() {
        domain.control_state.cancel_staging(&spare, true);
    }
    let lost = domain.members("l")[1].clone();
    domain.host(&lost).liveness = Liveness::Refusing;
    domain.run(20);
    let spares = domain.spares();
    let spare = spares.iter().find(|it| it.is_alive()).unwrap();
    assert_eq!(spare.staged, ["l".into()]);
    assert_eq!(spare.membership.unwrap().state, MemberState::Ready);
}
