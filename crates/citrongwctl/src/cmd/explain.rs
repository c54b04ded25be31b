//! `citrongwctl explain`.

use citrongw_protocol::admin::Explanation;

use super::Context;
use crate::{args::explain::ExplainCmd, error::Result, output};

/// Prints the decisions of a node with their reasons.
pub(super) async fn run(context: &Context, subcommand: ExplainCmd) -> Result<()> {
    let path = match subcommand {
        ExplainCmd::Request(args) => format!("/admin/explain/request/{}", args.id),
        ExplainCmd::Replica(args) => format!("/admin/explain/replica/{}", args.id),
        ExplainCmd::Refusals(_) => "/admin/explain/refusals".to_owned(),
    };
    let explanation: Explanation = context.client.get(&path).await?;
    if context.json {
        output::json(&explanation);
        return Ok(());
    }
    if explanation.decisions.is_empty() {
        println!("node {} has no record of it; query the other nodes", explanation.node);
    }
    for it in &explanation.decisions {
        println!("{:>12.3} s  {}", it.recorded.at.as_secs_f64(), it.sentence);
    }
    Ok(())
}
