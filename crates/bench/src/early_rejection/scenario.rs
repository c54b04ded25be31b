//! Load, pool and callers of a run.

use std::time::Duration;

/// How requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Every request is sent at once.
    SendAll,
    /// Gateways reject early by what they know.
    EarlyRejection,
    /// One gateway that knows all loads without delay rejects what cannot be in time.
    Omniscient,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::SendAll, Self::EarlyRejection, Self::Omniscient];

    /// Name in the report.
    pub fn name(self) -> &'static str {
        match self {
            Self::SendAll => "send_all",
            Self::EarlyRejection => "early_rejection",
            Self::Omniscient => "omniscient",
        }
    }
}

/// Request class of the callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Target latency.
    pub target: Duration,
    /// Requests a second outside the burst.
    pub per_s: f64,
}

/// Time with more requests of one class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Index of the class.
    pub class: usize,
    /// Requests a second beyond the class's own.
    pub extra_per_s: f64,
    /// Length.
    pub length: Duration,
}

/// When callers return after a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retries {
    /// After `Retry-After`, or a third of the time that they have left if that is
    /// shorter.
    Honoured,
    /// After 5 ms.
    AtOnce,
}

/// One run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in the report.
    pub name: &'static str,
    /// Gateways.
    pub gateways: usize,
    /// Age of the load information of each gateway, at random within these bounds.
    pub view_delay: (Duration, Duration),
    /// Replicas.
    pub replicas: usize,
    /// Replicas of these that are lost at the start of the burst.
    pub lost: usize,
    /// Slots of a replica.
    pub slots: usize,
    /// Requests that a replica queues before it rejects.
    pub max_queue: usize,
    /// Time to the first event without a queue.
    pub first_event: Duration,
    /// Mean time that a request holds a slot.
    pub hold: Duration,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Burst after the warm-up, if any.
    pub burst: Option<Burst>,
    /// How callers return.
    pub retries: Retries,
    /// Time before the burst.
    pub warm_up: Duration,
    /// Time after the burst.
    pub cool_down: Duration,
}

impl Scenario {
    /// Pool of 36 replicas at 73% of its capacity, with one class and no burst.
    pub fn steady() -> Self {
        Self {
            name: "steady",
            gateways: 122,
            view_delay: (Duration::from_millis(100), Duration::from_millis(500)),
            replicas: 36,
            lost: 0,
            slots: 20,
            max_queue: 40,
            first_event: Duration::from_millis(90),
            hold: Duration::from_millis(1_100),
            timeout: Duration::from_secs(6),
            classes: vec![Class { priority: 0, target: Duration::from_millis(250), per_s: 480.0 }],
            burst: None,
            retries: Retries::Honoured,
            warm_up: Duration::from_secs(15),
            cool_down: Duration::from_secs(15),
        }
    }

    /// The same with a burst of one class.
    pub fn with_burst(self, name: &'static str, class: usize, extra: f64, length_s: u64) -> Self {
        let burst = Burst { class, extra_per_s: extra, length: Duration::from_secs(length_s) };
        Self { name, burst: Some(burst), ..self }
    }

    /// The same load in three classes.
    pub fn with_classes(self) -> Self {
        let class = |priority, target_ms, per_s| Class {
            priority,
            target: Duration::from_millis(target_ms),
            per_s,
        };
        let classes = vec![class(0, 250, 190.0), class(1, 400, 190.0), class(2, 800, 100.0)];
        Self { classes, ..self }
    }

    /// Length of the burst.
    pub fn burst_length(&self) -> Duration {
        self.burst.map_or(Duration::ZERO, |it| it.length)
    }
}
