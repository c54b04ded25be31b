//! `citrongwctl node`.

use citrongw_protocol::admin::NodeStatus;

use super::Context;
use crate::{
    args::NodeCmd,
    error::Result,
    output::{self, table},
};

/// Lists nodes, or stops one.
pub(super) async fn run(context: &Context, subcommand: NodeCmd) -> Result<()> {
    match subcommand {
        NodeCmd::List(_) => list(context).await,
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
