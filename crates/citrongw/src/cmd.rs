//! Subcommands, one file each; their arguments are defined in [`args`].

pub mod args;
mod check;
mod demo;
mod run;

use crate::error::{NodeError, Result};

/// Runs the subcommand given on the command line.
pub fn run_from_env() -> Result<()> {
    match args::Citrongw::from_env_or_exit().subcommand {
        args::CitrongwCmd::Run(args) => block_on(run::run(&args)),
        args::CitrongwCmd::Check(args) => check::run(&args),
        args::CitrongwCmd::Demo(args) => block_on(demo::run(&args)),
    }
}

fn block_on(work: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| NodeError { message: format!("could not start runtime: {error}") })?;
    runtime.block_on(work)
}
