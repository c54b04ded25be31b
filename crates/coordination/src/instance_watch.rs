//! Driver that reads the platform's instance list, and tells all nodes at once
//! of instances that are leaving.
//!
//! All nodes read, each the less often the more there are, so that the list is
//! asked at the same rate whatever their number.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use citrongw_protocol::{
    gossip_item::{GossipItem, LeavingInstance},
    instance_list::{InstanceList, InstanceState, ListedInstance},
};
use citrongw_state::id::{Incarnation, InstanceId};
use tokio::task::JoinHandle;

use crate::{gossip_bus::GossipBus, node_view::NodeView};

/// Pause between two reads of a node alone.
const LEAST_INTERVAL: Duration = Duration::from_millis(500);
/// Nodes for which the pause grows by the least one.
const NODES_PER_STEP: u32 = 8;

/// The list as last read. Empty until then.
pub type InstancesCell = ArcSwapOption<Vec<ListedInstance>>;

/// Spawns the driver.
pub fn spawn(
    list: Arc<dyn InstanceList>,
    cell: Arc<InstancesCell>,
    news: Arc<GossipBus>,
    nodes: Arc<NodeView>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut told = BTreeSet::new();
        loop {
            match list.list().await {
                Ok(instances) => {
                    tell_leaving(&instances, &mut told, &news);
                    cell.store(Some(Arc::new(instances)));
                }
                Err(error) => tracing::warn!(%error, "could not read instance list"),
            }
            let count = u32::try_from(nodes.alive().len()).unwrap_or(u32::MAX);
            tokio::time::sleep(LEAST_INTERVAL * count.div_ceil(NODES_PER_STEP)).await;
        }
    })
}

fn tell_leaving(
    instances: &[ListedInstance],
    told: &mut BTreeSet<(InstanceId, Incarnation)>,
    news: &GossipBus,
) {
    for instance in instances.iter().filter(|it| it.state == InstanceState::Leaving) {
        let start = (instance.id.clone(), instance.incarnation);
        if told.insert(start) {
            news.publish(GossipItem::Leaving(LeavingInstance {
                instance: instance.id.clone(),
                incarnation: instance.incarnation,
            }));
        }
    }
    // What is off the list needs no memory.
    told.retain(|(id, _)| instances.iter().any(|it| it.id == *id));
}
