//! `citrongwctl replica`.

use citrongw_protocol::admin::ReplicaStatus;
use citrongw_state::id::ReplicaId;

use super::Context;
use crate::{
    args::ReplicaCmd,
    error::{Result, failed},
    output::{self, table},
};

/// Lists, shows or drains replicas.
pub(super) async fn run(context: &Context, subcommand: ReplicaCmd) -> Result<()> {
    match subcommand {
        ReplicaCmd::List(_) => list(context).await,
        ReplicaCmd::Show(args) => show(context, args.id).await,
    }
}

async fn replicas(context: &Context) -> Result<Vec<ReplicaStatus>> {
    context.client.get("/admin/replicas").await
}

async fn list(context: &Context) -> Result<()> {
    let replicas = replicas(context).await?;
    if context.json {
        output::json(&replicas);
        return Ok(());
    }
    let mut rows = table(&["replica", "deployment", "version", "zone", "state", "in flight"]);
    for it in &replicas {
        rows.add([
            it.id.to_string(),
            it.deployment.to_string(),
            it.version.to_string(),
            it.zone.to_string(),
            state(it),
            it.in_flight.to_string(),
        ]);
    }
    rows.print();
    Ok(())
}

async fn show(context: &Context, id: ReplicaId) -> Result<()> {
    let replicas = replicas(context).await?;
    let found = replicas.iter().find(|it| it.id == id);
    let replica = found.ok_or_else(|| failed(format!("replica {id} does not exist")))?;
    if context.json {
        output::json(replica);
        return Ok(());
    }
    println!("replica {} of {}: {}", replica.id, replica.deployment, state(replica));
    println!("model {} version {}, epoch {}", replica.model, replica.version, replica.epoch);
    println!("running {}, queued {}", replica.load.running, replica.load.queued);
    for member in &replica.members {
        println!("member {member}");
    }
    Ok(())
}

fn state(replica: &ReplicaStatus) -> String {
    match replica.not_routable {
        None => "serving".to_owned(),
        Some(reason) => format!("{reason:?}"),
    }
}
