//! How the installation fares, as this node sees it.

use std::sync::atomic::Ordering;

use citrongw_protocol::admin::{DeploymentStatus, NodeStatus, Problem, ReplicaStatus, Status};
use citrongw_state::{config::Deployment, replica::NotRoutable};

use crate::node::Shared;

/// One screen for the operator.
pub(crate) fn status(shared: &Shared) -> Status {
    let config = shared.config.load_full();
    let replicas = replicas(shared);
    let wanted = config.as_ref().map(|it| it.config.deployments.as_slice()).unwrap_or_default();
    let deployments: Vec<DeploymentStatus> =
        wanted.iter().map(|it| deployment(it, &replicas)).collect();
    let stopping = shared.stopping.load(Ordering::Relaxed);
    let problems = problems(config.is_some(), stopping, &deployments, &replicas);
    Status {
        node: shared.node,
        up: shared.clock.now().0,
        config_revision: config.as_ref().map(|it| it.revision),
        ready: config.is_some() && !stopping,
        nodes: u32::try_from(shared.nodes.alive().len()).unwrap_or(u32::MAX),
        deployments,
        problems,
    }
}

/// Replicas that the records tell, by id.
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

/// Nodes that this one holds for alive.
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
    let of_it = || replicas.iter().filter(|it| it.deployment == wanted.id);
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    DeploymentStatus {
        id: wanted.id.clone(),
        wanted: wanted.replicas,
        formed: count(of_it().count()),
        serving: count(of_it().filter(|it| it.not_routable.is_none()).count()),
    }
}

fn problems(
    configured: bool,
    stopping: bool,
    deployments: &[DeploymentStatus],
    replicas: &[ReplicaStatus],
) -> Vec<Problem> {
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
    found.extend(replicas.iter().filter_map(replica_problem));
    found
}

fn replica_problem(replica: &ReplicaStatus) -> Option<Problem> {
    let (what, doing) = match replica.not_routable? {
        NotRoutable::MemberSilent => ("a member does not answer", "keeps asking it"),
        NotRoutable::MemberRestarted => ("a member restarted", "forms the replica anew"),
        NotRoutable::MemberElsewhere => ("a member serves something else", "orders it again"),
        NotRoutable::MemberLoading => ("a member is loading weights", "waits for it"),
        NotRoutable::MemberLeaving => ("a member is leaving", "replaces it"),
    };
    Some(Problem {
        what: format!("replica {} is not serving: {what}", replica.id),
        lasting: None,
        doing: doing.to_owned(),
        advice: format!("citrongwctl explain replica {}", replica.id),
    })
}
