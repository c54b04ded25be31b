use std::sync::Arc;

use citrongw_coordination::clock;
use citrongw_state::{
    cold_server::ColdStart,
    evacuation::EvacuatedZones,
    id::{Incarnation, NodeId, Revision},
    unit::RequestsPerSecond,
};
use tokio::time::advance;

use super::*;
use crate::{
    feed,
    gateway_config::ServiceSpec,
    instance::InstanceEntry,
    peers::message::{EvacuationUpdate, OpenReplica, PeerMessage},
    testing,
};

const BOUNDS: ColdBounds = ColdBounds { overage: 1.5, slack: 5.0 };
const DURATION: Duration = Duration::from_secs(3);

fn config() -> GatewayConfig {
    let engine = testing::engine(vec![testing::model("m", 1, 1.0, 1.0)]);
    let mut config = testing::gateway_config(engine);
    let start = ColdStart { duration: DURATION, per_s: RequestsPerSecond(26.0) };
    for spec in config.services.values_mut() {
        *spec = Arc::new(ServiceSpec { cold_start: Some(start), ..ServiceSpec::clone(spec) });
    }
    config
}

fn routing(bounds: Option<ColdBounds>) -> RoutingState {
    let routing = feed::open_with(open(bounds, ColdMetrics::default(), clock::open()));
    routing.set_config(config());
    routing
}

fn plain(id: &str, incarnation: u64) -> InstanceEntry {
    InstanceEntry { incarnation: Incarnation(incarnation), ..testing::entry(id, "plain") }
}

/// Time until each server is warm.
fn cold(routing: &RoutingState) -> Vec<(String, Option<Duration>)> {
    let now = routing.cold.clock.now();
    let fleet = routing.fleet.load();
    let servers = fleet.servers().map(|(_, it)| (it.id.to_string(), it.stats.cold.left(now)));
    let mut servers: Vec<_> = servers.collect();
    servers.sort();
    servers
}

/// Other deployments, without the settings, must be served as before.
#[tokio::test(start_paused = true)]
async fn no_server_is_cold_without_the_settings() {
    let routing = routing(None);
    routing.set_instances(testing::view(vec![plain("p0", 1)]));
    routing.record_traffic();
    routing.set_instances(testing::view(vec![plain("p0", 2), plain("p1", 1)]));
    routing.record_refused(&testing::backend("p0"));
    assert_eq!(cold(&routing), [("p0".to_owned(), None), ("p1".to_owned(), None)]);
}

/// A service without the figures must be served as before, beside one with them.
#[tokio::test(start_paused = true)]
async fn no_server_of_a_service_without_a_cold_phase_is_cold() {
    let routing = feed::open_with(open(Some(BOUNDS), ColdMetrics::default(), clock::open()));
    routing.set_config(testing::gateway_config(testing::engine(Vec::new())));
    routing.set_instances(testing::view(vec![plain("p0", 1)]));
    routing.record_traffic();
    routing.set_instances(testing::view(vec![plain("p0", 2)]));
    routing.record_cold(std::iter::once((testing::backend("p0").server(), DURATION)));
    assert_eq!(cold(&routing), [("p0".to_owned(), None)]);
}

#[tokio::test(start_paused = true)]
async fn servers_that_appear_or_restart_during_traffic_are_cold() {
    let routing = routing(Some(BOUNDS));
    routing.set_instances(testing::view(vec![plain("p0", 1), plain("p1", 1)]));
    routing.record_traffic();
    let entries = vec![plain("p0", 1), plain("p1", 2), plain("p2", 1)];
    routing.set_instances(testing::view(entries.clone()));
    let expected = |left| vec![("p0".into(), None), ("p1".into(), left), ("p2".into(), left)];
    assert_eq!(cold(&routing), expected(Some(DURATION)));
    advance(Duration::from_secs(2)).await;
    routing.set_instances(testing::view(entries));
    assert_eq!(cold(&routing), expected(Some(Duration::from_secs(1))));
    advance(Duration::from_secs(1)).await;
    assert_eq!(cold(&routing), expected(None));
}

/// The servers that a gateway finds when it starts have not started with it.
#[tokio::test(start_paused = true)]
async fn servers_of_the_first_list_are_warm() {
    let routing = routing(Some(BOUNDS));
    routing.record_traffic();
    routing.set_instances(testing::view(vec![plain("p0", 1)]));
    assert_eq!(cold(&routing), [("p0".to_owned(), None)]);
}

/// Requests reach a replica that its owner announced before the list shows it.
#[tokio::test(start_paused = true)]
async fn head_of_an_announced_replica_is_cold() {
    let routing = routing(Some(BOUNDS));
    let joining = testing::entry("h0", "engine");
    routing.set_instances(testing::view(vec![plain("p0", 1), joining]));
    routing.record_traffic();
    let listed = testing::member("h0", 1, 1, 0);
    let membership = listed.membership.unwrap();
    let open = OpenReplica {
        service: "engine".into(),
        model: "m".into(),
        replica: membership.replica.unwrap(),
        epoch: membership.epoch,
        head: "h0".into(),
    };
    routing.apply_message(&PeerMessage::Up(open), routing.cold.clock.now());
    let expected = [("h0".to_owned(), Some(DURATION)), ("p0".to_owned(), None)];
    assert_eq!(cold(&routing), expected);
}

#[tokio::test(start_paused = true)]
async fn server_is_cold_again_by_its_statement_its_zone_or_a_refused_connection() {
    let routing = routing(Some(BOUNDS));
    routing.set_instances(testing::view(vec![plain("p0", 1)]));
    routing.record_traffic();
    let backend = testing::backend("p0");
    let left = || cold(&routing)[0].1;
    routing.record_cold(std::iter::once((backend.server(), Duration::from_millis(1_500))));
    assert_eq!(left(), Some(Duration::from_millis(1_500)));
    assert_eq!(routing.cold.statements().len(), 1, "others have not seen a start");
    let listed = Arc::clone(&routing.fleet.load().pool(&"plain".into()).unwrap().servers[0]);
    routing.record_cold_left(&listed, Duration::ZERO, routing.cold.clock.now());
    assert_eq!(left(), None);
    for (number, zones) in [(1, vec!["a".into()]), (2, vec![])] {
        let (revision, zones) = (Revision::new(number), zones.into_iter().collect());
        let evacuated = EvacuatedZones { revision, zones };
        let update = EvacuationUpdate { evacuated, age: Duration::ZERO, must_forward: false };
        routing.apply_evacuations(update, NodeId(1), routing.cold.clock.now());
    }
    assert_eq!(left(), Some(DURATION), "after the evacuation of its zone");
    assert_eq!(routing.cold.statements(), [], "others see the return themselves");
    advance(DURATION).await;
    routing.record_refused(&listed);
    assert!(Some(DURATION) < left());
    routing.record_response(&listed);
    assert_eq!(left(), Some(DURATION));
}
