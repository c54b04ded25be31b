//! Subcommands: one file each.

mod config;
mod digest;
mod dump;
mod explain;
mod log;
mod node;
mod profile;
mod replica;
mod server;
mod service;
mod status;

use crate::{
    args::{Args, Subcommand},
    client::{self, Client},
    error::{Result, could_not},
};

/// State shared by all subcommands.
#[derive(Debug)]
pub(crate) struct Context {
    /// Client of the admin API.
    pub(crate) client: Client,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Whether dangerous actions run without confirmation (`--yes`).
    pub(crate) yes: bool,
}

/// Runs the subcommand of the command line.
pub(crate) fn run(args: Args) -> Result<()> {
    if let Subcommand::Digest = args.subcommand {
        return digest::run();
    }
    let client = client::open(args.global.node, args.global.token)?;
    let context = Context { client, json: args.global.json, yes: args.global.yes };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| could_not("start", "runtime", error))?;
    runtime.block_on(run_with(&context, args.subcommand))
}

async fn run_with(context: &Context, subcommand: Subcommand) -> Result<()> {
    match subcommand {
        Subcommand::Config(args) => config::run(context, args).await,
        Subcommand::Digest => digest::run(),
        Subcommand::Dump => dump::run(context).await,
        Subcommand::Explain(args) => explain::run(context, args).await,
        Subcommand::Log(args) => log::run(context, args).await,
        Subcommand::Node(args) => node::run(context, args).await,
        Subcommand::Profile(args) => profile::run(context, args).await,
        Subcommand::Replica(args) => replica::run(context, args).await,
        Subcommand::Server(args) => server::run(context, args).await,
        Subcommand::Service(args) => service::run(context, args).await,
        Subcommand::Status => status::run(context).await,
    }
}
