//! Tests of placement.

use super::*;

fn capacity(domain: &str, free: u32) -> DomainCapacity {
    DomainCapacity { domain: domain.into(), zone: "z".into(), free }
}

fn demand(instances: u32, missing: u32, may_span_domains: bool) -> Demand {
    let deployment = format!("d{instances}").as_str().into();
    Demand { deployment, instances, missing, may_span_domains }
}

fn planned(objective: Objective, capacities: &[DomainCapacity], demands: &[Demand]) -> Vec<String> {
    let text = |it: &Assignment| {
        let part = |part: &DomainPart| format!("{}:{}", part.domain, part.instances);
        let parts: Vec<String> = it.parts.iter().map(part).collect();
        format!("{} {}", it.deployment, parts.join("+"))
    };
    plan(objective, capacities, demands).iter().map(text).collect()
}

#[test]
fn replicas_are_placed_by_the_objective() {
    use Objective::{GroupDowntime, StrandedAccelerators};
    let capacities = [capacity("a", 5), capacity("b", 4), capacity("c", 2)];
    let cases = [
        (GroupDowntime, vec![demand(4, 1, false)], vec!["d4 a:4"]),
        (StrandedAccelerators, vec![demand(4, 1, false)], vec!["d4 b:4"]),
        (GroupDowntime, vec![demand(4, 3, false)], vec!["d4 a:4", "d4 b:4"]),
        (GroupDowntime, vec![demand(6, 1, false)], vec![]),
        (GroupDowntime, vec![demand(6, 1, true)], vec!["d6 a:5+b:1"]),
        (GroupDowntime, vec![demand(12, 1, true)], vec![]),
        (
            StrandedAccelerators,
            vec![demand(2, 1, false), demand(4, 1, false)],
            vec!["d4 b:4", "d2 c:2"],
        ),
    ];
    for (objective, demands, expected) in cases {
        assert_eq!(planned(objective, &capacities, &demands), expected, "{objective} {demands:?}");
    }
}

#[test]
fn parts_are_sorted_by_domain() {
    let capacities = [capacity("b", 3), capacity("a", 1)];
    let plan = planned(Objective::GroupDowntime, &capacities, &[demand(4, 1, true)]);
    assert_eq!(plan, ["d4 a:1+b:3"]);
}
