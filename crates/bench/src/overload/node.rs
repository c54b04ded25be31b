//! One node of the overload bench: its queue, and its limit for each replica.

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

/// How nodes deal with more work than there is room for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// As the node program does.
    Present,
    /// Everything is sent on at once, and waits at the replicas in order.
    UnboundedFifo,
    /// The same, and what a caller left behind runs to its end.
    UncancelledFifo,
    /// As the node program does, but the queue is one of order of arrival.
    SharedFifo,
}

impl Policy {
    /// Whether nodes hold requests back.
    pub(super) fn is_bounded(self) -> bool {
        matches!(self, Self::Present | Self::SharedFifo)
    }

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::UnboundedFifo => "unbounded_fifo",
            Self::UncancelledFifo => "uncancelled_fifo",
            Self::SharedFifo => "shared_fifo",
        }
    }
}

/// Load of a replica as told to a node.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct HeardLoad {
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) own_then: u32,
    pub(super) at: Time,
}

/// Request as a node holds it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Held {
    pub(super) id: u64,
    pub(super) prefix: u64,
    pub(super) fingerprint: Fingerprint,
    pub(super) prompt_tokens: u32,
}

/// One node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) own: Vec<u32>,
    pub(super) heard: Vec<Option<HeardLoad>>,
    pub(super) queue: Queue<Held>,
    limits: Vec<ConcurrencyLimit>,
    typical_load: f64,
}

impl Node {
    pub(super) fn open(replicas: usize) -> Self {
        Self {
            own: vec![0; replicas],
            heard: vec![None; replicas],
            queue: admission::open(QueueBounds::default()),
            limits: (0..replicas).map(|_| ConcurrencyLimit::default()).collect(),
            typical_load: 0.0,
        }
    }

    /// Chooses a replica; `is_bounded` if the limits count.
    pub(super) fn choose(
        &self,
        group: &Group,
        held: &Held,
        nodes: u32,
        is_bounded: bool,
        now: Time,
    ) -> Result<usize, NoChoice> {
        let homes = group.homes(PrefixHash(held.prefix), held.fingerprint);
        let request = RouteRequest {
            prompt_tokens: held.prompt_tokens,
            typical_load: self.typical_load,
            nodes,
        };
        let look = |slot: Slot| self.look(slot.idx(), is_bounded, now);
        routing::select(&homes, &request, look).map(|it| it.slot.idx())
    }

    fn look(&self, idx: usize, is_bounded: bool, now: Time) -> ReplicaView {
        let heard = self.heard[idx];
        ReplicaView {
            health: Health::Usable,
            load: LoadView {
                own_in_flight: self.own[idx],
                own_in_flight_at_report: heard.map_or(0, |it| it.own_then),
                running: heard.map_or(0, |it| it.running),
                queued: heard.map_or(0, |it| it.queued),
                report_age: heard.map(|it| now.since(it.at)),
                own_limit: if is_bounded { self.limits[idx].get() } else { u32::MAX },
            },
            distance: Distance::SameZone,
        }
    }

    /// Takes in the time to a first token.
    pub(super) fn add_sample(&self, idx: usize, sample: Sample, target: Duration, now: Time) {
        self.limits[idx].add(sample, self.own[idx], target, now);
    }

    /// Takes the mean of what is reported.
    pub(super) fn tick(&mut self) {
        let reported = self.heard.iter().flatten();
        let (sum, count) =
            reported.fold((0, 0), |(sum, count), it| (sum + it.running + it.queued, count + 1));
        self.typical_load = f64::from(sum) / f64::from(count.max(1));
    }

    /// Queues a request; gives those to refuse.
    pub(super) fn offer(&mut self, arrival: Arrival, held: Held, now: Time) -> Vec<Refused<Held>> {
        self.queue.offer(arrival, held, now).refused
    }
}
