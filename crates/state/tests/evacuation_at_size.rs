//! Plays many gateways that learn of an evacuation, in virtual time, with lost datagrams
//! and a key-value service that refuses some of them.

use std::{collections::BTreeSet, time::Duration};

use citrongw_state::{
    evacuation::{EvacuatedZones, Evacuations, ReadRole, ReadSchedule},
    id::{Revision, StoreEra},
    time::Time,
};

/// Time from a change of the operators until every gateway acts on it.
const BOUND_MS: u64 = 5_000;
/// Interval between the checks of a gateway.
const CHECK_MS: u64 = 150;
/// Resolution of the virtual time, and the time that a datagram or a call takes.
const STEP_MS: u64 = 10;
/// Timeout of a call that gets no response.
const TIMEOUT_MS: u64 = 1_000;
/// Time after which a gateway that cannot renew its lease is listed no more.
const LEASE_MS: u64 = 10_000;
/// Gateways that are asked at once.
const ASKED: usize = 3;
/// When the zone is evacuated and taken back.
const CHANGES_MS: [u64; 2] = [20_000, 40_000];
const END_MS: u64 = 50_000;

/// How the key-value service treats the gateways that it refuses.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Refusal {
    AtOnce,
    WithoutResponse,
}

#[derive(Debug, Clone, Copy)]
struct Load {
    gateways: usize,
    zones: usize,
    /// One in so many gateways is refused, the reader and a substitute first; 0 for none.
    refused_one_in: usize,
    /// Since when.
    refused_since_ms: u64,
    refusal: Refusal,
    loss: f64,
    seed: u64,
}

const CALM: Load = Load {
    gateways: 122,
    zones: 3,
    refused_one_in: 0,
    refused_since_ms: 0,
    refusal: Refusal::AtOnce,
    loss: 0.03,
    seed: 1,
};

struct Gateway {
    known: Evacuations,
    schedule: ReadSchedule,
    next_check_ms: u64,
    zone: usize,
    is_refused: bool,
}

enum Message {
    Update { set: EvacuatedZones, read_at_ms: u64, must_forward: bool },
    Request { from: usize },
}

struct Outcome {
    /// Longest time until a gateway acted on each change.
    learned_ms: [u64; 2],
    calls: u64,
    datagrams: u64,
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn below(&mut self, limit: usize) -> usize {
        ((self.next() * limit as f64) as usize).min(limit - 1)
    }
}

/// State of the service at a time.
fn stored(ms: u64) -> EvacuatedZones {
    let number = 1 + CHANGES_MS.iter().filter(|it| **it <= ms).count() as u64;
    let zones = if number == 2 { BTreeSet::from(["b".into()]) } else { BTreeSet::new() };
    EvacuatedZones { revision: Revision::new(number), zones }
}

fn play(load: &Load) -> Outcome {
    let mut random = Random(load.seed);
    let mut gateways: Vec<Gateway> = (0..load.gateways)
        .map(|idx| Gateway {
            known: Evacuations::default(),
            schedule: ReadSchedule::default(),
            next_check_ms: STEP_MS + random.below(CHECK_MS as usize) as u64 / STEP_MS * STEP_MS,
            zone: idx % load.zones,
            // Gateways 0 to `zones` - 1 are the reader and the substitutes of their zones.
            is_refused: load.refused_one_in != 0 && (idx == 1 || idx % load.refused_one_in == 0),
        })
        .collect();
    let mut outcome = Outcome { learned_ms: [0; 2], calls: 0, datagrams: 0 };
    let mut arriving: Vec<(usize, Message)> = Vec::new();
    for ms in (STEP_MS..END_MS).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        let is_listed = |it: &Gateway| !it.is_refused || ms < load.refused_since_ms + LEASE_MS;
        let listed: Vec<usize> =
            (0..load.gateways).filter(|it| is_listed(&gateways[*it])).collect();
        let mut sent: Vec<(usize, Message)> = Vec::new();
        for (to, message) in std::mem::take(&mut arriving) {
            match message {
                Message::Update { set, read_at_ms, must_forward } => {
                    gateways[to].known.apply(set.clone(), Time::from_millis(read_at_ms), now);
                    if must_forward {
                        let zone = gateways[to].zone;
                        let mates = listed.iter().filter(|it| gateways[**it].zone == zone);
                        sent.extend(mates.map(|it| (*it, update(&set, read_at_ms, false))));
                    }
                }
                Message::Request { from } => {
                    if let Some((set, age)) = gateways[to].known.fresh(now) {
                        let read_at_ms = ms - age.as_millis() as u64;
                        sent.push((from, update(&set.clone(), read_at_ms, false)));
                    }
                }
            }
        }
        for idx in 0..load.gateways {
            if gateways[idx].next_check_ms <= ms {
                check(load, &mut gateways, idx, &listed, ms, &mut sent, &mut outcome, &mut random);
            }
        }
        outcome.datagrams += sent.len() as u64;
        arriving = sent.into_iter().filter(|_| load.loss <= random.next()).collect();
        for (change, at_ms) in CHANGES_MS.into_iter().enumerate() {
            let is_last = change == 1 || ms < CHANGES_MS[1];
            let wanted = stored(at_ms).zones;
            let lacks = |it: &Gateway| it.known.newest().is_none_or(|it| it.zones != wanted);
            if at_ms <= ms && is_last && gateways.iter().any(lacks) {
                outcome.learned_ms[change] = ms - at_ms;
            }
        }
    }
    outcome
}

fn update(set: &EvacuatedZones, read_at_ms: u64, must_forward: bool) -> Message {
    Message::Update { set: set.clone(), read_at_ms, must_forward }
}

/// One check of a gateway, as its task makes it.
#[expect(clippy::too_many_arguments, reason = "the state of the simulation")]
fn check(
    load: &Load,
    gateways: &mut [Gateway],
    idx: usize,
    listed: &[usize],
    ms: u64,
    sent: &mut Vec<(usize, Message)>,
    outcome: &mut Outcome,
    random: &mut Random,
) {
    let now = Time::from_millis(ms);
    let role = match idx {
        0 => ReadRole::Reader,
        idx if idx < load.zones => ReadRole::Substitute,
        _ => ReadRole::Follower,
    };
    let zones: Vec<usize> = gateways.iter().map(|it| it.zone).collect();
    let gateway = &mut gateways[idx];
    gateway.next_check_ms = ms + CHECK_MS;
    let tolerance = Duration::from_millis(CHECK_MS / 2);
    if gateway.schedule.is_due(&mut gateway.known, role, StoreEra(0), now, tolerance) {
        gateway.schedule.begin(now);
        outcome.calls += 1;
        let is_refused = gateway.is_refused && load.refused_since_ms <= ms;
        gateway.schedule.end(!is_refused);
        if is_refused && load.refusal == Refusal::WithoutResponse {
            gateway.next_check_ms = ms + TIMEOUT_MS;
        }
        if !is_refused {
            let set = stored(ms);
            let before = gateway.known.newest().map(|it| it.zones.clone());
            gateway.known.apply(set.clone(), now, now);
            let has_news = before.is_some_and(|it| it != set.zones);
            for to in listed.iter().copied().filter(|to| *to != idx) {
                let is_mate = zones[to] == zones[idx];
                let reads_for_others = role != ReadRole::Follower;
                let is_reporter = role == ReadRole::Reader && to < load.zones;
                if has_news || (reads_for_others && is_mate) {
                    sent.push((to, update(&set, ms, false)));
                } else if is_reporter {
                    sent.push((to, update(&set, ms, true)));
                }
            }
        }
    }
    let gateway = &mut gateways[idx];
    if gateway.schedule.must_ask(&gateway.known, now) {
        for _ in 0..ASKED {
            sent.push((listed[random.below(listed.len())], Message::Request { from: idx }));
        }
    }
}

fn check_bound(load: &Load) -> Outcome {
    let outcome = play(load);
    println!(
        "{load:?}: learned after {:?} ms, {} calls, {} datagrams",
        outcome.learned_ms, outcome.calls, outcome.datagrams
    );
    assert!(
        outcome.learned_ms.iter().all(|it| *it <= BOUND_MS),
        "{:?} {load:?}",
        outcome.learned_ms
    );
    outcome
}

/// Guards against gateways that read although another one reads for them: the calls grow
/// by at most those of the list reader, and one of each gateway at its start.
#[test]
fn one_gateway_reads_for_all_while_none_is_refused() {
    for (gateways, zones) in [(3, 3), (122, 3), (2_500, 5)] {
        let outcome = check_bound(&Load { gateways, zones, loss: 0.0, ..CALM });
        let of_reader = END_MS / 450 + 1;
        assert!(outcome.calls <= of_reader + gateways as u64, "{}", outcome.calls);
    }
}

/// Guards against gateways that learn too late while the service refuses a third of them,
/// also the list reader and a substitute, at once or for so long that they are not listed.
#[test]
fn bound_holds_while_a_third_is_refused() {
    for (gateways, zones) in [(3, 3), (122, 3), (2_500, 5)] {
        for refused_since_ms in [0, CHANGES_MS[0] - 5_000, CHANGES_MS[0]] {
            for refusal in [Refusal::AtOnce, Refusal::WithoutResponse] {
                let load = Load { gateways, zones, refused_since_ms, refusal, ..CALM };
                check_bound(&Load { refused_one_in: 3, ..load });
            }
        }
    }
}

/// Guards against updates that are lost and come late, or too often for the bound.
#[test]
fn bound_holds_with_many_lost_datagrams() {
    for seed in 1..=20 {
        check_bound(&Load { loss: 0.2, seed, ..CALM });
        let load = Load { refused_one_in: 3, refused_since_ms: CHANGES_MS[0], ..CALM };
        check_bound(&Load { loss: 0.2, seed, ..load });
    }
}
