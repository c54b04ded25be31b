//! What a domain's control is given from outside: settings, and this node's
//! view of the fleet.

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

/// Settings of replica control, alike on all nodes of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ControlSettings {
    /// What formation and repair weigh most.
    pub objective: Objective,
    /// Age up to which a member's report counts.
    pub freshness: Duration,
    /// Time after the sending of a confirmed write in which its sender may give
    /// orders to engines that check no fencing number.
    pub order_window: Duration,
    /// Longest time that an order may travel.
    pub order_deadline: Duration,
    /// Pause between two orders to one instance.
    pub order_interval: Duration,
    /// Time that loading a spare takes, for weighing it against waiting.
    pub load_time: Duration,
    /// Longest wait for a lost member.
    pub max_member_wait: Duration,
    /// Time that a replica without a spare is kept together.
    pub disband_after: Duration,
    /// Time that repair is held back when much of a domain goes silent at once.
    pub mass_outage_hold: Duration,
    /// Silence after which a replica without any live member is given up.
    pub abandon_after: Duration,
    /// Time that a drain waits for requests in flight, at least. It is longer
    /// where a profile lets requests take longer.
    pub drain_deadline: Duration,
    /// Time within which a replica must come up after a planned change.
    pub change_deadline: Duration,
    /// Time for which a straggler is not used.
    pub straggler_quarantine: Duration,
    /// Members that may load weights at once, over all domains.
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

/// View of the fleet that a step is taken in.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// Live nodes, by id.
    pub alive: &'a [NodeId],
    /// Whether this node doubts what it sees.
    pub is_view_suspect: bool,
    /// Deployments wanted.
    pub deployments: &'a [Deployment],
    /// Plan of the fleet.
    pub fleet: &'a FleetPlan,
}

/// What all domains are to do, as one node works it out.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetPlan {
    /// What each deployment's replicas are to hold.
    pub targets: BTreeMap<DeploymentId, Target>,
    /// Part of each domain.
    pub domains: BTreeMap<FabricDomainId, DomainPlan>,
    /// Size of the smallest replica that no domain has room for.
    pub needed_elsewhere: Option<u32>,
    /// Longest time that a request may take under any profile.
    pub longest_request: Duration,
    /// Domains of the instances that replicas of other domains hold.
    pub foreign: BTreeMap<InstanceId, FabricDomainId>,
    /// Free instances that no replica is to form with.
    pub spares: Vec<(FabricDomainId, Member)>,
}

/// What replicas of a deployment are to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Version.
    pub version: ModelVersion,
    /// Adapters.
    pub adapters: Vec<AdapterId>,
    /// What other replicas still hold, to go back to if the change fails.
    pub previous: Option<(ModelVersion, Vec<AdapterId>)>,
}

/// Part of one domain in the plan.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DomainPlan {
    /// Revision of the domain's record that the plan was made from.
    pub revision: Option<Revision>,
    /// Replicas to form with their home here.
    pub formations: Vec<Formation>,
    /// Replicas to drain.
    pub drain: Vec<(ReplicaId, DrainCause)>,
    /// Weight loads that may begin.
    pub loads_to_start: Vec<ReplicaId>,
}

/// Replica to form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Formation {
    /// Its deployment and parts.
    pub assignment: Assignment,
    /// Members proposed in the other domains.
    pub foreign_members: Vec<(FabricDomainId, Member)>,
}

impl Context<'_> {
    /// Deployment by name.
    pub fn deployment(&self, id: &DeploymentId) -> Option<&Deployment> {
        self.deployments.iter().find(|it| it.id == *id)
    }

    /// Whether all engines check the fencing number.
    pub fn all_honour_fencing(&self) -> bool {
        self.deployments.iter().all(|it| it.honours_fencing)
    }

    /// Whether the engines of a deployment check the fencing number. Those of
    /// an unknown deployment are taken not to.
    pub fn honours_fencing(&self, id: &DeploymentId) -> bool {
        self.deployment(id).is_some_and(|it| it.honours_fencing)
    }
}
