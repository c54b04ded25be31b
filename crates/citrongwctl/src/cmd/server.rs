//! `citrongwctl server`.

use super::Context;
use crate::{action, args::server::ServerCmd, confirm, error::Result};

/// Marks an instance as leaving, or lets it serve again.
pub(super) async fn run(context: &Context, subcommand: ServerCmd) -> Result<()> {
    match subcommand {
        ServerCmd::Leave(args) => {
            let warning = format!(
                "instance {} takes no new work; a replica that it belongs to is disbanded",
                args.id
            );
            confirm::require(context, &[warning])?;
            action::send(context, &format!("/admin/instances/{}/leave", args.id)).await?;
            println!("instance {} takes no new work", args.id);
        }
        ServerCmd::Return(args) => {
            action::send(context, &format!("/admin/instances/{}/return", args.id)).await?;
            println!("instance {} may serve again", args.id);
        }
    }
    Ok(())
}
