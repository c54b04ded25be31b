//! Domains in a zone under evacuation.

use super::*;

/// Guards against weights that are loaded, and spares that move, while the zone is
/// evacuated.
#[test]
fn evacuated_domain_is_neither_repaired_nor_dissolved_and_keeps_its_spares() {
    let mut domain = open(7);
    domain.run(4);
    let plan = domain.plan.clone();
    let spares: Vec<String> = domain.spares().iter().map(|it| it.id.to_string()).collect();
    domain.is_evacuated = true;
    domain.sent.clear();
    let lost = domain.members("l")[1].clone();
    domain.host(&lost).liveness = Liveness::Refusing;
    // Longer than an incomplete replica waits for spares.
    domain.run(20);
    assert_eq!(domain.sent, [], "no order");
    assert_eq!(domain.plan, plan);
    assert_eq!(domain.open_models(), ["s"], "the other replica lost a member");
    let open = domain.hosts.values().filter_map(|it| it.membership);
    let open = open.filter(|it| it.state == MemberState::Open);
    assert_eq!(open.count(), 2, "heads that are open stay open");
    domain.is_evacuated = false;
    domain.run(4);
    assert_eq!(domain.open_models(), ["l", "s"]);
    assert!(!domain.members("l").contains(&lost));
    let used = spares.iter().filter(|it| domain.members("l").contains(*it));
    assert_eq!(used.count(), 1, "a spare that was kept warm");
}

/// Guards against replicas that are formed or opened in a zone under evacuation.
#[test]
fn nothing_is_formed_in_an_evacuated_domain() {
    let mut domain = open(7);
    domain.is_evacuated = true;
    domain.run(4);
    assert_eq!(domain.sent, []);
    assert!(domain.plan.replicas.is_empty());
    domain.is_evacuated = false;
    domain.run(4);
    assert_eq!(domain.open_models(), ["l", "s"]);
}

/// Guards against a replica whose forming was under way and that opens nevertheless.
#[test]
fn replica_that_is_ready_is_not_opened_in_an_evacuated_domain() {
    let mut domain = open(7);
    domain.step();
    domain.is_evacuated = true;
    domain.sent.clear();
    domain.run(4);
    assert_eq!(domain.sent, []);
    assert!(domain.open_models().is_empty());
}

/// Guards against a replica that is dissolved at the return of its zone because the time
/// in which it lacked a spare went on during the evacuation.
#[test]
fn incomplete_replica_gets_its_full_time_after_the_evacuation() {
    let mut domain = open(7);
    domain.run(4);
    let id_of_l =
        |plan: &DomainPlan| plan.replicas.iter().find(|it| it.model == "l".into()).map(|it| it.id);
    let replica = id_of_l(&domain.plan);
    let mut lost: Vec<String> = domain.spares().iter().map(|it| it.id.to_string()).collect();
    lost.push(domain.members("l")[1].clone());
    for id in &lost {
        domain.host(id).liveness = Liveness::Refusing;
    }
    domain.step();
    domain.is_evacuated = true;
    domain.run(20);
    domain.is_evacuated = false;
    domain.step();
    domain.step();
    domain.add_host("spare", 1);
    domain.run(4);
    assert_eq!(domain.open_models(), ["l", "s"]);
    assert_eq!(id_of_l(&domain.plan), replica, "it was not dissolved");
}
