//! Servers and statistics of a snapshot.

use std::sync::Arc;

use citrongw_state::id::PlainServiceId;

use super::{Backend, BackendStats, Fleet, ReplicaKey};

impl Fleet {
    /// Servers of all services.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (&PlainServiceId, &Arc<Backend>)> {
        self.pools.iter().flat_map(|(service, pool)| {
            let servers = pool.servers.iter().chain(pool.replicas.values().flatten());
            servers.map(move |it| (service, it))
        })
    }

    /// Statistics of the backend servers of a replica.
    pub fn replica_stats(&self, key: &ReplicaKey) -> impl Iterator<Item = &Arc<BackendStats>> {
        let of_replica = self.stats.iter().filter(|((_, _, it), _)| it.as_ref() == Some(key));
        of_replica.map(|(_, stats)| stats)
    }
}
