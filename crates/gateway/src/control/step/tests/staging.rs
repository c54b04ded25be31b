//! Weights that are loaded separately from joins.

use super::{
    world::{World, open},
    *,
};

/// Number of orders for one instance to load weights of a model.
fn loads_of(world: &World, host: &str, model: &str) -> usize {
    let is_load = |order: &Order| *order == Order::Stage { model: model.into() };
    world.sent.iter().filter(|(id, order)| id == host && is_load(order)).count()
}

#[test]
fn weights_of_a_new_spare_are_loaded_once_although_its_replica_changes() {
    let mut world = open(7);
    world.run(4);
    world.has_traffic = true;
    for spare in world.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        world.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let members = world.members("l");
    world.host(&members[1]).liveness = Liveness::Refusing;
    world.add_host("new", 1);
    world.run(6);
    assert!(world.members("l").contains(&"new".to_owned()));
    assert_eq!(world.open_models(), ["s"], "the weights are still loading");
    // Another member is lost and replaced during the load.
    world.host(&members[2]).liveness = Liveness::Refusing;
    world.add_host("newer", 1);
    world.run(8);
    let after = world.members("l");
    assert!(after.contains(&"new".to_owned()) && after.contains(&"newer".to_owned()));
    world.run(8);
    assert_eq!(world.open_models(), ["l", "s"]);
    assert_eq!((loads_of(&world, "new", "l"), loads_of(&world, "newer", "l")), (1, 1));
}

#[test]
fn spare_that_loads_other_weights_serves_its_own_model_meanwhile() {
    let mut world = open(7);
    world.run(4);
    world.has_traffic = true;
    let lost = world.members("l")[1].clone();
    world.host(&lost).liveness = Liveness::Refusing;
    world.run(6);
    let spares = world.spares();
    let spare = spares.iter().find(|it| it.is_alive()).unwrap().id.to_string();
    assert_eq!(loads_of(&world, &spare, "l"), 1);
    let lost = world.members("s")[1].clone();
    world.host(&lost).liveness = Liveness::Refusing;
    world.run(3);
    assert_eq!(world.open_models(), ["l", "s"]);
    assert!(world.members("s").contains(&spare));
}

#[test]
fn instance_that_refuses_to_load_before_a_join_joins_at_once() {
    let mut world = open(7);
    world.run(4);
    world.has_traffic = true;
    for spare in world.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        world.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let lost = world.members("l")[1].clone();
    world.host(&lost).liveness = Liveness::Refusing;
    world.add_host("new", 1);
    world.run(2);
    world.control_state.end_staging(&"new".into(), true);
    world.sent.clear();
    world.run(2);
    let joined = |it: &&(String, Order)| it.0 == "new" && matches!(it.1, Order::Join { .. });
    assert!(world.sent.iter().any(|it| joined(&it)), "{:?}", world.sent);
}
