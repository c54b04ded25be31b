use citrongw_state::{
    id::{Epoch, Incarnation, ReplicaId},
    request_cost::{EngineFigures, ExpectedCost, StatedCost},
    server_pause::ServerPauses,
    time::Time,
};

use super::*;
use crate::{
    choose::choose,
    cost,
    fleet::{BackendStats, ReplicaKey, work::RequestWork},
    gateway_config::EngineSpec,
    peer_loads::PeerLoads,
    testing::{engine, model},
};

const FIGURES: EngineFigures = EngineFigures {
    step_ms: 6.0,
    per_request_ms: 0.1,
    context_ms_per_k: 0.0,
    prefill_tokens_per_s: 50_000.0,
    pairs_ms_per_m: 0.0,
    chunk_tokens: 2_048.0,
    stride: 6.0,
    kv_capacity_tokens: None,
    usual_prompt_tokens: Some(1_500.0),
    usual_output_tokens: Some(100.0),
    pace: 1.0,
};

const NOW: Time = Time::from_millis(60_000);

fn server(replica: u64, zone: &str) -> Arc<Backend> {
    Arc::new(Backend {
        id: format!("{replica}").as_str().into(),
        incarnation: Incarnation(1),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        slots: 30,
        replica: Some(ReplicaKey { replica: ReplicaId(replica), epoch: Epoch(1) }),
        domain: None,
        gateway: None,
        stats: Arc::new(BackendStats::default()),
    })
}

fn cost() -> CallCost {
    let engine = EngineSpec { figures: Some(FIGURES), ..engine(vec![model("m", 1, 1.0, 1.0)]) };
    let costs = cost::open(Duration::from_millis(20));
    costs.expect(&engine, &"m".into(), "r", StatedCost::default()).unwrap()
}

/// Id of the server that a gateway in zone `a` chooses.
fn chosen(servers: &[Arc<Backend>], cost: &CallCost, peer_loads: &PeerLoads) -> u64 {
    let criteria = ChoiceCriteria {
        zone: &"a".into(),
        tried: &[],
        pauses: &ServerPauses::default(),
        peer_loads,
        now: NOW,
        cost: Some(cost),
        leaving: &citrongw_state::leaving_servers::LeavingServers::default(),
        evacuated: &citrongw_state::evacuation::EvacuatedZones::default(),
        homes: None,
    };
    let choice = choose(servers, &criteria, || 0.0).unwrap();
    choice.best.server.replica.as_ref().unwrap().replica.0
}

fn begin(
    server: &Arc<Backend>,
    peer_loads: &PeerLoads,
    prompt_tokens: u32,
) -> crate::fleet::InFlight {
    let work = RequestWork { prompt_tokens, output_tokens: 100, event_tokens: 6 };
    peer_loads.record_begun(server.replica.as_ref().unwrap(), prompt_tokens, NOW);
    server.stats.begin_work(work, NOW)
}

// Guards against a choice by free slots.
#[test]
fn server_with_one_long_prompt_waits_longer_than_one_with_three_running_requests() {
    let (servers, peer_loads, cost) =
        ([server(1, "a"), server(2, "a")], PeerLoads::default(), cost());
    chosen(&servers, &cost, &peer_loads);
    let _long = begin(&servers[0], &peer_loads, 5_900);
    let mut running = [(); 3].map(|()| begin(&servers[1], &peer_loads, 40));
    running.iter_mut().for_each(|it| it.record_event(NOW));
    assert_eq!(chosen(&servers, &cost, &peer_loads), 2);
}

#[test]
fn server_of_another_zone_is_chosen_only_if_it_gains_more_than_the_crossing() {
    let (servers, peer_loads, cost) =
        ([server(1, "a"), server(2, "b")], PeerLoads::default(), cost());
    // Neither engine is idle.
    let mut running = [0, 1].map(|it| begin(&servers[it], &peer_loads, 40));
    running.iter_mut().for_each(|it| it.record_event(NOW));
    assert_eq!(chosen(&servers, &cost, &peer_loads), 1);
    let _short = begin(&servers[0], &peer_loads, 400);
    assert_eq!(chosen(&servers, &cost, &peer_loads), 1);
    let _long = begin(&servers[0], &peer_loads, 5_900);
    assert_eq!(chosen(&servers, &cost, &peer_loads), 2);
}

#[test]
fn server_that_was_observed_to_be_slow_is_chosen_less() {
    let (servers, peer_loads, cost) =
        ([server(1, "a"), server(2, "a")], PeerLoads::default(), cost());
    let criteria = ChoiceCriteria {
        zone: &"a".into(),
        tried: &[],
        pauses: &ServerPauses::default(),
        peer_loads: &peer_loads,
        now: NOW,
        cost: Some(&cost),
        leaving: &citrongw_state::leaving_servers::LeavingServers::default(),
        evacuated: &citrongw_state::evacuation::EvacuatedZones::default(),
        homes: None,
    };
    let predicted = choose(&servers, &criteria, || 0.0).unwrap().best.load.predicted;
    let mut request =
        servers[0].stats.begin_work(RequestWork::UNKNOWN, NOW - Duration::from_secs(2));
    request.set_predicted(predicted);
    for ms in (0..2_000).step_by(250) {
        request.record_event(NOW - Duration::from_millis(2_000 - ms));
    }
    drop(request);
    assert_eq!(chosen(&servers, &cost, &peer_loads), 2);
}

#[test]
fn absurd_costs_choose_a_server() {
    let servers = [server(1, "a"), server(2, "b")];
    for tokens in [0.0, 1e12, f64::INFINITY] {
        let absurd = ExpectedCost { prompt_tokens: tokens, ..cost().expected };
        let mut cost = cost();
        (cost.expected, cost.mean) = (absurd, absurd);
        let id = chosen(&servers, &cost, &PeerLoads::default());
        assert!((1..=2).contains(&id), "{tokens}");
    }
}
