//! The key-value service as the controls use it: one typed record a domain.

use std::{collections::BTreeMap, sync::Arc};

use citrongw_coordination::control::domain::RecordWrite;
use citrongw_protocol::record::DomainRecord;
use citrongw_state::id::{FabricDomainId, Revision};

/// The service.
#[derive(Debug, Default)]
pub struct StoreModel {
    records: BTreeMap<FabricDomainId, (Arc<DomainRecord>, Revision)>,
    revision: u64,
    /// Whether it answers nothing.
    pub down: bool,
    /// Whether it is slow.
    pub slow: bool,
    /// Share of replies that are lost.
    pub lost_replies: f64,
    /// Reads so far.
    pub reads: u64,
    /// Writes so far.
    pub writes: u64,
}

impl StoreModel {
    /// Whether it answers nothing.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// A domain's record.
    pub fn get(&self, domain: &FabricDomainId) -> Option<(Arc<DomainRecord>, Revision)> {
        self.records.get(domain).cloned()
    }

    /// All records.
    pub fn records(&self) -> &BTreeMap<FabricDomainId, (Arc<DomainRecord>, Revision)> {
        &self.records
    }

    /// Changes a record if it is as expected, or whatever it is if `blind`.
    pub fn compare_and_swap(&mut self, write: &RecordWrite, blind: bool) -> Option<Revision> {
        self.writes += 1;
        let found = self.records.get(&write.domain).map(|(_, revision)| *revision);
        if found != write.expected && !blind {
            return None;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.records.insert(write.domain.clone(), (Arc::clone(&write.record), revision));
        Some(revision)
    }
}
