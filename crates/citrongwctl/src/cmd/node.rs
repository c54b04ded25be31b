//! `citrongwctl node`.

use std::time::Duration;

use citrongw_protocol::admin::NodeStatus;
use citrongw_state::id::NodeId;
use http::Method;

use super::Context;
use crate::{
    args::node::NodeCmd,
    client::Sent,
    confirm,
    error::{CtlError, Result},
    output::{self, table},
};

/// Pause between two looks at whether a node is gone.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Looks at whether a node is gone.
const MAX_LOOKS: u32 = 240;

/// Lists nodes, or stops one.
pub(super) async fn run(context: &Context, subcommand: NodeCmd) -> Result<()> {
    match subcommand {
        NodeCmd::List(_) => list(context).await,
        NodeCmd::Stop(args) => stop(context, args.id).await,
    }
}

/// Asks for the planned stop and waits until the node is gone.
async fn stop(context: &Context, node: NodeId) -> Result<()> {
    confirm::ask(context, &[format!("node {node} finishes its work and stops")])?;
    let path = format!("/admin/nodes/{node}/stop");
    // A node that stops may not answer any more; the list tells.
    let _: Sent<NodeId> = context.client.send(Method::POST, &path, &()).await?;
    for _ in 0..MAX_LOOKS {
        match context.client.get::<Vec<NodeStatus>>("/admin/nodes").await {
            Ok(nodes) if nodes.iter().any(|it| it.id == node) => {}
            Ok(_) => {
                println!("node {node} is gone");
                return Ok(());
            }
            Err(report) => return gone_or(report, context),
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    println!("node {node} is still finishing its work");
    Ok(())
}

/// The only node that could be asked has stopped.
fn gone_or(report: error_stack::Report<CtlError>, context: &Context) -> Result<()> {
    match report.current_context() {
        CtlError::NoNode { .. } if context.client.asks_one_node() => {
            println!("the node no longer answers");
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
