use bytes::Bytes;
use citrongw_coordination::clock;
use citrongw_state::cold_server::ColdBounds;
use tokio::time::advance;

use super::*;
use crate::{
    cold_watch::{self, ColdMetrics},
    feed,
    testing::StubCodec,
};

fn routing() -> RoutingState {
    let bounds = Some(ColdBounds { overage: 1.5, slack: 5.0 });
    feed::open_with(cold_watch::open(bounds, ColdMetrics::default(), clock::open()))
}

/// Reads a list whose entries state these times.
fn read(entries: &mut ColdEntries, routing: &RoutingState, list: &[(&str, u64)]) {
    let read = list.iter().map(|(value, revision)| Entry {
        key: format!("instances/{}", value.split(' ').next().unwrap()).into(),
        value: Bytes::from((*value).to_owned()),
        revision: Revision::new(*revision),
    });
    let snapshot = Snapshot { entries: read.collect(), revision: Revision::new(9) };
    for entry in &snapshot.entries {
        let decoded = StubCodec.decode_instance(entry).unwrap();
        entries.read(routing, &StubCodec, entry, &decoded);
    }
    entries.record(routing, &snapshot);
}

fn left_ms(routing: &RoutingState) -> Vec<u128> {
    routing.cold.statements().iter().map(|(_, left)| left.as_millis()).collect()
}

/// An entry is read several times before it is written again. Counted from each read, its
/// time would never pass.
#[tokio::test(start_paused = true)]
async fn time_counts_from_the_first_read_of_an_entry() {
    let (routing, mut entries) = (routing(), ColdEntries::default());
    read(&mut entries, &routing, &[("x 3000", 1), ("y 0", 2)]);
    assert_eq!(left_ms(&routing), [3_000]);
    advance(Duration::from_millis(450)).await;
    read(&mut entries, &routing, &[("x 3000", 1), ("y 0", 2)]);
    assert_eq!(left_ms(&routing), [2_550]);
    advance(Duration::from_millis(450)).await;
    read(&mut entries, &routing, &[("x 1800", 3), ("y 0", 4)]);
    assert_eq!(left_ms(&routing), [1_800], "a later entry counts");
    read(&mut entries, &routing, &[("x 0", 5), ("y 2000", 6)]);
    assert_eq!(left_ms(&routing), [2_000], "y is cold again");
}

/// Keys of servers that are gone must not be kept for ever.
#[tokio::test(start_paused = true)]
async fn entries_that_are_gone_are_dropped() {
    let (routing, mut entries) = (routing(), ColdEntries::default());
    read(&mut entries, &routing, &[("x 3000", 1), ("y 0", 2)]);
    read(&mut entries, &routing, &[("y 0", 2)]);
    assert_eq!(entries.known.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_read_without_the_settings() {
    let (routing, mut entries) = (feed::open(), ColdEntries::default());
    read(&mut entries, &routing, &[("x 3000", 1)]);
    assert!(entries.known.is_empty() && left_ms(&routing).is_empty());
}
