//! Inputs of a domain's control: settings, and this node's view of the fleet.

use std::{collections::BTreeMap, time::Duration};

use citrongw_protocol::record::DrainCause;
use citrongw_state::{
    config::Deployment,
    id::{
        AdapterId, DeploymentId, FabricDomainId, InstanceId, ModelVersion, NodeId, ReplicaId,
        Revision,
    },
    objective::Objective,
    placement::Assignment,
    replica::Member,
};

/// Settings of replica control. They must be the same on all nodes of a
/// deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ControlSettings {
    /// Objective that formation and repair optimise for.
    pub objective: Objective,
    /// Maximum age of a valid member report.
    pub freshness: Duration,
    /// Time after a confirmed write was sent during which its sender may send
    /// orders to engines that don't check fencing tokens.
    pub order_window: Duration,
    /// Timeout of an order.
    pub order_deadline: Duration,
    /// Minimum interval between two orders to one instance.
    pub order_interval: Duration,
    /// Estimated time to load a spare, weighed against waiting for the lost
    /// member.
    pub load_time: Duration,
    /// Maximum wait for a lost member to return.
    pub max_member_wait: Duration,
    /// Time for which a replica that lacks a spare keeps its remaining members.
    pub disband_after: Duration,
    /// Time for which repair is suspended when much of a domain goes silent at
    /// once.
    pub mass_outage_hold: Duration,
    /// Silence after which a replica without any live member is abandoned.
    pub abandon_after: Duration,
    /// Minimum time that a drain waits for requests in flight. The wait is
    /// longer if a profile allows longer requests.
    pub drain_deadline: Duration,
    /// Time within which a replica must become ready after a planned change.
    pub change_deadline: Duration,
    /// Time for which a straggler gets no work.
    pub straggler_quarantine: Duration,
    /// Maximum number of members that load weights concurrently, over all
    /// domains.
    pub loads_at_once: u32,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            objective: Objective::default(),
            freshness: Duration::from_secs(2),
            order_window: Duration::from_secs(10),
            order_deadline: Duration::from_secs(1),
            order_interval: Duration::from_secs(2),
            load_time: Duration::from_secs(30),
            max_member_wait: Duration::from_secs(60),
            disband_after: Duration::from_secs(60),
            mass_outage_hold: Duration::from_secs(60),
            abandon_after: Duration::from_secs(300),
            drain_deadline: Duration::from_secs(60),
            change_deadline: Duration::from_secs(600),
            straggler_quarantine: Duration::from_secs(600),
            loads_at_once: 16,
        }
    }
}

/// View of the fleet on which a step is based.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// Live nodes, sorted by id.
    pub alive: &'a [NodeId],
    /// Whether this node's own view is suspect.
    pub is_view_suspect: bool,
    /// Configured deployments.
    pub deployments: &'a [Deployment],
    /// Plan of the fleet.
    pub fleet: &'a FleetPlan,
}

/// Plan for all domains, as computed by one node.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetPlan {
    /// Version and adapters that each deployment's replicas are to serve.
    pub targets: BTreeMap<DeploymentId, Target>,
    /// Part of the plan for each domain.
    pub domains: BTreeMap<FabricDomainId, DomainPlan>,
    /// Size of the smallest replica that no domain has room for.
    pub needed_elsewhere: Option<u32>,
    /// Longest time that a request may take under any profile.
    pub longest_request: Duration,
    /// Domain of each instance that a replica of another domain holds.
    pub foreign_domains: BTreeMap<InstanceId, FabricDomainId>,
    /// Free instances that the plan assigns to no replica, with their domains.
    pub spares: Vec<(FabricDomainId, Member)>,
}

/// Version and adapters that the replicas of a deployment are to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Model version.
    pub version: ModelVersion,
    /// Adapters to load with the model.
    pub adapters: Vec<AdapterId>,
    /// Version and adapters that other replicas still serve, restored if the
    /// change fails.
    pub previous: Option<(ModelVersion, Vec<AdapterId>)>,
}

/// Part of the plan for one domain.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DomainPlan {
    /// Revision of the domain's record that the plan was made from.
    pub revision: Option<Revision>,
    /// Replicas to form with this domain as their home.
    pub formations: Vec<Formation>,
    /// Replicas to drain, each with its cause.
    pub drain: Vec<(ReplicaId, DrainCause)>,
    /// Replicas whose weight loads may start.
    pub loads_to_start: Vec<ReplicaId>,
}

/// Replica to form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Formation {
    /// Deployment, and number of instances in each domain.
    pub assignment: Assignment,
    /// Members proposed in the other domains.
    pub foreign_members: Vec<(FabricDomainId, Member)>,
}

impl Context<'_> {
    /// Looks up a configured deployment.
    pub fn deployment(&self, id: &DeploymentId) -> Option<&Deployment> {
        self.deployments.iter().find(|it| it.id == *id)
    }

    /// Whether all engines check fencing tokens.
    pub fn all_honour_fencing(&self) -> bool {
        self.deployments.iter().all(|it| it.honours_fencing)
    }

    /// Whether the engines of a deployment check fencing tokens. Engines of an
    /// unknown deployment are assumed not to.
    pub fn honours_fencing(&self, id: &DeploymentId) -> bool {
        self.deployment(id).is_some_and(|it| it.honours_fencing)
    }
}
