//! Replica control in the node: starts the tasks that read the instance list and the
//! domain records, form and repair replicas, and poll their members.

use std::sync::Arc;

use citrongw_coordination::{
    control::{
        context::ControlSettings,
        driver::{self, ControlDriver},
    },
    instance_watch,
    record_watch::{self, RecordWatch},
    replica_watch::{self, StatusWatch},
};
use citrongw_transport::instance_list_client;
use tokio::task::JoinHandle;

use crate::node::Shared;

/// Spawns all tasks of replica control.
pub(crate) fn spawn(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let instances = Arc::clone(&shared.instances);
    let settings = &shared.settings;
    let list = instance_list_client::open(settings.instance_list_addr, settings.store_timeout);
    let records = RecordWatch {
        store: Arc::clone(&shared.store),
        cell: Arc::clone(&shared.records),
        table: Arc::clone(&shared.replicas),
        gossip: Arc::clone(&shared.gossip),
        nodes: Arc::clone(&shared.nodes),
    };
    let status = StatusWatch {
        engine: Arc::clone(&shared.engine),
        table: Arc::clone(&shared.replicas),
        nodes: Arc::clone(&shared.nodes),
        peers: None,
        clock: shared.clock,
    };
    let control = ControlDriver {
        settings: ControlSettings { freshness: settings.report_freshness, ..settings.control },
        store: Arc::clone(&shared.store),
        engine: Arc::clone(&shared.engine),
        config: Arc::clone(&shared.config),
        instances: Arc::clone(&instances),
        records: Arc::clone(&shared.records),
        gossip: Arc::clone(&shared.gossip),
        nodes: Arc::clone(&shared.nodes),
        decisions: Arc::clone(&shared.decisions),
        view: Arc::clone(&shared.control),
        clock: shared.clock,
    };
    let (news, nodes) = (Arc::clone(&shared.gossip), Arc::clone(&shared.nodes));
    vec![
        instance_watch::spawn(Arc::new(list), instances, news, nodes),
        record_watch::spawn(records),
        replica_watch::spawn(status),
        driver::spawn(control),
    ]
}
