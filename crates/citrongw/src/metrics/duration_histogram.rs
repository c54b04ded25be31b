//! Lock-free histogram of durations.

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

/// Number of buckets with an upper bound; one more bucket has none.
const BOUNDED_BUCKETS: usize = 12;

/// Histogram of durations.
#[derive(Debug, Clone)]
pub(super) struct DurationHistogram {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    bounds_s: [f64; BOUNDED_BUCKETS],
    counts: [AtomicU64; BOUNDED_BUCKETS + 1],
    sum_us: AtomicU64,
}

/// Creates a histogram with these upper bounds, in seconds.
pub(super) fn open(bounds_s: [f64; BOUNDED_BUCKETS]) -> DurationHistogram {
    let inner = Inner { bounds_s, counts: Default::default(), sum_us: AtomicU64::new(0) };
    DurationHistogram { inner: Arc::new(inner) }
}

impl DurationHistogram {
    /// Records one duration.
    pub(super) fn add(&self, time: Duration) {
        let time_s = time.as_secs_f64();
        let bucket = self.inner.bounds_s.iter().position(|bound_s| time_s <= *bound_s);
        self.inner.counts[bucket.unwrap_or(BOUNDED_BUCKETS)].fetch_add(1, Ordering::Relaxed);
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.inner.sum_us.fetch_add(time_us, Ordering::Relaxed);
    }
}

impl TypedMetric for DurationHistogram {
    const TYPE: MetricType = MetricType::Histogram;
}

impl EncodeMetric for DurationHistogram {
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
