//! Lists of gateways that others may still have.
//!
//! Gateways read a change of their list up to a second apart. Until all have it, two
//! gateways may each count as the first granter of a server.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use citrongw_state::{
    id::{AvailabilityZone, NodeId, ServerIncarnation},
    time::Time,
};

use super::choose_granters;
use crate::peers::ClusterView;

/// Time until all gateways have read a change of their list: the interval at which the
/// list reader reads it, the interval of its messages, and the delay of the others' reads.
const CHANGE_TIME: Duration = Duration::from_millis(1_500);
/// Limit on the lists that are kept. If there are more, the oldest and the latest ones are.
const MAX_VIEWS: usize = 8;

/// Current list and those that it replaced recently.
#[derive(Debug, Default)]
pub(super) struct RecentViews {
    current: Arc<ClusterView>,
    /// Former lists and when each was replaced, the latest first.
    former: VecDeque<(Arc<ClusterView>, Time)>,
}

impl RecentViews {
    /// Records the list of this gateway.
    pub(super) fn record(&mut self, view: &Arc<ClusterView>, now: Time) {
        if !Arc::ptr_eq(&self.current, view) {
            let before = std::mem::replace(&mut self.current, Arc::clone(view));
            if before.nodes != view.nodes {
                self.former.push_front((before, now));
                if MAX_VIEWS < self.former.len() {
                    self.former.remove(MAX_VIEWS - 1);
                }
            }
        }
        while self.former.back().is_some_and(|(_, at)| CHANGE_TIME <= now.since(*at)) {
            self.former.pop_back();
        }
    }

    /// Whether a gateway is the first granter of a server in all of these lists.
    pub(super) fn is_granter(
        &self,
        node: NodeId,
        server: &ServerIncarnation,
        zone: &AvailabilityZone,
    ) -> bool {
        let former = self.former.iter().map(|(view, _)| view);
        let mut views = former.chain(std::iter::once(&self.current));
        views.all(|it| choose_granters(server, zone, it).granter() == Some(node))
    }
}

#[cfg(test)]
mod tests;
