//! Dump of the node's state, without secrets and bounded in size.

use citrongw_protocol::admin::{Dump, SettingValue};

use super::status;
use crate::node::Shared;

/// Maximum number of replicas in a dump.
const MAX_REPLICAS: usize = 1000;
/// Maximum number of decisions in a dump.
const MAX_DECISIONS: usize = 1000;

/// Builds a dump of this node's state, with the most recent decisions.
pub(crate) fn dump(shared: &Shared) -> Dump {
    let mut replicas = status::replicas(shared);
    let left_out = replicas.len().saturating_sub(MAX_REPLICAS) as u64;
    replicas.truncate(MAX_REPLICAS);
    let mut decisions = shared.decisions.select(|_| true);
    let surplus = decisions.len().saturating_sub(MAX_DECISIONS);
    decisions.drain(..surplus);
    Dump {
        status: status::status(shared),
        nodes: status::nodes(shared),
        replicas,
        replicas_left_out: left_out,
        config: shared.config.load().as_ref().map(|it| it.config.redacted()),
        decisions: decisions.into_iter().map(Into::into).collect(),
        settings: settings(shared),
    }
}

fn settings(shared: &Shared) -> Vec<SettingValue> {
    let settings = &shared.settings;
    let value = |name: &str, value: String| SettingValue { name: name.to_owned(), value };
    let duration = |it| humantime::format_duration(it).to_string();
    vec![
        value("node.zone", settings.zone.to_string()),
        value("node.region", settings.region.to_string()),
        value("node.caller-addr", settings.caller_addr.to_string()),
        value("node.peer-addr", settings.peer_addr.to_string()),
        value("node.admin-addr", settings.admin_addr.to_string()),
        value("node.report-freshness", duration(settings.report_freshness)),
        value("node.balancer-lag", duration(settings.balancer_lag)),
        value("store.addr", settings.store_addr.to_string()),
        value("store.timeout", duration(settings.store_timeout)),
        value("platform.instance-list-addr", settings.instance_list_addr.to_string()),
        value("platform.weight-store-addr", settings.weight_store_addr.to_string()),
        value("membership.seeds", join(&settings.seeds)),
        value("membership.keys", format!("{} (hidden)", settings.peer_secrets.len())),
        value("log.level", settings.log_level.clone()),
    ]
}

fn join(addrs: &[std::net::SocketAddr]) -> String {
    addrs.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
