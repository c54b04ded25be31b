//! Status of the installation, as known to this node.

use std::{sync::atomic::Ordering, time::Duration};

use citrongw_coordination::control::summary::ReplicaSummary;
use citrongw_protocol::admin::{DeploymentStatus, NodeStatus, Problem, ReplicaStatus, Status};
use citrongw_state::config::Deployment;

use crate::node::Shared;

/// Builds the status summary for operators.
pub(crate) fn status(shared: &Shared) -> Status {
    let config = shared.config.load_full();
    let replicas = replicas(shared);
    let wanted = config.as_ref().map(|it| it.config.deployments.as_slice()).unwrap_or_default();
    let deployments: Vec<DeploymentStatus> =
        wanted.iter().map(|it| deployment(it, &replicas)).collect();
    let stopping = shared.stopping.load(Ordering::Relaxed);
    let may_serve = shared.gate.may_serve(shared.clock.now());
    let mut problems = problems(config.is_some(), stopping, &deployments);
    problems.extend(config_problems(shared));
    problems.extend(shared.control.replicas().iter().filter_map(replica_problem));
    Status {
        node: shared.node,
        up: shared.clock.now().0,
        config_revision: config.as_ref().map(|it| it.revision),
        ready: config.is_some() && may_serve && !stopping,
        nodes: u32::try_from(shared.nodes.alive().len()).unwrap_or(u32::MAX),
        deployments,
        problems,
    }
}

/// Replicas of the domain records, sorted by id.
pub(super) fn replicas(shared: &Shared) -> Vec<ReplicaStatus> {
    let now = shared.clock.now();
    let freshness = shared.settings.report_freshness;
    let entries = shared.replicas.entries();
    let replica = |entry: &std::sync::Arc<citrongw_coordination::replica_table::ReplicaEntry>| {
        let spec = &entry.spec;
        ReplicaStatus {
            id: spec.id,
            epoch: spec.epoch,
            deployment: spec.deployment.clone(),
            model: spec.model.clone(),
            version: spec.version.clone(),
            zone: spec.zone.clone(),
            members: spec.members.iter().map(|it| it.instance.clone()).collect(),
            not_routable: entry.check_routable(now, freshness).err(),
            in_flight: entry.in_flight(),
            load: entry.load().report,
        }
    };
    let mut found: Vec<ReplicaStatus> = entries.iter().map(replica).collect();
    found.sort_by_key(|it| it.id);
    found
}

/// Nodes that this node considers alive.
pub(super) fn nodes(shared: &Shared) -> Vec<NodeStatus> {
    let alive = shared.nodes.alive();
    let node = |it: &citrongw_coordination::node_view::NodeInfo| NodeStatus {
        id: it.id,
        zone: it.zone.clone(),
        peer_addr: it.peer_addr,
        this: it.id == shared.node,
    };
    alive.iter().map(node).collect()
}

fn deployment(wanted: &Deployment, replicas: &[ReplicaStatus]) -> DeploymentStatus {
    let matching = || replicas.iter().filter(|it| it.deployment == wanted.id);
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    DeploymentStatus {
        id: wanted.id.clone(),
        wanted: wanted.replicas,
        formed: count(matching().count()),
        serving: count(matching().filter(|it| it.not_routable.is_none()).count()),
    }
}

fn problems(configured: bool, stopping: bool, deployments: &[DeploymentStatus]) -> Vec<Problem> {
    let mut found = Vec::new();
    if !configured {
        found.push(Problem {
            what: "the node has no configuration".to_owned(),
            lasting: None,
            doing: "asks the key-value service and its peers; refuses requests".to_owned(),
            advice: "check that the key-value service answers, and write a configuration if \
                     there is none"
                .to_owned(),
        });
    }
    if stopping {
        found.push(Problem {
            what: "the node is stopping".to_owned(),
            lasting: None,
            doing: "finishes what is in flight and takes no new work".to_owned(),
            advice: "nothing to do".to_owned(),
        });
    }
    for deployment in deployments.iter().filter(|it| it.formed < it.wanted) {
        found.push(Problem {
            what: format!(
                "deployment {}: {} of {} replicas are formed",
                deployment.id, deployment.formed, deployment.wanted
            ),
            lasting: None,
            doing: "forms replicas as instances and weight loads allow".to_owned(),
            advice: "add instances to a fabric domain, or lower the number of replicas".to_owned(),
        });
    }
    found
}

fn replica_problem(replica: &ReplicaSummary) -> Option<Problem> {
    let cause = replica.cause?;
    Some(Problem {
        what: format!("replica {} is not serving: {cause}", replica.replica),
        lasting: Some(Duration::from_secs(replica.lasting.as_secs())),
        doing: cause.doing().to_owned(),
        advice: format!("citrongwctl explain replica {}", replica.replica),
    })
}

fn config_problems(shared: &Shared) -> Vec<Problem> {
    let mut found = Vec::new();
    let config_status = shared.gate.status();
    if let Some(revision) = config_status.went_back_to {
        found.push(Problem {
            what: format!("the key-value service went back to configuration version {revision}"),
            lasting: None,
            doing: "keeps the newer configuration in force".to_owned(),
            advice: "write the configuration again with citrongwctl config put FILE \
                     --replaces-lost VERSION, with the version that nodes still hold"
                .to_owned(),
        });
    }
    if config_status.forked {
        found.push(Problem {
            what: "the key-value service holds a configuration that lacks a change".to_owned(),
            lasting: None,
            doing: "keeps the configuration in force".to_owned(),
            advice: "compare with citrongwctl config history, and write the right one".to_owned(),
        });
    }
    if config_status.held.is_some() && !shared.gate.may_serve(shared.clock.now()) {
        found.push(Problem {
            what: "the configuration is not confirmed as the newest".to_owned(),
            lasting: None,
            doing: "refuses requests, so that callers move to other nodes".to_owned(),
            advice: "check that this node reaches the key-value service or other nodes".to_owned(),
        });
    }
    found
}
