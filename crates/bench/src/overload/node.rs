//! One node of the overload bench, with its queue and its concurrency limit for
//! each replica.

use std::time::Duration;

use citrongw_state::{
    admission::{self, Arrival, Queue, QueueBounds, Refused},
    concurrency::{ConcurrencyLimit, Sample},
    id::Fingerprint,
    routing::{
        self, Distance, Group, Health, LoadView, NoChoice, PrefixHash, ReplicaView, RouteRequest,
        Slot,
    },
    time::Time,
};

/// How nodes handle more work than the replicas can take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Behaves as the production node does.
    Present,
    /// Forwards every request at once; requests queue in order at the replicas.
    UnboundedFifo,
    /// Like `UnboundedFifo`, but requests of disconnected callers run to
    /// completion.
    UncancelledFifo,
    /// Behaves as the production node does, with a single queue in order of
    /// arrival.
    SharedFifo,
}

impl Policy {
    /// Whether nodes queue requests instead of forwarding them at once.
    pub(super) fn is_bounded(self) -> bool {
        matches!(self, Self::Present | Self::SharedFifo)
    }

    /// Policy name in the bench output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::UnboundedFifo => "unbounded_fifo",
            Self::UncancelledFifo => "uncancelled_fifo",
            Self::SharedFifo => "shared_fifo",
        }
    }
}

/// Load of a replica as last reported to a node.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct ReceivedLoad {
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) own_in_flight_at_report: u32,
    pub(super) at: Time,
}

/// Request in a node's queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct QueuedRequest {
    pub(super) id: u64,
    pub(super) prefix: u64,
    pub(super) fingerprint: Fingerprint,
    pub(super) prompt_tokens: u32,
}

/// State of one simulated node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) own_in_flight: Vec<u32>,
    pub(super) reports: Vec<Option<ReceivedLoad>>,
    pub(super) queue: Queue<QueuedRequest>,
    limits: Vec<ConcurrencyLimit>,
    typical_load: f64,
}

impl Node {
    pub(super) fn open(replicas: usize) -> Self {
        Self {
            own_in_flight: vec![0; replicas],
            reports: vec![None; replicas],
            queue: admission::open(QueueBounds::default()),
            limits: (0..replicas).map(|_| ConcurrencyLimit::default()).collect(),
            typical_load: 0.0,
        }
    }

    /// Chooses a replica; the concurrency limits apply if `is_bounded`.
    pub(super) fn choose(
        &self,
        group: &Group,
        queued: &QueuedRequest,
        nodes: u32,
        is_bounded: bool,
        now: Time,
    ) -> Result<usize, NoChoice> {
        let homes = group.homes(PrefixHash(queued.prefix), queued.fingerprint);
        let request = RouteRequest {
            prompt_tokens: queued.prompt_tokens,
            typical_load: self.typical_load,
            nodes,
        };
        let view = |slot: Slot| self.replica_view(slot.idx(), is_bounded, now);
        routing::select(&homes, &request, view).map(|it| it.slot.idx())
    }

    fn replica_view(&self, idx: usize, is_bounded: bool, now: Time) -> ReplicaView {
        let report = self.reports[idx];
        ReplicaView {
            health: Health::Usable,
            load: LoadView {
                own_in_flight: self.own_in_flight[idx],
                own_in_flight_at_report: report.map_or(0, |it| it.own_in_flight_at_report),
                running: report.map_or(0, |it| it.running),
                queued: report.map_or(0, |it| it.queued),
                report_age: report.map(|it| now.since(it.at)),
                own_limit: if is_bounded { self.limits[idx].get() } else { u32::MAX },
            },
            distance: Distance::SameZone,
        }
    }

    /// Adds a sample to the concurrency limit of a replica.
    pub(super) fn add_sample(&self, idx: usize, sample: Sample, target: Duration, now: Time) {
        self.limits[idx].add(sample, self.own_in_flight[idx], target, now);
    }

    /// Updates the typical load from the reported loads.
    pub(super) fn tick(&mut self) {
        let reported = self.reports.iter().flatten();
        let (sum, count) =
            reported.fold((0, 0), |(sum, count), it| (sum + it.running + it.queued, count + 1));
        self.typical_load = f64::from(sum) / f64::from(count.max(1));
    }

    /// Queues a request. Returns the requests to refuse.
    pub(super) fn offer(
        &mut self,
        arrival: Arrival,
        queued: QueuedRequest,
        now: Time,
    ) -> Vec<Refused<QueuedRequest>> {
        self.queue.offer(arrival, queued, now).refused
    }
}
