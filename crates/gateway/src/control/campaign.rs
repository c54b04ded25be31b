//! Acquires ownership of domains that have no owner.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use citrongw_state::id::NodeId;
use tokio::{task::JoinHandle, time::sleep};

use super::{
    driver::{DomainController, KnownPlan},
    ownership::{self, UnownedDomains},
    plan::DomainKey,
};
use crate::node::Gateway;

/// Interval between checks for domains without an owner.
const CAMPAIGN_INTERVAL: Duration = Duration::from_millis(100);

/// Spawns the task that acquires and controls domains without an owner.
pub(crate) fn spawn(gateway: &Arc<Gateway>) -> JoinHandle<()> {
    tokio::spawn(campaign(Arc::clone(gateway)))
}

/// Tries to acquire domains without an owner.
async fn campaign(gateway: Arc<Gateway>) {
    let mut controllers: BTreeMap<DomainKey, JoinHandle<Option<KnownPlan>>> = BTreeMap::new();
    let mut last_known: BTreeMap<DomainKey, KnownPlan> = BTreeMap::new();
    let mut unowned_domains = UnownedDomains::default();
    loop {
        sleep(CAMPAIGN_INTERVAL).await;
        let finished = controllers.iter().filter(|(_, task)| task.is_finished());
        let finished: Vec<DomainKey> = finished.map(|(domain, _)| domain.clone()).collect();
        for domain in finished {
            let Some(task) = controllers.remove(&domain) else { continue };
            match task.await {
                Ok(Some(plan)) => drop(last_known.insert(domain, plan)),
                Ok(None) => {}
                Err(error) => tracing::error!(%domain, %error, "control of a domain failed"),
            }
        }
        let listed = listed_domains(&gateway);
        if listed.is_empty() || gateway.is_stopping() || gateway.links.is_cut() {
            continue;
        }
        let cluster = gateway.peers.cluster();
        // Until this node finds itself in the list, its view of the other nodes
        // is incomplete too.
        if !cluster.nodes.contains_key(&gateway.node) {
            continue;
        }
        let nodes: Vec<NodeId> = cluster.nodes.keys().copied().collect();
        // If the list still names this node, the node has lost the domain.
        let is_owned = |it: &DomainKey| {
            cluster.owners.get(&it.owner_key()).is_some_and(|owner| *owner != gateway.node)
        };
        // Another owner knows a newer plan.
        last_known.retain(|domain, _| !is_owned(domain));
        let unowned: BTreeSet<DomainKey> = listed
            .into_iter()
            .filter(|it| !is_owned(it) && !controllers.contains_key(it))
            .collect();
        let is_former_owner = |it: &DomainKey| last_known.contains_key(it);
        let now = gateway.clock.now();
        for domain in unowned_domains.due(&unowned, gateway.node, &nodes, is_former_owner, now) {
            let requested_at = gateway.clock.now();
            match ownership::acquire(&*gateway.adapter.store, &domain, gateway.node).await {
                Ok(Some(lease)) => {
                    tracing::info!(%domain, node = %gateway.node, "acquired ownership of a domain");
                    gateway.peers.announce_ownership(&domain).await;
                    let known = last_known.remove(&domain);
                    let control =
                        DomainController::new(&gateway, domain.clone(), known, lease, requested_at);
                    controllers.insert(domain, tokio::spawn(control.run()));
                }
                Ok(None) => {}
                Err(error) => tracing::info!(%domain, %error, "could not acquire a domain"),
            }
        }
    }
}

/// Domains of the listed instances whose service has an engine.
pub(super) fn listed_domains(gateway: &Gateway) -> BTreeSet<DomainKey> {
    let Some(gateway_config) = gateway.routing.active_config.load_full() else {
        return BTreeSet::new();
    };
    let instances = gateway.routing.instances.load();
    let of_engine = instances.instances.values().filter(|it| {
        gateway_config.services.get(&it.entry.service).is_some_and(|it| it.engine.is_some())
    });
    of_engine
        .filter_map(|it| {
            let (service, domain) = (it.entry.service.clone(), it.entry.domain.clone()?);
            Some(DomainKey { service, domain })
        })
        .collect()
}
