//! Messages about the zones under evacuation.

use std::{collections::BTreeSet, net::SocketAddr};

use citrongw_state::{
    id::{AvailabilityZone, NodeId},
    time::Time,
};
use rand::seq::IteratorRandom;

use super::{
    Peers,
    message::{EvacuationUpdate, PeerMessage},
};

/// Gateways that are asked at once. With a third of the gateways refused by the key-value
/// service, one in 27 of such requests reaches none that is not.
const ASKED_GATEWAYS: usize = 3;
/// Limit on the names of the zones in one message, so that it fits into a datagram. If
/// there are more, each gateway reads them for itself.
const MAX_NAME_BYTES: usize = 1_000;

impl Peers {
    /// Sends a read to all gateways, through the reporters of their zones.
    pub(crate) async fn publish_evacuations(&self, update: &EvacuationUpdate) {
        if fits(&update.evacuated.zones) {
            let direct = PeerMessage::Evacuations(update.clone());
            let forwarded = EvacuationUpdate { must_forward: true, ..update.clone() };
            self.publish(&direct, &PeerMessage::Evacuations(forwarded)).await;
        }
    }

    /// Sends a read to the gateways of this zone.
    pub(crate) async fn publish_evacuations_to_zone(&self, update: &EvacuationUpdate) {
        if fits(&update.evacuated.zones) {
            self.send_to_zone(&self.zone, &PeerMessage::Evacuations(update.clone())).await;
        }
    }

    /// Sends a read that has news to each gateway directly.
    pub(crate) async fn broadcast_evacuations(&self, update: &EvacuationUpdate) {
        if fits(&update.evacuated.zones) {
            self.broadcast(&PeerMessage::Evacuations(update.clone())).await;
        }
    }

    /// Asks some gateways for the zones under evacuation. They reply to `reply_to`.
    pub(crate) async fn request_evacuations(&self, reply_to: SocketAddr) {
        let cluster = self.cluster();
        let others = cluster.nodes.iter().filter(|(node, _)| **node != self.node);
        let asked = others.choose_multiple(&mut rand::rng(), ASKED_GATEWAYS);
        for (node, listed) in asked {
            self.send(*node, listed.addr, &PeerMessage::EvacuationsRequest { reply_to }).await;
        }
    }

    /// Replies to a gateway that asked.
    pub(crate) async fn reply_evacuations(
        &self,
        to: NodeId,
        addr: SocketAddr,
        update: EvacuationUpdate,
    ) {
        if fits(&update.evacuated.zones) {
            self.send(to, addr, &PeerMessage::Evacuations(update)).await;
        }
    }
}

impl EvacuationUpdate {
    /// When the zones were requested, by the receiver's clock.
    pub(crate) fn read_at(&self, received_at: Time) -> Time {
        received_at - self.age
    }
}

fn fits(zones: &BTreeSet<AvailabilityZone>) -> bool {
    zones.iter().map(|it| it.as_str().len() + 1).sum::<usize>() <= MAX_NAME_BYTES
}
