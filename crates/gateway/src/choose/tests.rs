use std::net::SocketAddr;

use citrongw_state::id::{Epoch, ReplicaId};

use super::*;
use crate::{
    adapter::ServerLoad,
    fleet::{BackendStats, ReplicaKey},
};

fn server(id: &str, zone: &str, load: u32) -> Arc<Backend> {
    let stats = Arc::new(BackendStats::default());
    stats.hear_load(Time::START, ServerLoad { running: load, waiting: 0, slots: 10 });
    Arc::new(Backend {
        id: id.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone.into(),
        slots: 10,
        replica: Some(ReplicaKey { replica: ReplicaId(1), epoch: Epoch(1) }),
        domain: None,
        stats,
    })
}

fn chosen(servers: &[Arc<Backend>], tried: &[InstanceId]) -> Option<String> {
    let zone = "a".into();
    let board = LoadBoard::default();
    let wish = Wish { zone: &zone, tried, board: &board, now: Time::START };
    choose(servers, &wish, || 0.0).map(|it| it.id.to_string())
}

#[test]
fn least_loaded_server_wins_and_its_own_zone_breaks_ties() {
    let servers = [server("x", "b", 3), server("y", "a", 3), server("z", "a", 6)];
    assert_eq!(chosen(&servers, &[]).as_deref(), Some("y"));
    let servers = [server("x", "b", 2), server("y", "a", 3)];
    assert_eq!(chosen(&servers, &[]).as_deref(), Some("x"));
}

#[test]
fn server_that_was_tried_or_is_suspect_is_not_chosen() {
    let servers = [server("x", "a", 0), server("y", "a", 5)];
    assert_eq!(chosen(&servers, &["x".into()]).as_deref(), Some("y"));
    servers[0].stats.suspect(Time::from_millis(10));
    assert_eq!(chosen(&servers, &[]).as_deref(), Some("y"));
    assert_eq!(chosen(&servers, &["y".into()]), None);
}
