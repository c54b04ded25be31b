//! Attempt that its server has not answered. If the gateway abandons it, because the
//! server is silent, the deadline passes or the caller leaves, its request may still
//! crash the server.

use std::sync::Arc;

use super::{call::Call, signatures};
use crate::{fleet::Backend, node::Gateway};

/// Attempt in progress. A dropped one counts as abandoned.
#[derive(Debug)]
pub(super) struct UnansweredAttempt<'a> {
    gateway: &'a Gateway,
    call: &'a Call,
    server: &'a Arc<Backend>,
    is_answered: bool,
}

/// Begins an attempt.
pub(super) fn open<'a>(
    gateway: &'a Gateway,
    call: &'a Call,
    server: &'a Arc<Backend>,
) -> UnansweredAttempt<'a> {
    UnansweredAttempt { gateway, call, server, is_answered: false }
}

impl UnansweredAttempt<'_> {
    /// Records that the attempt ended at the server, with a response or without.
    pub(super) fn end(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredAttempt<'_> {
    fn drop(&mut self) {
        if !self.is_answered && self.server.gateway.is_none() {
            let signatures = signatures::all_of(self.call);
            self.gateway.crashes.record_abandoned(self.server, signatures);
        }
    }
}
