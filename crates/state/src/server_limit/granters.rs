//! Choice of the gateways that grant permits for a server, by rendezvous hashing, so
//! that all gateways with the same list agree and a change of the list moves only the
//! servers of the gateways that came or went.

use std::{collections::HashMap, time::Duration};

use crate::{
    hash::{mix, mix_pair},
    id::{NodeId, ServerIncarnation},
    server_limit::permits::GranterRole,
    time::Time,
};

/// Number of granters of a server, with the substitutes: gateways that were killed stay
/// listed for a while.
const MAX_GRANTERS: usize = 4;
/// Requests in a row without a response after which a gateway counts as silent. One
/// datagram may be lost.
const MAX_TIMEOUTS: u32 = 2;
/// Time after which a silent gateway is asked again, if no message of it arrives before.
const SILENCE_TIME: Duration = Duration::from_secs(5);
/// Time without any message of a granter after which its substitute takes its place.
/// Gateways with requests report to their zone more often than that.
const LOSS_TIME: Duration = Duration::from_millis(1_500);

/// Gateways that grant permits for a server: the granter, and then its substitutes in
/// the order in which they are asked while those before them are silent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Granters(Vec<NodeId>);

impl Granters {
    /// Gateways in the order in which they are asked.
    pub fn in_order(&self) -> impl Iterator<Item = NodeId> {
        self.0.iter().copied()
    }

    /// The first gateway.
    pub fn granter(&self) -> Option<NodeId> {
        self.0.first().copied()
    }

    /// Role of a gateway. It grants the whole limit if all before it are lost. One that
    /// only others, with an older list, take for a granter is a substitute.
    pub fn role(&self, node: NodeId, is_lost: impl Fn(NodeId) -> bool) -> GranterRole {
        match self.0.iter().position(|it| *it == node) {
            Some(position) if self.0[..position].iter().all(|it| is_lost(*it)) => {
                GranterRole::Granter
            }
            Some(_) | None => GranterRole::Substitute,
        }
    }
}

/// Chooses the granters of a server among `gateways`.
pub fn choose(server: &ServerIncarnation, gateways: impl Iterator<Item = NodeId>) -> Granters {
    let server = digest(server);
    let mut chosen: Vec<(u64, NodeId)> = Vec::with_capacity(MAX_GRANTERS + 1);
    for node in gateways {
        let scored = (mix_pair(server, node.0), node);
        let position = chosen.partition_point(|it| scored < *it);
        if position < MAX_GRANTERS {
            chosen.insert(position, scored);
            chosen.truncate(MAX_GRANTERS);
        }
    }
    Granters(chosen.into_iter().map(|(_, node)| node).collect())
}

/// Gateways that did not respond to requests for permits, and when any message of each
/// was received.
#[derive(Debug, Clone, Default)]
pub struct SilentGateways {
    timeouts: HashMap<NodeId, (u32, Time)>,
    received_at: HashMap<NodeId, Time>,
}

impl SilentGateways {
    /// Whether a gateway is silent.
    pub fn is_silent(&self, node: NodeId, now: Time) -> bool {
        self.timeouts.get(&node).is_some_and(|(count, last_at)| {
            MAX_TIMEOUTS <= *count && now.since(*last_at) < SILENCE_TIME
        })
    }

    /// Whether no message of a gateway was received for so long that it is gone.
    pub fn is_lost(&self, node: NodeId, now: Time) -> bool {
        let received_at = self.received_at.get(&node).copied().unwrap_or(Time::START);
        LOSS_TIME <= now.since(received_at)
    }

    /// Records that a gateway did not respond in time. True if it becomes silent by
    /// this.
    pub fn record_timeout(&mut self, node: NodeId, now: Time) -> bool {
        let was_silent = self.is_silent(node, now);
        let (count, last_at) = self.timeouts.entry(node).or_default();
        *count += 1;
        *last_at = now;
        !was_silent && self.is_silent(node, now)
    }

    /// Records a message of a gateway.
    pub fn record_message(&mut self, node: NodeId, now: Time) {
        self.timeouts.remove(&node);
        self.received_at.insert(node, now);
    }

    /// Drops old entries.
    pub fn expire(&mut self, now: Time) {
        self.timeouts.retain(|_, (_, last_at)| now.since(*last_at) < SILENCE_TIME * 2);
        self.received_at.retain(|_, at| now.since(*at) < LOSS_TIME);
    }
}

fn digest(server: &ServerIncarnation) -> u64 {
    let bytes = server.instance.as_str().bytes();
    bytes.fold(mix(server.incarnation.0), |digest, byte| mix_pair(digest, byte.into()))
}

#[cfg(test)]
mod tests;
