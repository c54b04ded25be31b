//! What the owners of domains told of replicas, ahead of the platform's list.

use std::{collections::HashMap, time::Duration};

use citrongw_state::time::Time;

use crate::{
    fleet::ReplicaKey,
    peers::message::{OpenReplica, PeerMessage},
};

/// Time after which the list tells that a replica is open: its pause between
/// two reads and the heartbeat of the instances.
const OPEN_TIME: Duration = Duration::from_millis(3_000);
/// Time that a replica under one epoch stays known as down; its members have
/// another epoch, or none, long before.
const DOWN_TIME: Duration = Duration::from_secs(60);

/// Replicas that owners told of.
#[derive(Debug, Clone, Default)]
pub struct ToldReplicas {
    open: HashMap<ReplicaKey, (OpenReplica, Time)>,
    down: HashMap<ReplicaKey, Time>,
}

impl ToldReplicas {
    /// Takes in a message. True if it says something new.
    pub fn hear(&mut self, message: &PeerMessage, now: Time) -> bool {
        self.open.retain(|_, (_, at)| now.since(*at) < OPEN_TIME);
        self.down.retain(|_, at| now.since(*at) < DOWN_TIME);
        match message {
            PeerMessage::Up(open) => {
                let key = ReplicaKey { replica: open.replica, epoch: open.epoch };
                // A replica that went down under an epoch and came back, as
                // after a false alarm.
                self.down.remove(&key);
                self.open.insert(key, (open.clone(), now));
                true
            }
            PeerMessage::Down { replica, epoch } => {
                let key = ReplicaKey { replica: *replica, epoch: *epoch };
                self.open.remove(&key);
                self.down.insert(key, now).is_none()
            }
            PeerMessage::Doubt { .. } => false,
        }
    }

    /// Forgets what the list tells by now.
    pub fn forget_old(&mut self, now: Time) {
        self.open.retain(|_, (_, at)| now.since(*at) < OPEN_TIME);
    }

    /// Whether a replica is known to be down.
    pub fn is_down(&self, key: &ReplicaKey) -> bool {
        self.down.contains_key(key)
    }

    /// Replicas known to be open.
    pub fn open(&self) -> impl Iterator<Item = &OpenReplica> {
        self.open.values().map(|(open, _)| open)
    }
}
