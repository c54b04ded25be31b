//! `citrongwctl profile`.

use std::path::PathBuf;

use citrongw_protocol::admin::ConfigView;
use citrongw_state::{
    config::{Profile, change::ConfigChange},
    id::{ProfileId, Revision},
};

use super::Context;
use crate::{
    args::profile::ProfileCmd,
    change,
    edit::{self, Pair},
    error::{Result, failed},
    output::{self, table},
};

/// Lists, shows, creates, edits or retires profiles.
pub(super) async fn run(context: &Context, subcommand: ProfileCmd) -> Result<()> {
    match subcommand {
        ProfileCmd::List(_) => list(context).await,
        ProfileCmd::Show(args) => show(context, &args.id).await,
        ProfileCmd::Create(args) => {
            let fields = Fields { id: args.id, pairs: args.pairs, file: args.file };
            let view = change::view(context, args.base).await?;
            let profile = edit::profile(&fields.id, None, fields.file.as_deref(), &fields.pairs)?;
            change::commit(context, &view, ConfigChange::CreateProfile { profile }).await
        }
        ProfileCmd::Edit(args) => {
            let fields = Fields { id: args.id, pairs: args.pairs, file: args.file };
            edit_profile(context, args.base, &fields).await
        }
        ProfileCmd::Retire(args) => {
            let view = change::view(context, args.base).await?;
            change::commit(context, &view, ConfigChange::RetireProfile { profile: args.id }).await
        }
    }
}

/// Profile id and fields from the command line.
struct Fields {
    id: ProfileId,
    pairs: Vec<Pair>,
    file: Option<PathBuf>,
}

async fn edit_profile(context: &Context, base: Option<Revision>, fields: &Fields) -> Result<()> {
    let view = change::view(context, base).await?;
    let old = find(&view, &fields.id)?;
    let profile = edit::profile(&fields.id, Some(old), fields.file.as_deref(), &fields.pairs)?;
    change::commit(context, &view, ConfigChange::EditProfile { profile }).await
}

async fn list(context: &Context) -> Result<()> {
    let view = change::view(context, None).await?;
    if context.json {
        output::json(&view.config.profiles);
        return Ok(());
    }
    let mut rows = table(&["profile", "model", "priority", "deadline", "used by"]);
    for it in &view.config.profiles {
        let services = view.config.services.iter().filter(|service| service.profile == it.id);
        let services: Vec<&str> = services.map(|service| service.id.as_str()).collect();
        rows.add([
            it.id.to_string(),
            it.model.to_string(),
            format!("{:?}", it.priority).to_lowercase(),
            format!("{:?}", it.deadline()),
            services.join(" "),
        ]);
    }
    rows.print();
    Ok(())
}

async fn show(context: &Context, id: &ProfileId) -> Result<()> {
    let view = change::view(context, None).await?;
    output::json(find(&view, id)?);
    Ok(())
}

fn find<'a>(view: &'a ConfigView, id: &ProfileId) -> Result<&'a Profile> {
    view.config.profile(id).ok_or_else(|| failed(format!("profile {id} does not exist")))
}
