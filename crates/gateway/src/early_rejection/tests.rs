use super::*;

fn pool(service: &str) -> PoolKey {
    PoolKey { service: service.into(), model: None }
}

/// Guards against memory that grows with models that callers make up.
#[test]
fn learned_pools_are_bounded() {
    let early = EarlyRejection::default();
    for idx in 0..2 * MAX_POOLS {
        early.update(&pool(&idx.to_string()), |it| it.record_arrival(0));
    }
    assert_eq!(lock(&early.times).len(), MAX_POOLS);
}

/// Guards against base times learned at servers that were full.
#[test]
fn only_first_events_from_servers_with_free_slots_count() {
    let early = EarlyRejection::default();
    let sample = |load: f64| FirstEventSample {
        took: Duration::from_millis(90),
        had_free_slot: has_free_slot(load, 20),
        pool: None,
        priority: 0,
    };
    let record = |load| {
        for _ in 0..20 {
            early.update(&pool("a"), |it| {
                sample(load).record(it);
                it.record_end(Duration::ZERO);
            });
        }
    };
    record(19.0);
    assert_eq!(early.estimates(&pool("a"), 0), None);
    record(10.0);
    assert_eq!(early.estimates(&pool("a"), 0).unwrap().first_event.as_millis(), 90);
}
