//! What the owners of domains told of replicas, ahead of the platform's list.

use std::{collections::HashMap, time::Duration};

use citrongw_state::time::Time;

use crate::{
    fleet::ReplicaKey,
    peers::message::{OpenReplica, PeerMessage},
};

/// Time after which the list tells of a replica what its owner told: the pause
/// between two reads of it, with a margin.
const LIST_TIME: Duration = Duration::from_millis(3_000);
/// Time that a replica under one epoch stays known as down; its members have
/// another epoch, or none, long before.
const DOWN_TIME: Duration = Duration::from_secs(60);

/// Replicas that owners told of.
#[derive(Debug, Clone, Default)]
pub struct AnnouncedReplicas {
    open: HashMap<ReplicaKey, (OpenReplica, Time)>,
    down: HashMap<ReplicaKey, Time>,
}

impl AnnouncedReplicas {
    /// Takes in a message. True if it says something new.
    pub fn apply(&mut self, message: &PeerMessage, now: Time) -> bool {
        self.down.retain(|_, at| now.since(*at) < DOWN_TIME);
        match message {
            PeerMessage::Up(open) => {
                let key = ReplicaKey { replica: open.replica, epoch: open.epoch };
                // A replica that went down under an epoch and came back, as
                // after a false alarm.
                self.down.remove(&key);
                self.open.retain(|other, _| other.replica != key.replica);
                self.open.insert(key, (open.clone(), now));
                true
            }
            PeerMessage::Down { replica, epoch } => {
                let key = ReplicaKey { replica: *replica, epoch: *epoch };
                self.open.remove(&key);
                self.down.insert(key, now).is_none()
            }
            PeerMessage::Suspect { .. }
            | PeerMessage::Owner { .. }
            | PeerMessage::List(_)
            | PeerMessage::Load(_) => false,
        }
    }

    /// Whether a replica is known to be down.
    pub fn is_down(&self, key: &ReplicaKey) -> bool {
        self.down.contains_key(key)
    }

    /// Replicas known to be open, each with whether the list must show its head
    /// as open by now.
    pub fn open(&self, now: Time) -> impl Iterator<Item = (&OpenReplica, bool)> {
        self.open.values().map(move |(open, at)| (open, LIST_TIME <= now.since(*at)))
    }
}

#[cfg(test)]
mod tests;
