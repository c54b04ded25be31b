//! `citrongwctl config`.

use std::time::{Duration, UNIX_EPOCH};

use citrongw_protocol::admin_config::ChangeRecord;
use citrongw_state::{
    config::{Config, change::ConfigChange},
    id::Revision,
};

use super::Context;
use crate::{
    args::config::{ConfigCmd, Put},
    change, edit,
    error::{Result, could_not},
    output::{self, table},
};

/// Lists changes of the configuration; compares, shows or writes versions.
pub(super) async fn run(context: &Context, subcommand: ConfigCmd) -> Result<()> {
    match subcommand {
        ConfigCmd::History(_) => history(context).await,
        ConfigCmd::Diff(args) => diff(context, args.from, args.to).await,
        ConfigCmd::Show(args) => {
            output::json(&change::version(context, args.revision).await?);
            Ok(())
        }
        ConfigCmd::Put(args) => put(context, &args).await,
    }
}

async fn history(context: &Context) -> Result<()> {
    let records: Vec<ChangeRecord> = context.client.get("/admin/config-history").await?;
    if context.json {
        output::json(&records);
        return Ok(());
    }
    let version = |it: Option<Revision>| it.map_or_else(|| "none".to_owned(), |it| it.to_string());
    let mut rows = table(&["version", "from", "operator", "when", "change"]);
    for it in &records {
        rows.add([
            version(it.revision),
            version(it.from),
            it.operator.to_string(),
            when(it.at_unix_ms),
            it.change.to_string(),
        ]);
    }
    rows.print();
    Ok(())
}

async fn diff(context: &Context, from: Revision, to: Option<Revision>) -> Result<()> {
    let before = change::version(context, Some(from)).await?;
    let after = change::version(context, to).await?;
    let lines = edit::differences(&before.config, &after.config);
    if context.json {
        output::json(&lines);
        return Ok(());
    }
    for line in &lines {
        println!("{line}");
    }
    Ok(())
}

async fn put(context: &Context, args: &Put) -> Result<()> {
    let cause = |error: &dyn std::fmt::Display| could_not("read", args.path.display(), error);
    let text = std::fs::read_to_string(&args.path).map_err(|error| cause(&error))?;
    let config: Config = serde_json::from_str(&text).map_err(|error| cause(&error))?;
    let view = change::view(context, args.base).await?;
    let edit = ConfigChange::Replace { config: Box::new(config) };
    change::commit_replacing(context, &view, edit, args.replaces_lost).await
}

fn when(at_unix_ms: u64) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(at_unix_ms);
    humantime::format_rfc3339_seconds(at).to_string()
}
