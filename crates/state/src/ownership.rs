//! Assignment of domains and replicas to nodes.
//!
//! Rendezvous hashing over the live nodes proposes an owner; where a record
//! exists, its epoch decides. The same hash selects the node that watches a
//! replica and the replicas that a node subscribes to.

use std::hash::Hasher;

use crate::id::{FabricDomainId, NodeId, ReplicaId};

/// Node that should own `domain`.
pub fn domain_owner(domain: &FabricDomainId, alive: &[NodeId]) -> Option<NodeId> {
    let key = hash_bytes(domain.as_str().as_bytes());
    alive.iter().copied().max_by_key(|node| (mix(key, node.0), *node))
}

/// Rendezvous weight of `node` for `replica`; the highest weight is preferred.
pub fn replica_weight(replica: ReplicaId, node: NodeId) -> u64 {
    mix(mix(0, replica.0), node.0)
}

/// Node that should watch `replica`.
pub fn replica_watcher(replica: ReplicaId, alive: &[NodeId]) -> Option<NodeId> {
    alive.iter().copied().max_by_key(|node| (replica_weight(replica, *node), *node))
}

fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hasher = Fnv(0xcbf2_9ce4_8422_2325);
    hasher.write(bytes);
    hasher.finish()
}

/// Mixes two numbers so that each bit of both affects each bit of the result.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// FNV-1a, which is the same on every node, unlike the standard library's
/// hasher.
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

#[cfg(test)]
mod tests;
