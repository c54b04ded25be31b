//! Replica states that the owners of domains announced, ahead of the platform's
//! list.

use std::{collections::HashMap, time::Duration};

use citrongw_state::time::Time;

use crate::{
    fleet::ReplicaKey,
    peers::message::{OpenReplica, PeerMessage},
};

/// Time after which the list shows what an owner announced: the interval between
/// reads of the list, with a margin.
const LIST_CONFIRM_TIME: Duration = Duration::from_millis(3_000);
/// Time that a replica under one epoch stays marked as down. Its members have
/// another epoch, or none, long before.
const DOWN_EXPIRY: Duration = Duration::from_secs(60);

/// Replicas that owners announced as open or down.
#[derive(Debug, Clone, Default)]
pub struct AnnouncedReplicas {
    open: HashMap<ReplicaKey, (OpenReplica, Time)>,
    down: HashMap<ReplicaKey, Time>,
}

impl AnnouncedReplicas {
    /// Applies a message. True if it may change the state.
    pub fn apply(&mut self, message: &PeerMessage, now: Time) -> bool {
        self.down.retain(|_, at| now.since(*at) < DOWN_EXPIRY);
        match message {
            PeerMessage::Up(open) => {
                let key = ReplicaKey { replica: open.replica, epoch: open.epoch };
                // A replica can be open again under an epoch that was marked as
                // down, for example after a false suspicion.
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
            | PeerMessage::Load(_)
            | PeerMessage::Crash { .. }
            | PeerMessage::Cleared { .. }
            | PeerMessage::ServerLimit { .. }
            | PeerMessage::PermitRequest(_)
            | PeerMessage::PermitReply(_)
            | PeerMessage::ColdServers(_)
            | PeerMessage::ColdPermitRequest(_)
            | PeerMessage::ListForZone(_)
            | PeerMessage::ListMissing { .. }
            | PeerMessage::ServerLeaving { .. }
            | PeerMessage::Evacuations(_)
            | PeerMessage::EvacuationsRequest { .. }
            | PeerMessage::ReadsWork(_)
            | PeerMessage::Work(_)
            | PeerMessage::ZoneWork { .. }
            | PeerMessage::ZoneLoad { .. } => false,
        }
    }

    /// Whether a replica is marked as down.
    pub fn is_down(&self, key: &ReplicaKey) -> bool {
        self.down.contains_key(key)
    }

    /// Replicas announced as open. The flag is true if the list must show the
    /// head as open by now.
    pub fn open(&self, now: Time) -> impl Iterator<Item = (&OpenReplica, bool)> {
        self.open.values().map(move |(open, at)| (open, LIST_CONFIRM_TIME <= now.since(*at)))
    }
}

#[cfg(test)]
mod tests;
