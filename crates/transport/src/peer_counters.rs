//! Counters of the traffic between nodes.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::peer_auth::Rejected;

/// Traffic counters of one node.
#[derive(Debug, Default)]
pub struct PeerCounters {
    sent_datagrams: AtomicU64,
    sent_bytes: AtomicU64,
    received_datagrams: AtomicU64,
    received_bytes: AtomicU64,
    malformed: AtomicU64,
    unauthenticated: AtomicU64,
    misdirected: AtomicU64,
    replayed: AtomicU64,
    send_failed: AtomicU64,
    fetched_bytes: AtomicU64,
    served_bytes: AtomicU64,
}

/// Snapshot of the counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerCounts {
    /// Number of datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes of sent datagrams, without headers of lower layers.
    pub sent_bytes: u64,
    /// Number of datagrams received, including rejected ones.
    pub received_datagrams: u64,
    /// Bytes of received datagrams, without headers of lower layers.
    pub received_bytes: u64,
    /// Messages of another protocol version or that could not be decoded.
    pub malformed: u64,
    /// Messages whose tag is valid for no key.
    pub unauthenticated: u64,
    /// Messages sent to another node, by this node, or without a required receiver
    /// id.
    pub misdirected: u64,
    /// Messages that were received before or are older than the replay window.
    pub replayed: u64,
    /// Datagrams that could not be sent.
    pub send_failed: u64,
    /// Bytes received over TCP as responses.
    pub fetched_bytes: u64,
    /// Bytes sent over TCP as responses.
    pub served_bytes: u64,
}

impl PeerCounters {
    /// Current values of the counters.
    pub fn snapshot(&self) -> PeerCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        PeerCounts {
            sent_datagrams: load(&self.sent_datagrams),
            sent_bytes: load(&self.sent_bytes),
            received_datagrams: load(&self.received_datagrams),
            received_bytes: load(&self.received_bytes),
            malformed: load(&self.malformed),
            unauthenticated: load(&self.unauthenticated),
            misdirected: load(&self.misdirected),
            replayed: load(&self.replayed),
            send_failed: load(&self.send_failed),
            fetched_bytes: load(&self.fetched_bytes),
            served_bytes: load(&self.served_bytes),
        }
    }

    pub(crate) fn add_sent(&self, len: usize) {
        self.sent_datagrams.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(len as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, len: usize) {
        self.received_datagrams.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(len as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_send_failed(&self) {
        self.send_failed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_fetched(&self, len: usize) {
        self.fetched_bytes.fetch_add(len as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_served(&self, len: usize) {
        self.served_bytes.fetch_add(len as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_rejected(&self, cause: Rejected) {
        let counter = match cause {
            Rejected::Malformed => &self.malformed,
            Rejected::Unauthenticated => &self.unauthenticated,
            Rejected::Misdirected => &self.misdirected,
            Rejected::Replayed => &self.replayed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
