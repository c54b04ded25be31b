//! Time of one routing choice by number of replicas.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use citrongw_state::{
    id::{Fingerprint, ReplicaId},
    routing::{self, Group, LoadView, PrefixHash, ReplicaView, RouteRequest, Slot},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of measured choices.
const CHOICES: usize = 200_000;
/// Number of requests generated before timing starts.
const REQUESTS: usize = 4096;

/// Mean time of a choice among `replicas` replicas.
pub fn measure_cost(replicas: usize, seed: u64) -> Duration {
    let mut rng = SmallRng::seed_from_u64(seed);
    let group = Group::of((0..).map(ReplicaId).zip((0..).map(Slot)).take(replicas));
    let views: Vec<ReplicaView> = (0..replicas).map(|_| random_view(&mut rng)).collect();
    let requests: Vec<(PrefixHash, Fingerprint)> =
        (0..REQUESTS).map(|_| (PrefixHash(rng.random()), Fingerprint(rng.random()))).collect();
    let route = RouteRequest { prompt_tokens: 1400, typical_load: 64.0, nodes: 18 };
    let started_at = Instant::now();
    for (prefix, fingerprint) in requests.iter().cycle().take(CHOICES) {
        let homes = group.homes(*prefix, *fingerprint);
        let choice = routing::select(&homes, &route, |slot| views[slot.idx()]);
        black_box(choice.ok());
    }
    started_at.elapsed() / CHOICES as u32
}

/// Mean time of a choice that scans every replica.
pub fn measure_scan_cost(replicas: usize, seed: u64) -> Duration {
    let mut rng = SmallRng::seed_from_u64(seed);
    let views: Vec<ReplicaView> = (0..replicas).map(|_| random_view(&mut rng)).collect();
    let choices = (CHOICES / replicas).max(1);
    let started_at = Instant::now();
    for _ in 0..choices {
        let least =
            views.iter().enumerate().min_by_key(|(_, look)| black_box(look.load.own_in_flight));
        black_box(least);
    }
    started_at.elapsed() / choices as u32
}

fn random_view(rng: &mut SmallRng) -> ReplicaView {
    let load = LoadView {
        own_in_flight: rng.random_range(0..8),
        own_in_flight_at_report: rng.random_range(0..8),
        running: rng.random_range(32..96),
        queued: 0,
        report_age: Some(Duration::from_millis(rng.random_range(0..2000))),
        own_limit: u32::MAX,
    };
    ReplicaView { load, ..ReplicaView::default() }
}
