//! Counters and latency histograms in the OpenMetrics text form.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citrongw_protocol::code::ResultCode;
use citrongw_state::id::AvailabilityZone;
use citrongw_transport::memory_budget::{CloseReason, MemoryBudget, MemoryKind};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::{cold_watch::ColdMetrics, log, metered_store::StoreCalls};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 12] = [0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabels {
    code: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabels {
    zone: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemoryLabels {
    kind: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CloseLabels {
    reason: String,
}

type ServiceHistograms = Family<ServiceLabels, Histogram, fn() -> Histogram>;

/// Metrics of one gateway. Clones share the values.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<CodeLabels, Counter>,
    early_rejections: Family<ServiceLabels, Counter>,
    request_time: ServiceHistograms,
    first_event_time: ServiceHistograms,
    predicted_first_event_time: ServiceHistograms,
    log_lines_dropped: Gauge,
    store_calls: StoreCalls,
    unreadable_records: Counter,
    cold: ColdMetrics,
    evacuated_zones: Family<ZoneLabels, Gauge>,
    memory: Family<MemoryLabels, Gauge>,
    memory_limit: Gauge,
    connections_closed: Family<CloseLabels, Counter>,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

/// Creates and registers the metrics of a gateway.
pub fn open() -> Metrics {
    let mut registry = Registry::with_prefix("citrongw_gateway");
    let requests = Family::default();
    let refusals = Family::default();
    let request_time: ServiceHistograms =
        Family::new_with_constructor(histogram as fn() -> Histogram);
    let first_event_time: ServiceHistograms =
        Family::new_with_constructor(histogram as fn() -> Histogram);
    registry.register("requests", "Requests by status; 0 if they broke off", requests.clone());
    registry.register("refusals", "Requests refused unread, by result code", refusals.clone());
    let early_rejections = Family::default();
    registry.register(
        "early_rejections",
        "First tries rejected because they would have been late",
        early_rejections.clone(),
    );
    registry.register_with_unit(
        "request_time",
        "Time from the request to the end of its answer",
        Unit::Seconds,
        request_time.clone(),
    );
    registry.register_with_unit(
        "first_event_time",
        "Time from the request to the first event of its stream",
        Unit::Seconds,
        first_event_time.clone(),
    );
    let predicted_first_event_time: ServiceHistograms =
        Family::new_with_constructor(histogram as fn() -> Histogram);
    registry.register_with_unit(
        "predicted_first_event_time",
        "Predicted time to the first event at the chosen server, of requests chosen by cost",
        Unit::Seconds,
        predicted_first_event_time.clone(),
    );
    let log_lines_dropped = Gauge::default();
    registry.register(
        "log_lines_dropped",
        "Log lines that found the queue to the writer full",
        log_lines_dropped.clone(),
    );
    let store_calls = StoreCalls::default();
    registry.register(
        "store_calls",
        "Calls to the key-value service by subject, call and outcome",
        store_calls.family(),
    );
    let unreadable_records = Counter::default();
    registry.register(
        "unreadable_records",
        "Records of the platform that could not be read, once a change",
        unreadable_records.clone(),
    );
    let cold = ColdMetrics::default();
    cold.register(&mut registry);
    let evacuated_zones = Family::default();
    registry.register(
        "evacuated_zone_requests",
        "Requests in flight at servers of each zone under evacuation",
        evacuated_zones.clone(),
    );
    let memory = Family::<MemoryLabels, Gauge>::default();
    registry.register_with_unit(
        "callers_memory",
        "Memory held for callers, by kind",
        Unit::Bytes,
        memory.clone(),
    );
    let memory_limit = Gauge::default();
    registry.register_with_unit(
        "callers_memory_limit",
        "Memory that may be held for callers; 0 without a limit",
        Unit::Bytes,
        memory_limit.clone(),
    );
    let connections_closed = Family::<CloseLabels, Counter>::default();
    registry.register(
        "connections_closed",
        "Connections closed and requests refused to stay within the machine, by reason",
        connections_closed.clone(),
    );
    Metrics {
        registry: Arc::new(registry),
        requests,
        refusals,
        early_rejections,
        request_time,
        first_event_time,
        predicted_first_event_time,
        log_lines_dropped,
        store_calls,
        unreadable_records,
        cold,
        evacuated_zones,
        memory,
        memory_limit,
        connections_closed,
    }
}

impl Metrics {
    /// Records a request that ended. `status` is none if the response was
    /// interrupted.
    pub fn count_request(
        &self,
        service: &str,
        status: Option<u16>,
        took: Duration,
        first_event_after: Option<Duration>,
    ) {
        let labels = RequestLabels { service: service.to_owned(), status: status.unwrap_or(0) };
        self.requests.get_or_create(&labels).inc();
        let labels = ServiceLabels { service: service.to_owned() };
        self.request_time.get_or_create(&labels).observe(took.as_secs_f64());
        if let Some(after) = first_event_after {
            self.first_event_time.get_or_create(&labels).observe(after.as_secs_f64());
        }
    }

    /// Records the predicted time to the first event of a request that ended.
    pub fn count_prediction(&self, service: &str, first_event: Duration) {
        let labels = ServiceLabels { service: service.to_owned() };
        let histogram = self.predicted_first_event_time.get_or_create(&labels);
        histogram.observe(first_event.as_secs_f64());
    }

    /// Counts a request that was refused before its body was read.
    pub fn count_refusal(&self, code: ResultCode) {
        self.refusals.get_or_create(&CodeLabels { code: code.number() }).inc();
    }

    /// Counts a first try that was rejected early.
    pub(crate) fn count_early_rejection(&self, service: &str) {
        let labels = ServiceLabels { service: service.to_owned() };
        self.early_rejections.get_or_create(&labels).inc();
    }

    /// Sets the metrics of the memory held for callers.
    pub fn set_memory(&self, budget: &MemoryBudget) {
        let gauge_value = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        for kind in MemoryKind::ALL {
            let labels = MemoryLabels { kind: kind.to_string() };
            self.memory.get_or_create(&labels).set(gauge_value(budget.held_for(kind)));
        }
        self.memory_limit.set(gauge_value(budget.max_bytes().unwrap_or_default()));
        for reason in CloseReason::ALL {
            let labels = CloseLabels { reason: reason.to_string() };
            let counter = self.connections_closed.get_or_create(&labels);
            counter.inner().store(budget.closed_for(reason), Ordering::Relaxed);
        }
    }

    /// Counters of calls to the key-value service.
    pub fn store_calls(&self) -> StoreCalls {
        self.store_calls.clone()
    }

    /// Metrics of cold servers.
    pub fn cold(&self) -> ColdMetrics {
        self.cold.clone()
    }

    /// Counter of records that could not be decoded.
    pub fn unreadable_records(&self) -> Counter {
        self.unreadable_records.clone()
    }

    /// Sets the requests in flight at each zone under evacuation.
    pub(crate) fn set_evacuated_zones(&self, requests: &BTreeMap<AvailabilityZone, u32>) {
        self.evacuated_zones.clear();
        for (zone, requests) in requests {
            let labels = ZoneLabels { zone: zone.to_string() };
            self.evacuated_zones.get_or_create(&labels).set(i64::from(*requests));
        }
    }

    /// Metrics page in the OpenMetrics text format.
    pub fn page(&self) -> String {
        let dropped = i64::try_from(log::dropped_lines()).unwrap_or(i64::MAX);
        self.log_lines_dropped.set(dropped);
        let mut page = String::new();
        if let Err(error) = text::encode(&mut page, &self.registry) {
            tracing::error!(%error, "could not encode the metrics");
        }
        page
    }
}
