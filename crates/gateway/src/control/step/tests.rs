mod staging;
mod world;

use citrongw_state::id::{InstanceId, ModelId};

use self::world::{STALL, open};
use super::*;
use crate::{
    adapter::Order,
    control::loads::LoadBudget,
    instance::Membership,
    testing::{engine, model},
};

#[test]
fn empty_domain_forms_its_layout_and_keeps_its_spares_warm() {
    let mut world = open(7);
    world.run(4);
    assert_eq!(world.open_models(), ["l", "s"]);
    let spares = world.spares();
    assert_eq!(spares.len(), 2);
    assert!(spares.iter().all(|it| !it.staged.is_empty()));
    assert!(spares.iter().all(|it| it.membership.unwrap().state == MemberState::Ready));
}

#[test]
fn head_opens_only_when_every_member_is_ready_under_the_same_list() {
    let mut world = open(7);
    world.step();
    let joined = world.members("l");
    world.host(&joined[1]).membership.as_mut().unwrap().state = MemberState::Joining;
    world.step();
    assert_eq!(world.open_models(), ["s"]);
    world.host(&joined[1]).membership.as_mut().unwrap().state = MemberState::Ready;
    world.step();
    assert_eq!(world.open_models(), ["l", "s"]);
}

#[test]
fn lost_member_is_replaced_by_the_spare_with_its_weights_once_the_head_has_left() {
    let mut world = open(7);
    world.run(4);
    let before = world.members("l");
    let spares = world.spares();
    let spare = spares.iter().find(|it| it.staged.contains(&"l".into())).unwrap().id.to_string();
    let epoch = world.plan.epoch;
    world.host(&before[1]).liveness = Liveness::Unresponsive { since: world.now };
    world.sent.clear();
    world.run(3);
    assert_eq!(world.open_models(), ["l", "s"]);
    let after = world.members("l");
    assert_eq!(after, [before[0].clone(), spare, before[2].clone()]);
    assert!(epoch < world.plan.epoch);
    let left = world
        .sent
        .iter()
        .position(|(id, it)| *id == before[0] && matches!(it, Order::Leave { .. }));
    let joined = world.sent.iter().position(|(_, it)| matches!(it, Order::Join { .. }));
    assert!(left.unwrap() < joined.unwrap(), "{:?}", world.sent);
}

#[test]
fn members_of_an_unresponsive_head_continue_under_a_new_epoch() {
    let mut world = open(7);
    world.run(4);
    let (before, epoch) = (world.plan.clone(), world.plan.epoch);
    let head = world.members("l")[0].clone();
    world.host(&head).liveness = Liveness::Unresponsive { since: world.now };
    world.run(2);
    assert_eq!(world.open_models(), ["l", "s"]);
    let replica = |plan: &DomainPlan| {
        plan.replicas.iter().find(|it| it.model.as_str() == "l").unwrap().clone()
    };
    assert_eq!(replica(&world.plan).id, replica(&before).id, "the replica is the same");
    assert!(epoch < replica(&world.plan).epoch);
}

#[test]
fn members_of_an_unresponsive_head_join_no_other_replica_before_it_has_broken_by_itself() {
    let mut world = open(5);
    world.run(4);
    assert_eq!(world.open_models(), ["l"]);
    for spare in world.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        world.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let members = world.members("l");
    let lost_at = world.now;
    world.host(&members[0]).liveness = Liveness::Unresponsive { since: lost_at };
    while world.now.since(lost_at) < STALL {
        assert!(world.plan.contains(&InstanceId::from(members[1].as_str())));
        world.step();
    }
    world.run(3);
    assert!(!world.plan.contains(&InstanceId::from(members[1].as_str())));
}

#[test]
fn members_of_a_head_whose_process_ended_join_at_once() {
    for restarted in [false, true] {
        let mut world = open(7);
        world.run(4);
        let head = world.members("l")[0].clone();
        match restarted {
            true => world.add_host(&head, 2),
            false => world.host(&head).liveness = Liveness::Refusing,
        }
        world.run(2);
        assert_eq!(world.open_models(), ["l", "s"], "restarted: {restarted}");
    }
}

#[test]
fn leaving_member_is_replaced_after_the_head_has_closed() {
    let mut world = open(7);
    world.run(4);
    let before = world.members("l");
    world.host(&before[2]).leaving = true;
    world.sent.clear();
    world.run(2);
    assert!(matches!(world.sent[0].1, Order::Close { .. }), "{:?}", world.sent);
    assert!(!world.sent.iter().any(|(_, it)| matches!(it, Order::Join { .. })));
    world.host(&before[0]).membership.as_mut().unwrap().state = MemberState::Ready;
    world.run(3);
    assert_eq!(world.open_models(), ["l", "s"]);
    assert!(!world.members("l").contains(&before[2]));
}

#[test]
fn members_of_an_incomplete_replica_complete_another() {
    let mut world = open(6);
    world.run(4);
    assert_eq!(world.open_models(), ["l", "s"]);
    for _ in 0..2 {
        let lost = world.members("s")[1].clone();
        world.host(&lost).liveness = Liveness::Refusing;
        world.run(6);
    }
    assert_eq!(world.open_models(), ["l"]);
    let lost = world.members("l")[1].clone();
    world.host(&lost).liveness = Liveness::Refusing;
    world.run(6);
    assert_eq!(
        world.open_models(),
        ["l"],
        "the remaining member of the other replica completes it"
    );
}

#[test]
fn each_model_has_a_spare_before_any_has_more() {
    let mut world = open(9);
    // Sizes with which the one instance that is added allows no further replica.
    world.engine = engine(vec![model("l", 4, 1.0, 0.7), model("s", 3, 1.0, 0.3)]);
    world.run(4);
    let mut models: Vec<String> =
        world.spares().iter().map(|it| it.staged[0].to_string()).collect();
    models.sort();
    assert_eq!(models, ["l", "s"]);
    world.add_host("new", 1);
    world.run(4);
    let mut models: Vec<String> =
        world.spares().iter().map(|it| it.staged[0].to_string()).collect();
    models.sort();
    assert_eq!(models, ["l", "l", "s"], "the model with more members is next");
}

#[test]
fn leaving_member_stays_until_a_spare_is_warm() {
    let mut world = open(7);
    world.run(4);
    for spare in world.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        world.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let leaving = world.members("l")[1].clone();
    world.host(&leaving).leaving = true;
    world.run(4);
    assert_eq!(world.open_models(), ["l", "s"]);
    assert!(world.members("l").contains(&leaving));
    world.add_host("new", 1);
    world.run(3);
    let before = world.members("l");
    world.host(&before[0]).membership.as_mut().unwrap().state = MemberState::Ready;
    world.run(3);
    assert_eq!(world.open_models(), ["l", "s"]);
    assert!(!world.members("l").contains(&leaving));
}

#[test]
fn leaving_head_without_a_spare_is_replaced_by_another_member() {
    let mut world = open(7);
    world.run(4);
    for spare in world.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        world.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let before = world.members("l");
    world.host(&before[0]).leaving = true;
    world.run(2);
    assert_eq!(world.open_models(), ["s"], "the head finishes its requests first");
    world.host(&before[0]).membership.as_mut().unwrap().state = MemberState::Ready;
    world.run(3);
    assert_eq!(world.open_models(), ["l", "s"]);
    assert_ne!(world.members("l")[0], before[0]);
}

#[test]
fn stray_member_leaves_before_it_is_a_spare() {
    let mut world = open(7);
    world.run(4);
    let spare = world.spares()[0].id.to_string();
    let stray = Membership {
        replica: Some(ReplicaId(999)),
        epoch: Epoch(500),
        rank: 1,
        state: MemberState::Ready,
    };
    world.host(&spare).membership = Some(stray);
    world.sent.clear();
    world.step();
    let expected = Order::Leave { replica: ReplicaId(999), epoch: Epoch(500) };
    assert_eq!(world.sent[0], (spare, expected));
}

#[test]
fn epoch_exceeds_all_epochs_that_instances_have_seen() {
    let mut world = open(7);
    let seen = Membership { replica: None, epoch: Epoch(500), rank: 0, state: MemberState::Ready };
    world.host("h6").membership = Some(seen);
    world.step();
    assert!(Epoch(500) < world.plan.epoch);
}

#[test]
fn loads_are_rate_limited() {
    let mut world = open(7);
    let config = StepConfig { engine: &world.engine, stall_time: STALL };
    let draw = || ReplicaId(1);
    let plan =
        next_plan(&world.plan, &world.hosts, &config, &mut world.control_state, world.now, draw)
            .unwrap();
    let mut budget = LoadBudget::open(world.now, 1.0);
    let first =
        orders(&plan, &world.hosts, &config, &mut world.control_state, &mut budget, world.now);
    assert_eq!(first.len(), 2, "only the burst");
    assert!(first.iter().all(|it| matches!(it.2, Order::Stage { .. })), "{first:?}");
    let later = world.now + Duration::from_millis(1_000);
    budget.refill(later, 1.0, false);
    let due = orders(&plan, &world.hosts, &config, &mut world.control_state, &mut budget, later);
    let (stages, joins): (Vec<_>, Vec<_>) =
        due.iter().partition(|it| matches!(it.2, Order::Stage { .. }));
    assert_eq!(stages.len(), 1, "one a second");
    let loading: Vec<_> = first.iter().map(|it| &it.0).collect();
    let joining: Vec<_> = joins.iter().map(|it| &it.0).collect();
    assert_eq!(joining, loading, "a join without a load needs no budget");
}

#[test]
fn domain_whose_instances_come_back_one_by_one_keeps_its_weights() {
    let mut world = open(7);
    world.run(4);
    let staged: Vec<(String, Vec<ModelId>)> =
        world.hosts.values().map(|it| (it.id.to_string(), it.staged.clone())).collect();
    for id in staged.iter().map(|(id, _)| id) {
        world.host(id).liveness = Liveness::Refusing;
    }
    world.run(4);
    world.hosts.clear();
    for (id, staged) in staged.iter().rev() {
        world.add_host(id, 2);
        world.host(id).staged.clone_from(staged);
        world.step();
    }
    world.run(4);
    assert_eq!(world.open_models(), ["l", "s"]);
    for (id, staged) in &staged {
        assert_eq!(world.host(id).staged, *staged, "{id}");
    }
}

#[test]
fn last_spare_loads_the_weights_of_the_model_with_the_most_members() {
    let mut world = open(7);
    world.run(4);
    let lost = world.members("l")[1].clone();
    world.host(&lost).liveness = Liveness::Refusing;
    world.run(6);
    let spares = world.spares();
    let alive: Vec<_> = spares.iter().filter(|it| it.is_alive()).collect();
    assert_eq!(alive.len(), 1);
    assert_eq!(alive[0].staged, ["l".into()]);
    assert_eq!(world.open_models(), ["l", "s"]);
}

#[test]
fn repeated_open_order_does_not_delay_the_opening() {
    let mut world = open(7);
    world.step();
    let replica = world.plan.replicas[0].clone();
    let key = (replica.id, replica.epoch);
    let opens_at = world.now + Duration::from_millis(300);
    world.control_state.add_opening(key.0, key.1, opens_at);
    world.control_state.add_opening(key.0, key.1, opens_at + Duration::from_millis(400));
    let serves = |now| serving(&world.plan, &world.hosts, &world.control_state, now).contains(&key);
    assert!(!serves(world.now));
    assert!(serves(opens_at));
}

#[test]
fn members_that_are_cut_off_from_the_platform_continue_to_serve() {
    let mut world = open(7);
    world.run(4);
    let (plan, members) = (world.plan.clone(), world.members("l"));
    for id in &members[1..] {
        world.host(id).is_listed = false;
    }
    world.sent.clear();
    world.run(4);
    assert_eq!((world.open_models().len(), &world.plan), (2, &plan));
    assert_eq!(world.sent, []);
}

#[test]
fn head_that_is_cut_off_from_the_platform_is_replaced_by_a_listed_member() {
    let mut world = open(7);
    world.run(4);
    let before = world.members("l");
    for id in &before[..2] {
        world.host(id).is_listed = false;
    }
    world.run(2);
    world.host(&before[0]).membership.as_mut().unwrap().state = MemberState::Ready;
    world.run(3);
    assert_eq!(world.open_models(), ["l", "s"]);
    let mut after = world.members("l");
    assert_eq!(after[0], before[2]);
    after.sort();
    assert_eq!(after, before, "the members are unchanged");
}

#[test]
fn spare_that_refuses_an_epoch_gets_a_higher_one() {
    let mut world = open(7);
    world.run(4);
    let spare = world.spares()[0].clone();
    let (id, membership) = (spare.id.clone(), spare.membership.unwrap());
    world.control_state.add_refused(&id, membership.replica.unwrap(), membership.epoch);
    world.host(id.as_str()).membership = None;
    world.sent.clear();
    world.step();
    let joined = world.sent.iter().find_map(|(to, order)| match order {
        Order::Join { epoch, .. } if *to == id.to_string() => Some(*epoch),
        _ => None,
    });
    assert!(Epoch(membership.epoch.0 * 2) < joined.unwrap());
    // The epoch of a replica that takes the spare must be higher too.
    let lost = world.members("l")[1].clone();
    world.host(&lost).liveness = Liveness::Refusing;
    world.run(2);
    assert!(joined.unwrap() < world.plan.epoch);
}
