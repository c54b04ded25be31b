//! Metrics in the OpenMetrics text format.
//!
//! Metrics of the request path are kept here, in atomics and by read-copy-update.
//! Metrics of other parts are read from these parts at each scrape.

mod counts;
mod duration_histogram;
mod process;

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use arc_swap::ArcSwap;
use citrongw_protocol::code::ResultCode;
use citrongw_state::id::OrganisationId;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};

use self::duration_histogram::DurationHistogram;
use crate::node::Shared;

/// Prefix of all metric names.
const PREFIX: &str = "citrongw";
/// Maximum number of organisations with their own label, which bounds the number of
/// time series.
const MAX_ORGANISATIONS: usize = 64;
/// Label shared by all further organisations.
const OTHER_ORGANISATIONS: &str = "other";
/// Upper bounds of the histogram buckets, in seconds.
const REQUEST_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.52, 1.0, 2.5, 5.0, 15.0, 60.0];

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    organisation: String,
    code: u16,
    outcome: String,
}

/// Labels of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ModelLabels {
    model: String,
}

/// Labels of lost serving time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    model: String,
    cause: String,
}

/// Metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    organisations: ArcSwap<BTreeSet<OrganisationId>>,
    request_time: DurationHistogram,
    first_token_time: DurationHistogram,
    replicas_wanted: Family<ModelLabels, Gauge>,
    replicas_serving: Family<ModelLabels, Gauge>,
    group_downtime: Family<CauseLabels, Counter<f64, AtomicU64>>,
    stranded: Family<CauseLabels, Counter<f64, AtomicU64>>,
    nodes: Gauge,
    config_revision: Gauge,
    ready: Gauge,
}

/// Creates the metrics of a node.
pub fn open() -> Metrics {
    let mut metrics = Metrics {
        registry: Registry::with_prefix(PREFIX),
        requests: Family::default(),
        organisations: ArcSwap::default(),
        request_time: duration_histogram::open(REQUEST_BUCKETS_S),
        first_token_time: duration_histogram::open(REQUEST_BUCKETS_S),
        replicas_wanted: Family::default(),
        replicas_serving: Family::default(),
        group_downtime: Family::default(),
        stranded: Family::default(),
        nodes: Gauge::default(),
        config_revision: Gauge::default(),
        ready: Gauge::default(),
    };
    metrics.register();
    metrics
}

impl Metrics {
    /// Counts a finished request; `code` is `None` for a complete response.
    pub fn add_request(
        &self,
        organisation: &OrganisationId,
        code: Option<ResultCode>,
        took: Duration,
    ) {
        let outcome = code.map_or_else(|| "completed".to_owned(), |it| it.outcome().to_string());
        let labels = RequestLabels {
            organisation: self.organisation_label(organisation),
            code: code.map_or(0, ResultCode::number),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        self.request_time.add(took);
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn add_first_token(&self, took: Duration) {
        self.first_token_time.add(took);
    }

    /// Renders all metrics as text; empty if encoding fails.
    pub fn render(&self, shared: &Shared) -> String {
        self.update(shared);
        let mut page = String::new();
        let mut other = Registry::with_prefix(PREFIX);
        other.register_collector(Box::new(counts::read(shared)));
        let res = text::encode_registry(&mut page, &self.registry)
            .and_then(|()| text::encode_registry(&mut page, &other))
            .and_then(|()| text::encode_eof(&mut page));
        if res.is_err() {
            page.clear();
        }
        page
    }

    /// Returns the organisation's own label, or the shared one beyond
    /// [`MAX_ORGANISATIONS`].
    fn organisation_label(&self, organisation: &OrganisationId) -> String {
        if !self.organisations.load().contains(organisation) {
            self.organisations.rcu(|known| {
                if MAX_ORGANISATIONS <= known.len() {
                    return Arc::clone(known);
                }
                let mut known = BTreeSet::clone(known);
                known.insert(organisation.clone());
                Arc::new(known)
            });
        }
        if self.organisations.load().contains(organisation) {
            return organisation.to_string();
        }
        OTHER_ORGANISATIONS.to_owned()
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register_with_unit(
            "request_time",
            "Time from arrival to the end of the answer",
            Unit::Seconds,
            self.request_time.clone(),
        );
        registry.register_with_unit(
            "first_token_time",
            "Time from arrival to the first token",
            Unit::Seconds,
            self.first_token_time.clone(),
        );
        registry.register("replicas_wanted", "Replicas wanted", self.replicas_wanted.clone());
        registry.register("replicas_serving", "Replicas serving", self.replicas_serving.clone());
        registry.register_with_unit(
            "group_downtime",
            "Time that replicas were not serving",
            Unit::Seconds,
            self.group_downtime.clone(),
        );
        registry.register(
            "stranded_accelerator_seconds",
            "Accelerator time idle because its replica could not form",
            self.stranded.clone(),
        );
        registry.register("nodes_alive", "Nodes held for alive", self.nodes.clone());
        registry.register(
            "config_revision",
            "Revision of the configuration in force",
            self.config_revision.clone(),
        );
        registry.register("ready", "Whether the node takes new work", self.ready.clone());
    }

    fn update(&self, shared: &Shared) {
        for (model, cause, lost) in shared.control.lost() {
            let labels = CauseLabels { model: model.to_string(), cause: cause.to_string() };
            let set = |counter: &Family<CauseLabels, Counter<f64, AtomicU64>>, value: f64| {
                let counter = counter.get_or_create(&labels);
                counter.inc_by((value - counter.get()).max(0.0));
            };
            set(&self.group_downtime, lost.downtime_s);
            set(&self.stranded, lost.stranded_accelerator_s);
        }
        let status = crate::admin::status(shared);
        self.nodes.set(i64::from(status.nodes));
        let revision = status.config_revision.map_or(0, |it| it.number);
        self.config_revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.ready.set(i64::from(status.ready));
        let config = shared.config.load_full();
        let wanted = config.iter().flat_map(|it| &it.config.deployments);
        for (deployment, status) in wanted.zip(&status.deployments) {
            let labels = ModelLabels { model: deployment.model.to_string() };
            self.replicas_wanted.get_or_create(&labels).set(i64::from(status.wanted));
            self.replicas_serving.get_or_create(&labels).set(i64::from(status.serving));
        }
    }
}
