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
    args::{Citrongwctl, CitrongwctlCmd},
    client::{self, Client},
    error::{Result, could_not},
};

/// What every subcommand is given.
#[derive(Debug)]
pub(crate) struct Context {
    /// Client of the nodes.
    pub(crate) client: Client,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Whether dangerous acts are confirmed beforehand.
    pub(crate) yes: bool,
}

/// Runs the subcommand that the command line names.
pub(crate) fn run(args: Citrongwctl) -> Result<()> {
    if let CitrongwctlCmd::Digest(_) = args.subcommand {
        return digest::run();
    }
    let client = client::open(args.node, args.token)?;
    let context = Context { client, json: args.json, yes: args.yes };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| could_not("start", "runtime", error))?;
    runtime.block_on(run_with(&context, args.subcommand))
}

async fn run_with(context: &Context, subcommand: CitrongwctlCmd) -> Result<()> {
    match subcommand {
        CitrongwctlCmd::Profile(args) => profile::run(context, args.subcommand).await,
        CitrongwctlCmd::Service(args) => service::run(context, args.subcommand).await,
        CitrongwctlCmd::Replica(args) => replica::run(context, args.subcommand).await,
        CitrongwctlCmd::Server(args) => server::run(context, args.subcommand).await,
        CitrongwctlCmd::Node(args) => node::run(context, args.subcommand).await,
        CitrongwctlCmd::Config(args) => config::run(context, args.subcommand).await,
        CitrongwctlCmd::Status(_) => status::run(context).await,
        CitrongwctlCmd::Explain(args) => explain::run(context, args.subcommand).await,
        CitrongwctlCmd::Dump(_) => dump::run(context).await,
        CitrongwctlCmd::Log(args) => log::run(context, args).await,
        CitrongwctlCmd::Digest(_) => digest::run(),
    }
}
