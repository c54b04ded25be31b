//! Confirmation of dangerous actions.

use std::io::{IsTerminal, Write};

use crate::{
    cmd::Context,
    error::{CtlError, Result, could_not},
};

/// Prints the warnings and asks the operator for confirmation, unless there are no
/// warnings or `--yes` was given. Fails without a terminal.
pub(crate) fn require(context: &Context, warnings: &[String]) -> Result<()> {
    if warnings.is_empty() || context.yes {
        return Ok(());
    }
    for warning in warnings {
        eprintln!("warning: {warning}");
    }
    if !std::io::stdin().is_terminal() {
        eprintln!("pass --yes to continue");
        return Err(error_stack::Report::new(CtlError::NotConfirmed));
    }
    eprint!("continue? [y/N] ");
    let cause = |error| could_not("read confirmation", "terminal", error);
    std::io::stderr().flush().map_err(cause)?;
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).map_err(cause)?;
    match line.trim() {
        "y" | "yes" => Ok(()),
        _ => Err(error_stack::Report::new(CtlError::NotConfirmed)),
    }
}
