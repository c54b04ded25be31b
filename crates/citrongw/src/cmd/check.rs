//! `citrongw check`.

use crate::{cmd::args, error::Result, settings};

/// Reads the settings file and reports whether it is valid.
pub(super) fn run(args: &args::Check) -> Result<()> {
    if args.gateway {
        settings::gateway::open(&args.config)?;
    } else {
        settings::open(&args.config)?;
    }
    println!("{}: no faults", args.config.display());
    Ok(())
}
