//! Histogram of times, counted by atomics alone.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use prometheus_client::{
    encoding::{EncodeMetric, MetricEncoder, NoLabelSet},
    metrics::{MetricType, TypedMetric},
};

/// Buckets below the last one, which has no bound.
const BOUNDED: usize = 12;

/// Histogram of times.
#[derive(Debug, Clone)]
pub(super) struct Times {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    bounds_s: [f64; BOUNDED],
    counts: [AtomicU64; BOUNDED + 1],
    sum_us: AtomicU64,
}

/// Opens a histogram with these upper bounds, in seconds.
pub(super) fn open(bounds_s: [f64; BOUNDED]) -> Times {
    let inner = Inner { bounds_s, counts: Default::default(), sum_us: AtomicU64::new(0) };
    Times { inner: Arc::new(inner) }
}

impl Times {
    /// Counts one time.
    pub(super) fn add(&self, time: Duration) {
        let time_s = time.as_secs_f64();
        let place = self.inner.bounds_s.iter().position(|bound_s| time_s <= *bound_s);
        self.inner.counts[place.unwrap_or(BOUNDED)].fetch_add(1, Ordering::Relaxed);
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.inner.sum_us.fetch_add(time_us, Ordering::Relaxed);
    }
}

impl TypedMetric for Times {
    const TYPE: MetricType = MetricType::Histogram;
}

impl EncodeMetric for Times {
    fn encode(&self, mut encoder: MetricEncoder<'_>) -> Result<(), fmt::Error> {
        let counts = self.inner.counts.each_ref().map(|it| it.load(Ordering::Relaxed));
        let bounds_s = self.inner.bounds_s.iter().copied().chain([f64::MAX]);
        let buckets: Vec<(f64, u64)> = bounds_s.zip(counts).collect();
        let sum_s = Duration::from_micros(self.inner.sum_us.load(Ordering::Relaxed)).as_secs_f64();
        encoder.encode_histogram::<NoLabelSet>(sum_s, counts.iter().sum(), &buckets, None)
    }

    fn metric_type(&self) -> MetricType {
        Self::TYPE
    }
}
