//! Request of a caller.

use std::time::Duration;

/// Request with its way through gateways and servers.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    pub(super) gateway: usize,
    pub(super) server: usize,
    pub(super) is_return: bool,
    pub(super) sent_at: Duration,
    pub(super) first_event_at: Option<Duration>,
    pub(super) server_had_slot: bool,
    pub(super) waits_since: Option<Duration>,
    pub(super) expected_wait: Option<Duration>,
    pub(super) ended: bool,
}
