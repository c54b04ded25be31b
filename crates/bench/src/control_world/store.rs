//! Model of the key-value store as the controllers use it: one typed record per
//! domain.

use std::{collections::BTreeMap, sync::Arc};

use citrongw_coordination::control::domain::RecordWrite;
use citrongw_protocol::record::DomainRecord;
use citrongw_state::id::{FabricDomainId, Revision};

/// Simulated store.
#[derive(Debug, Default)]
pub struct StoreModel {
    records: BTreeMap<FabricDomainId, (Arc<DomainRecord>, Revision)>,
    revision: u64,
    /// Whether the store is unreachable.
    pub down: bool,
    /// Whether calls take 50 times as long.
    pub slow: bool,
    /// Probability that a reply is lost.
    pub lost_replies: f64,
    /// Number of reads so far.
    pub reads: u64,
    /// Number of writes so far.
    pub writes: u64,
}

impl StoreModel {
    /// Whether the store is unreachable.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Returns a domain's record.
    pub fn get(&self, domain: &FabricDomainId) -> Option<(Arc<DomainRecord>, Revision)> {
        self.records.get(domain).cloned()
    }

    /// All records by domain.
    pub fn records(&self) -> &BTreeMap<FabricDomainId, (Arc<DomainRecord>, Revision)> {
        &self.records
    }

    /// Writes a record if its revision is as expected, or unconditionally if
    /// `blind`.
    pub fn compare_and_swap(&mut self, write: &RecordWrite, blind: bool) -> Option<Revision> {
        self.writes += 1;
        let found = self.records.get(&write.domain).map(|(_, revision)| *revision);
        if found != write.expected && !blind {
            return None;
        }
        self.revision += 1;
        let revision = Revision::new(self.revision);
        self.records.insert(write.domain.clone(), (Arc::clone(&write.record), revision));
        Some(revision)
    }
}
