//! Tests of how nodes share the limit of an organisation.

use super::*;

const LIMIT_PER_S: f64 = 100.0;

fn config() -> Config {
    serde_json::from_value(serde_json::json!({
        "organisations": [{ "id": "a", "limit_requests_per_s": LIMIT_PER_S }, { "id": "b" }],
    }))
    .unwrap()
}

fn demand_report(node: u64, sequence: u64, demand: RequestsPerSecond) -> OrganisationDemand {
    OrganisationDemand {
        organisation: "a".into(),
        node: NodeId(node),
        sequence,
        requests_per_s: demand.0 as f32,
    }
}

#[test]
fn organisation_without_a_limit_has_none() {
    let limits = Limits::default();
    limits.replace(&config());
    assert!(limits.get(&"a".into()).is_some());
    assert!(limits.get(&"b".into()).is_none());
}

#[test]
fn two_nodes_share_one_limit_within_5_percent() {
    let nodes = [Limits::default(), Limits::default()];
    for node in &nodes {
        node.replace(&config());
    }
    let limits = nodes.each_ref().map(|it| it.get(&"a".into()).unwrap());
    let mut taken = 0_u32;
    let (from_ms, to_ms) = (20_000, 60_000);
    for ms in 0..to_ms {
        let now = Time::from_millis(ms);
        // The demand of the first node is three times that of the second; the sum is
        // about four times the limit.
        for (limit, every_ms) in limits.iter().zip([3, 10]) {
            if ms % every_ms == 0 && limit.try_take(now).is_ok() && from_ms <= ms {
                taken += 1;
            }
        }
        if ms % 1000 == 0 {
            for (idx, limit) in limits.iter().enumerate() {
                let Some(demand) = limit.tick(Duration::from_secs(1), 2, now) else { continue };
                let report = demand_report(idx as u64, ms, demand);
                nodes[1 - idx].record_report(&report, NodeId(1 - idx as u64), now);
            }
        }
    }
    let allowed = LIMIT_PER_S * f64::from(u32::try_from(to_ms - from_ms).unwrap()) / 1000.0;
    let error = f64::from(taken) / allowed - 1.0;
    assert!(error.abs() <= 0.05, "{error}");
}

#[test]
fn a_new_limit_is_divided_before_demand_is_known() {
    let limits = Limits::default();
    limits.nodes.store(20, Ordering::Relaxed);
    limits.replace(&config());
    let limit = limits.get(&"a".into()).unwrap();
    let taken = (0..1000).filter(|ms| limit.try_take(Time::from_millis(*ms)).is_ok()).count();
    // The share is 5 requests/s, with a burst of one second.
    assert!(taken <= 11, "{taken}");
}
