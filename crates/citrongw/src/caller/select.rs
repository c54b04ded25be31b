//! Selection of a replica for an attempt.

use std::sync::Arc;

use citrongw_coordination::replica_table::ReplicaEntry;
use citrongw_protocol::code::ResultCode;
use citrongw_state::id::ReplicaId;

use super::work::Work;
use crate::node::Shared;

/// Routable replica of the model with the least of this node's work, none of
/// those tried.
pub(super) fn select(
    shared: &Shared,
    work: &Work,
    tried: &[ReplicaId],
) -> Result<Arc<ReplicaEntry>, ResultCode> {
    let now = shared.clock.now();
    let profile = work.profile();
    let entries = shared.replicas.entries();
    let fits = |entry: &&Arc<ReplicaEntry>| {
        entry.spec.model == profile.model
            && profile.version.as_ref().is_none_or(|it| *it == entry.spec.version)
            && !tried.contains(&entry.spec.id)
            && entry.check_routable(now, shared.settings.report_freshness).is_ok()
    };
    let least = entries.iter().filter(fits).min_by_key(|entry| entry.in_flight());
    least.cloned().ok_or(ResultCode::NoReplica)
}
