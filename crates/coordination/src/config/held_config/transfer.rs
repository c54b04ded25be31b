//! Transfer of the held state between nodes: what a node requests, what it
//! responds with, and what it takes from a response.

use citrongw_protocol::{
    node_record::VersionedNodeRecord,
    peer::{ConfigTransfer, FetchRequest, FetchResponse},
};
use citrongw_state::time::Time;

use super::HeldConfig;
use crate::config::document::{self, OfferOutcome};

impl HeldConfig {
    /// Offers a document transferred from a peer.
    pub fn offer_transfer(&mut self, transfer: &ConfigTransfer, now: Time) -> OfferOutcome {
        let outcome = document::offer(&mut self.document, transfer);
        self.apply_offer_outcome(outcome, now);
        outcome
    }

    /// Adds the held versions to a fetch request.
    pub fn fill_request(&self, request: &mut FetchRequest) {
        let held = self.document.as_ref().filter(|_| !self.needs_whole);
        request.config = held.map(|it| it.version);
        let version = |it: &VersionedNodeRecord| (it.zone.clone(), it.revision);
        request.records = self.records.values().map(version).collect();
    }

    /// Adds newer state than the requester has to a response.
    pub fn fill_response(&self, request: &FetchRequest, response: &mut FetchResponse) {
        response.config = self.document.as_ref().and_then(|it| it.transfer_to(request.config));
        let is_newer = |it: &&VersionedNodeRecord| {
            let theirs = request.records.iter().find(|(zone, _)| *zone == it.zone);
            theirs.is_none_or(|(_, revision)| *revision < it.revision)
        };
        response.records = self.records.values().filter(is_newer).cloned().collect();
    }
}
