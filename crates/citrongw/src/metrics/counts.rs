//! Counters and gauges of other parts of the node, read at each scrape.

use std::fmt;

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{counter::ConstCounter, gauge::ConstGauge},
};

use super::process;
use crate::node::Shared;

/// Value of a metric.
#[derive(Debug, Clone, Copy)]
enum Value {
    /// Monotonic counter.
    Counter(u64),
    /// Value that can go up and down.
    Gauge(f64),
}

/// Metric with its name and help text.
#[derive(Debug, Clone, Copy)]
struct Count {
    name: &'static str,
    help: &'static str,
    value: Value,
}

/// Snapshot of all values.
#[derive(Debug)]
pub(super) struct Counts {
    counts: Vec<Count>,
}

/// Reads all values.
pub(super) fn read(shared: &Shared) -> Counts {
    let mut counts = Vec::new();
    add_store(shared, &mut counts);
    add_peers(shared, &mut counts);
    add_claims(shared, &mut counts);
    add_process(&mut counts);
    Counts { counts }
}

impl Collector for Counts {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for count in &self.counts {
            match count.value {
                Value::Counter(value) => {
                    let metric = ConstCounter::new(value);
                    let kind = metric.metric_type();
                    metric
                        .encode(encoder.encode_descriptor(count.name, count.help, None, kind)?)?;
                }
                Value::Gauge(value) => {
                    let metric = ConstGauge::new(value);
                    let kind = metric.metric_type();
                    metric
                        .encode(encoder.encode_descriptor(count.name, count.help, None, kind)?)?;
                }
            }
        }
        Ok(())
    }
}

fn counter(name: &'static str, help: &'static str, value: u64) -> Count {
    Count { name, help, value: Value::Counter(value) }
}

fn gauge(name: &'static str, help: &'static str, value: f64) -> Count {
    Count { name, help, value: Value::Gauge(value) }
}

fn add_store(shared: &Shared, counts: &mut Vec<Count>) {
    let it = shared.store_counters.snapshot();
    counts.extend([
        counter("store_reads", "Reads of the key-value service", it.reads),
        counter("store_writes", "Writes to the key-value service", it.writes),
        counter("store_watches", "Watches opened at the key-value service", it.watches),
        counter("store_failed", "Calls to the key-value service that failed", it.failed),
        counter("store_delayed", "Calls to the service that waited for a turn", it.delayed),
        counter("store_turned_away", "Calls to the service not sent", it.rejected),
    ]);
    let waiting = f64::from(u32::try_from(it.open_watches).unwrap_or(u32::MAX));
    counts.push(gauge("store_waiting_watches", "Watches that wait at the service", waiting));
}

fn add_peers(shared: &Shared, counts: &mut Vec<Count>) {
    let it = shared.peer_counters.snapshot();
    let rejected = it.malformed + it.unauthenticated + it.misdirected + it.replayed;
    let sent = it.sent_bytes + it.served_bytes;
    let received = it.received_bytes + it.fetched_bytes;
    counts.extend([
        counter("peer_sent_bytes", "Bytes sent to other nodes", sent),
        counter("peer_received_bytes", "Bytes received from other nodes", received),
        counter("peer_datagrams_sent", "Datagrams sent to other nodes", it.sent_datagrams),
        counter("peer_messages_rejected", "Messages of other nodes dropped", rejected),
        counter("peer_unauthenticated", "Messages that no key signed", it.unauthenticated),
        counter("peer_replayed", "Messages seen before", it.replayed),
    ]);
}

fn add_claims(shared: &Shared, counts: &mut Vec<Count>) {
    let it = shared.services.claims().counters().snapshot();
    counts.extend([
        counter("claims_won", "Claims of at-most-once calls won", it.won),
        counter("claims_settled", "Outcomes of at-most-once calls stored", it.settled),
        counter("claims_unavailable", "Claims given up at their deadline", it.unavailable),
        counter("claims_refused_full", "Claims refused because their shard was full", it.full),
        counter("claim_writes", "Writes of claim shards", it.writes),
        counter("claim_conflicts", "Writes of claim shards that met another node's", it.conflicts),
    ]);
}

fn add_process(counts: &mut Vec<Count>) {
    let usage = process::read();
    let resident = usage.resident_bytes as f64;
    counts.extend([
        gauge("process_cpu_seconds", "Processor time of the process", usage.cpu.as_secs_f64()),
        gauge("process_resident_bytes", "Resident memory of the process", resident),
    ]);
}
