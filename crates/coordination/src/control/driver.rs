//! Driver that feeds the controls of the domains that this node owns or is to
//! own, and carries out what they want done.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use citrongw_protocol::{
    engine::Engine,
    instance_list::ListedInstance,
    news::News,
    store::Store,
};
use citrongw_state::{
    doubt::Doubt,
    id::{FabricDomainId, NodeId},
    ownership,
};
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tokio::{
    task::JoinHandle,
    time::{Instant, MissedTickBehavior},
};

use super::{
    call::{self, Caller},
    context::{Context, ControlSettings, FleetPlan},
    domain::{self, Action, DomainControl, Event},
    plan::{self, PlanInput, Records},
};
use crate::{
    clock::Clock, config::ConfigCellRef, decision_log::DecisionLog, instance_watch::InstancesCell,
    news_board::NewsBoard, node_view::NodeView, record_watch::RecordsCell,
    replica_table::ReplicaTable,
};

/// Pause between two ticks.
const TICK: Duration = Duration::from_millis(500);
/// Least pause between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(400);

/// What the driver works with.
pub struct ControlDriver {
    /// Settings.
    pub settings: ControlSettings,
    /// Client of the key-value service.
    pub store: Arc<dyn Store>,
    /// Client of the engines.
    pub engine: Arc<dyn Engine>,
    /// Configuration in force.
    pub config: ConfigCellRef,
    /// Instance list.
    pub instances: Arc<InstancesCell>,
    /// Records.
    pub records: Arc<RecordsCell>,
    /// Replicas known.
    pub table: Arc<ReplicaTable>,
    /// News.
    pub news: Arc<NewsBoard>,
    /// Live nodes.
    pub nodes: Arc<NodeView>,
    /// Decisions.
    pub decisions: Arc<DecisionLog>,
    /// Clock of the node.
    pub clock: Clock,
}
