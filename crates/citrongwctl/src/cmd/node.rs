//! `citrongwctl node`.

use std::time::Duration;

use citrongw_protocol::admin::NodeStatus;
use citrongw_state::id::NodeId;
use http::Method;

use super::Context;
use crate::{
    args::node::NodeCmd,
    client::SendOutcome,
    confirm,
    error::{CtlError, Result},
    output::{self, table},
};

/// Interval between polls of the node list during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of polls, two minutes in all.
const MAX_POLLS: u32 = 240;

/// Lists the nodes, or stops one.
pub(super) async fn run(context: &Context, subcommand: NodeCmd) -> Result<()> {
    match subcommand {
        NodeCmd::List(_) => list(context).await,
        NodeCmd::Stop(args) => stop(context, args.id).await,
    }
}

/// Requests the planned stop and waits until the node has left the node list.
async fn stop(context: &Context, node: NodeId) -> Result<()> {
    confirm::require(context, &[format!("node {node} finishes its work and stops")])?;
    let path = format!("/admin/nodes/{node}/stop");
    // A stopping node may not respond; the node list shows whether it has stopped.
    let _: SendOutcome<NodeId> = context.client.send(Method::POST, &path, &()).await?;
    for _ in 0..MAX_POLLS {
        match context.client.get::<Vec<NodeStatus>>("/admin/nodes").await {
            Ok(nodes) if nodes.iter().any(|it| it.id == node) => {}
            Ok(_) => {
                println!("node {node} has stopped");
                return Ok(());
            }
            Err(report) => return accept_unreachable(report, context),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!("node {node} is still finishing its work");
    Ok(())
}

/// Treats an unreachable node as stopped if it is the only one configured.
fn accept_unreachable(report: error_stack::Report<CtlError>, context: &Context) -> Result<()> {
    match report.current_context() {
        CtlError::NoNode { .. } if context.client.has_single_node() => {
            println!("the node no longer responds");
            Ok(())
        }
        _ => Err(report),
    }
}

async fn list(context: &Context) -> Result<()> {
    let nodes: Vec<NodeStatus> = context.client.get("/admin/nodes").await?;
    if context.json {
        output::json(&nodes);
        return Ok(());
    }
    let mut rows = table(&["node", "zone", "peers", "answers"]);
    for it in &nodes {
        let this = if it.this { "yes" } else { "" };
        rows.add([
            it.id.to_string(),
            it.zone.to_string(),
            it.peer_addr.to_string(),
            this.to_owned(),
        ]);
    }
    rows.print();
    Ok(())
}
