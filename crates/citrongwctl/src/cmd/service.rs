//! `citrongwctl service`.

use citrongw_state::config::change::ConfigChange;

use super::Context;
use crate::{
    args::service::ServiceCmd,
    change,
    error::Result,
    output::{self, table},
};

/// Lists the services, or assigns a profile to one.
pub(super) async fn run(context: &Context, subcommand: ServiceCmd) -> Result<()> {
    match subcommand {
        ServiceCmd::List(_) => list(context).await,
        ServiceCmd::Assign(args) => {
            let view = change::view(context, args.base).await?;
            let change = ConfigChange::AssignService { service: args.id, profile: args.profile };
            change::commit(context, &view, change).await
        }
    }
}

async fn list(context: &Context) -> Result<()> {
    let view = change::view(context, None).await?;
    if context.json {
        output::json(&view.config.services);
        return Ok(());
    }
    let mut rows = table(&["service", "organisation", "profile", "keys"]);
    for it in &view.config.services {
        rows.add([
            it.id.to_string(),
            it.organisation.to_string(),
            it.profile.to_string(),
            it.key_digests.len().to_string(),
        ]);
    }
    rows.print();
    Ok(())
}
