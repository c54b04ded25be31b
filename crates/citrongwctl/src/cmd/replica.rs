//! `citrongwctl replica`.

use citrongw_protocol::admin::{ReplicaStatus, Status};
use citrongw_state::id::ReplicaId;

use super::Context;
use crate::{
    action,
    args::replica::ReplicaCmd,
    confirm,
    error::{Result, failed},
    output::{self, table},
};

/// Lists, shows or drains replicas.
pub(super) async fn run(context: &Context, subcommand: ReplicaCmd) -> Result<()> {
    match subcommand {
        ReplicaCmd::List(_) => list(context).await,
        ReplicaCmd::Show(args) => show(context, args.id).await,
        ReplicaCmd::Drain(args) => drain(context, args.id).await,
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

async fn drain(context: &Context, id: ReplicaId) -> Result<()> {
    let replicas = replicas(context).await?;
    let found = replicas.iter().find(|it| it.id == id);
    let replica = found.ok_or_else(|| failed(format!("replica {id} does not exist")))?;
    let status: Status = context.client.get("/admin/status").await?;
    let deployment = status.deployments.iter().find(|it| it.id == replica.deployment);
    let serving = deployment.map_or(0, |it| it.serving);
    let wanted = deployment.map_or(0, |it| it.wanted);
    let remaining = serving.saturating_sub(u32::from(replica.not_routable.is_none()));
    let mut warnings = Vec::new();
    if remaining < wanted {
        warnings.push(format!(
            "deployment {} keeps {remaining} of {wanted} replicas serving until another one forms",
            replica.deployment
        ));
    }
    confirm::require(context, &warnings)?;
    action::send(context, &format!("/admin/replicas/{id}/drain")).await?;
    println!("replica {id} takes no new work and is disbanded when its work is done");
    Ok(())
}

fn state(replica: &ReplicaStatus) -> String {
    match replica.not_routable {
        None => "serving".to_owned(),
        Some(reason) => format!("{reason:?}"),
    }
}
