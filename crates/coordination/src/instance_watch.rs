//! Driver that polls the platform's instance list and announces instances that
//! are leaving to all nodes.
//!
//! All nodes poll; the interval grows with the number of nodes, so that the
//! total rate of reads stays about the same.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use citrongw_protocol::{
    gossip_item::{GossipItem, LeavingInstance},
    instance_list::{InstanceList, InstanceState, ListedInstance},
};
use citrongw_state::id::{Incarnation, InstanceId};
use tokio::task::JoinHandle;

use crate::{gossip_bus::GossipBus, node_view::NodeView};

/// Poll interval of one to [`NODES_PER_STEP`] nodes.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Number of nodes for which the poll interval grows by [`MIN_INTERVAL`].
const NODES_PER_STEP: u32 = 8;

/// Latest instance list. Empty until the first read.
pub type InstancesCell = ArcSwapOption<Vec<ListedInstance>>;

/// Spawns the driver.
pub fn spawn(
    list: Arc<dyn InstanceList>,
    cell: Arc<InstancesCell>,
    gossip: Arc<GossipBus>,
    nodes: Arc<NodeView>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut announced = BTreeSet::new();
        loop {
            match list.list().await {
                Ok(instances) => {
                    announce_leaving(&instances, &mut announced, &gossip);
                    cell.store(Some(Arc::new(instances)));
                }
                Err(error) => tracing::warn!(%error, "could not list instances"),
            }
            let count = u32::try_from(nodes.alive().len()).unwrap_or(u32::MAX);
            tokio::time::sleep(MIN_INTERVAL * count.div_ceil(NODES_PER_STEP)).await;
        }
    })
}

fn announce_leaving(
    instances: &[ListedInstance],
    announced: &mut BTreeSet<(InstanceId, Incarnation)>,
    gossip: &GossipBus,
) {
    for instance in instances.iter().filter(|it| it.state == InstanceState::Leaving) {
        let key = (instance.id.clone(), instance.incarnation);
        if announced.insert(key) {
            gossip.publish(GossipItem::Leaving(LeavingInstance {
                instance: instance.id.clone(),
                incarnation: instance.incarnation,
            }));
        }
    }
    // Drops instances that are no longer listed.
    announced.retain(|(id, _)| instances.iter().any(|it| it.id == *id));
}
