mod epochs;
mod evacuation;
mod staging;
mod test_domain;

use citrongw_state::id::{InstanceId, ModelId};

use self::test_domain::{STALL, open};
use super::*;
use crate::{
    adapter::Order,
    control::loads::WeightLoadBudget,
    instance::Membership,
    testing::{engine, model},
};

#[test]
fn empty_domain_forms_its_layout_and_keeps_its_spares_warm() {
    let mut domain = open(7);
    domain.run(4);
    assert_eq!(domain.open_models(), ["l", "s"]);
    let spares = domain.spares();
    assert_eq!(spares.len(), 2);
    assert!(spares.iter().all(|it| !it.staged.is_empty()));
    assert!(spares.iter().all(|it| it.membership.unwrap().state == MemberState::Ready));
}

#[test]
fn head_opens_only_when_every_member_is_ready_under_the_same_member_list() {
    let mut domain = open(7);
    domain.step();
    let joined = domain.members("l");
    domain.host(&joined[1]).membership.as_mut().unwrap().state = MemberState::Joining;
    domain.step();
    assert_eq!(domain.open_models(), ["s"]);
    domain.host(&joined[1]).membership.as_mut().unwrap().state = MemberState::Ready;
    domain.step();
    assert_eq!(domain.open_models(), ["l", "s"]);
}

#[test]
fn lost_member_is_replaced_by_the_spare_with_its_weights_once_the_head_has_left() {
    let mut domain = open(7);
    domain.run(4);
    let before = domain.members("l");
    let spares = domain.spares();
    let spare = spares.iter().find(|it| it.staged.contains(&"l".into())).unwrap().id.to_string();
    let epoch = domain.plan.epoch;
    domain.host(&before[1]).liveness = Liveness::Unresponsive { since: domain.now };
    domain.sent.clear();
    domain.run(3);
    assert_eq!(domain.open_models(), ["l", "s"]);
    let after = domain.members("l");
    assert_eq!(after, [before[0].clone(), spare, before[2].clone()]);
    assert!(epoch < domain.plan.epoch);
    let left = domain
        .sent
        .iter()
        .position(|(id, it)| *id == before[0] && matches!(it, Order::Leave { .. }));
    let joined = domain.sent.iter().position(|(_, it)| matches!(it, Order::Join { .. }));
    assert!(left.unwrap() < joined.unwrap(), "{:?}", domain.sent);
}

#[test]
fn members_of_an_unresponsive_head_continue_under_a_new_epoch() {
    let mut domain = open(7);
    domain.run(4);
    let (before, epoch) = (domain.plan.clone(), domain.plan.epoch);
    let head = domain.members("l")[0].clone();
    domain.host(&head).liveness = Liveness::Unresponsive { since: domain.now };
    domain.run(2);
    assert_eq!(domain.open_models(), ["l", "s"]);
    let replica = |plan: &DomainPlan| {
        plan.replicas.iter().find(|it| it.model.as_str() == "l").unwrap().clone()
    };
    assert_eq!(replica(&domain.plan).id, replica(&before).id, "the replica is the same");
    assert!(epoch < replica(&domain.plan).epoch);
}

#[test]
fn members_of_an_unresponsive_head_join_no_other_replica_before_it_has_broken_by_itself() {
    let mut domain = open(5);
    domain.run(4);
    assert_eq!(domain.open_models(), ["l"]);
    for spare in domain.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        domain.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let members = domain.members("l");
    let lost_at = domain.now;
    domain.host(&members[0]).liveness = Liveness::Unresponsive { since: lost_at };
    while domain.now.since(lost_at) < STALL {
        assert!(domain.plan.contains(&InstanceId::from(members[1].as_str())));
        domain.step();
    }
    domain.run(3);
    assert!(!domain.plan.contains(&InstanceId::from(members[1].as_str())));
}

#[test]
fn members_of_a_head_whose_process_ended_join_at_once() {
    for restarted in [false, true] {
        let mut domain = open(7);
        domain.run(4);
        let head = domain.members("l")[0].clone();
        match restarted {
            true => domain.add_host(&head, 2),
            false => domain.host(&head).liveness = Liveness::Refusing,
        }
        domain.run(2);
        assert_eq!(domain.open_models(), ["l", "s"], "restarted: {restarted}");
    }
}

#[test]
fn leaving_member_is_replaced_after_the_head_has_closed() {
    let mut domain = open(7);
    domain.run(4);
    let before = domain.members("l");
    domain.host(&before[2]).leaving = true;
    domain.sent.clear();
    domain.run(2);
    assert!(matches!(domain.sent[0].1, Order::Close { .. }), "{:?}", domain.sent);
    assert!(!domain.sent.iter().any(|(_, it)| matches!(it, Order::Join { .. })));
    domain.host(&before[0]).membership.as_mut().unwrap().state = MemberState::Ready;
    domain.run(3);
    assert_eq!(domain.open_models(), ["l", "s"]);
    assert!(!domain.members("l").contains(&before[2]));
}

#[test]
fn members_of_an_incomplete_replica_complete_another() {
    let mut domain = open(6);
    domain.run(4);
    assert_eq!(domain.open_models(), ["l", "s"]);
    for _ in 0..2 {
        let lost = domain.members("s")[1].clone();
        domain.host(&lost).liveness = Liveness::Refusing;
        domain.run(6);
    }
    assert_eq!(domain.open_models(), ["l"]);
    let lost = domain.members("l")[1].clone();
    domain.host(&lost).liveness = Liveness::Refusing;
    domain.run(6);
    assert_eq!(
        domain.open_models(),
        ["l"],
        "the remaining member of the other replica completes it"
    );
}

#[test]
fn each_model_has_a_spare_before_any_has_more() {
    let mut domain = open(9);
    // Sizes with which the one instance that is added allows no further replica.
    domain.engine = engine(vec![model("l", 4, 1.0, 0.7), model("s", 3, 1.0, 0.3)]);
    domain.run(4);
    let mut models: Vec<String> =
        domain.spares().iter().map(|it| it.staged[0].to_string()).collect();
    models.sort();
    assert_eq!(models, ["l", "s"]);
    domain.add_host("new", 1);
    domain.run(4);
    let mut models: Vec<String> =
        domain.spares().iter().map(|it| it.staged[0].to_string()).collect();
    models.sort();
    assert_eq!(models, ["l", "l", "s"], "the model with more members is next");
}

#[test]
fn leaving_member_stays_until_a_spare_is_warm() {
    let mut domain = open(7);
    domain.run(4);
    for spare in domain.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        domain.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let leaving = domain.members("l")[1].clone();
    domain.host(&leaving).leaving = true;
    domain.run(4);
    assert_eq!(domain.open_models(), ["l", "s"]);
    assert!(domain.members("l").contains(&leaving));
    domain.add_host("new", 1);
    domain.run(3);
    let before = domain.members("l");
    domain.host(&before[0]).membership.as_mut().unwrap().state = MemberState::Ready;
    domain.run(3);
    assert_eq!(domain.open_models(), ["l", "s"]);
    assert!(!domain.members("l").contains(&leaving));
}

#[test]
fn leaving_head_without_a_spare_is_replaced_by_another_member() {
    let mut domain = open(7);
    domain.run(4);
    for spare in domain.spares().iter().map(|it| it.id.to_string()).collect::<Vec<_>>() {
        domain.hosts.remove(&InstanceId::from(spare.as_str()));
    }
    let before = domain.members("l");
    domain.host(&before[0]).leaving = true;
    domain.run(2);
    assert_eq!(domain.open_models(), ["s"], "the head finishes its requests first");
    domain.host(&before[0]).membership.as_mut().unwrap().state = MemberState::Ready;
    domain.run(3);
    assert_eq!(domain.open_models(), ["l", "s"]);
    assert_ne!(domain.members("l")[0], before[0]);
}

#[test]
fn stray_member_leaves_before_it_is_a_spare() {
    let mut domain = open(7);
    domain.run(4);
    let spare = domain.spares()[0].id.to_string();
    let stray = Membership {
        replica: Some(ReplicaId(999)),
        epoch: Epoch(500),
        rank: 1,
        state: MemberState::Ready,
    };
    domain.host(&spare).membership = Some(stray);
    domain.sent.clear();
    domain.step();
    let expected = Order::Leave { replica: ReplicaId(999), epoch: Epoch(500) };
    assert_eq!(domain.sent[0], (spare, expected));
}

#[test]
fn loads_are_rate_limited() {
    let mut domain = open(7);
    let config = StepConfig { engine: &domain.engine, stall_time: STALL, is_evacuated: false };
    let new_replica_id = || ReplicaId(1);
    let plan = next_plan(
        &domain.plan,
        &domain.hosts,
        &config,
        &mut domain.control_state,
        domain.now,
        new_replica_id,
    )
    .unwrap();
    let mut budget = WeightLoadBudget::open(domain.now, 1.0);
    let first =
        orders(&plan, &domain.hosts, &config, &mut domain.control_state, &mut budget, domain.now);
    assert_eq!(first.len(), 2, "only the burst");
    assert!(first.iter().all(|it| matches!(it.2, Order::Stage { .. })), "{first:?}");
    let later = domain.now + Duration::from_millis(1_000);
    budget.refill(later, 1.0, false);
    let due = orders(&plan, &domain.hosts, &config, &mut domain.control_state, &mut budget, later);
    let (stages, joins): (Vec<_>, Vec<_>) =
        due.iter().partition(|it| matches!(it.2, Order::Stage { .. }));
    assert_eq!(stages.len(), 1, "one a second");
    let loading: Vec<_> = first.iter().map(|it| &it.0).collect();
    let joining: Vec<_> = joins.iter().map(|it| &it.0).collect();
    assert_eq!(joining, loading, "a join without a load needs no budget");
}

#[test]
fn domain_whose_instances_come_back_one_by_one_keeps_its_weights() {
    let mut domain = open(7);
    domain.run(4);
    let staged: Vec<(String, Vec<ModelId>)> =
        domain.hosts.values().map(|it| (it.id.to_string(), it.staged.clone())).collect();
    for id in staged.iter().map(|(id, _)| id) {
        domain.host(id).liveness = Liveness::Refusing;
    }
    domain.run(4);
    domain.hosts.clear();
    for (id, staged) in staged.iter().rev() {
        domain.add_host(id, 2);
        domain.host(id).staged.clone_from(staged);
        domain.step();
    }
    domain.run(4);
    assert_eq!(domain.open_models(), ["l", "s"]);
    for (id, staged) in &staged {
        assert_eq!(domain.host(id).staged, *staged, "{id}");
    }
}

#[test]
fn last_spare_loads_the_weights_of_the_model_with_the_most_members() {
    let mut domain = open(7);
    domain.run(4);
    let lost = domain.members("l")[1].clone();
    domain.host(&lost).liveness = Liveness::Refusing;
    domain.run(6);
    let spares = domain.spares();
    let alive: Vec<_> = spares.iter().filter(|it| it.is_alive()).collect();
    assert_eq!(alive.len(), 1);
    assert_eq!(alive[0].staged, ["l".into()]);
    assert_eq!(domain.open_models(), ["l", "s"]);
}

#[test]
fn repeated_open_order_does_not_delay_the_opening() {
    let mut domain = open(7);
    domain.step();
    let replica = domain.plan.replicas[0].clone();
    let key = (replica.id, replica.epoch);
    let opens_at = domain.now + Duration::from_millis(300);
    domain.control_state.add_opening(key.0, key.1, opens_at);
    domain.control_state.add_opening(key.0, key.1, opens_at + Duration::from_millis(400));
    let serves =
        |now| serving(&domain.plan, &domain.hosts, &domain.control_state, now).contains(&key);
    assert!(!serves(domain.now));
    assert!(serves(opens_at));
}

#[test]
fn members_that_are_cut_off_from_the_platform_continue_to_serve() {
    let mut domain = open(7);
    domain.run(4);
    let (plan, members) = (domain.plan.clone(), domain.members("l"));
    for id in &members[1..] {
        domain.host(id).is_listed = false;
    }
    domain.sent.clear();
    domain.run(4);
    assert_eq!((domain.open_models().len(), &domain.plan), (2, &plan));
    assert_eq!(domain.sent, []);
}

#[test]
fn head_that_is_cut_off_from_the_platform_is_replaced_by_a_listed_member() {
    let mut domain = open(7);
    domain.run(4);
    let before = domain.members("l");
    for id in &before[..2] {
        domain.host(id).is_listed = false;
    }
    domain.run(2);
    domain.host(&before[0]).membership.as_mut().unwrap().state = MemberState::Ready;
    domain.run(3);
    assert_eq!(domain.open_models(), ["l", "s"]);
    let mut after = domain.members("l");
    assert_eq!(after[0], before[2]);
    after.sort();
    assert_eq!(after, before, "the members are unchanged");
}

/// A cold head would tolerate few requests.
#[test]
fn warm_member_becomes_the_head() {
    let mut domain = open(7);
    let cold = domain.hosts.keys().next().unwrap().to_string();
    domain.host(&cold).is_cold = true;
    domain.run(4);
    assert_eq!(domain.open_models(), ["l", "s"]);
    let members = domain.members("l");
    assert!(members.contains(&cold), "the case needs a cold member");
    assert_ne!(members[0], cold, "{members:?}");
    domain.host(&members[0]).is_cold = true;
    domain.host(&cold).liveness = Liveness::Unresponsive { since: domain.now };
    let warm = members[1..].iter().find(|it| **it != cold).unwrap();
    domain.run(4);
    let after = domain.members("l");
    assert_eq!(after.first(), Some(warm), "{members:?} to {after:?}");
}
