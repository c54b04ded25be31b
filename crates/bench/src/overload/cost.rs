//! Cost of a node's queue per request, including its mutex.

use std::{
    hint::black_box,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use citrongw_state::{
    admission::{self, Arrival, Queue, QueueBounds},
    config::Priority,
    id::OrganisationId,
    time::Time,
    unit::{Bytes, Tokens},
};

/// Number of measured requests.
const REQUESTS: usize = 100_000;
/// Number of requests queued during the measurement.
const WAITING: usize = 1000;

/// Mean time to enqueue and dequeue one request with `organisations`
/// organisations.
pub fn measure_queue_cost(organisations: usize) -> Duration {
    let names: Vec<OrganisationId> =
        (0..organisations).map(|idx| format!("organisation-{idx}").into()).collect();
    let arrivals: Vec<Arrival> = names.into_iter().map(arrival).collect();
    let queue = Mutex::new(admission::open(QueueBounds::default()));
    let mut cycle = arrivals.iter().cycle();
    for arrival in cycle.by_ref().take(WAITING) {
        offer(&queue, arrival);
    }
    let started_at = Instant::now();
    for arrival in cycle.take(REQUESTS) {
        offer(&queue, arrival);
        let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
        black_box(queue.take(Time::START));
    }
    started_at.elapsed() / REQUESTS as u32
}

fn offer(queue: &Mutex<Queue<u64>>, arrival: &Arrival) {
    let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
    black_box(queue.offer(arrival.clone(), 0, Time::START));
}

fn arrival(organisation: OrganisationId) -> Arrival {
    Arrival {
        organisation,
        weight: 1,
        priority: Priority::Normal,
        cost: Tokens(100),
        size: Bytes(1000),
        start_by: Time::from_millis(1_000_000),
    }
}
