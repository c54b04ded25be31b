//! Dangerous acts are said and confirmed.

use std::io::{IsTerminal, Write};

use crate::{
    cmd::Context,
    error::{CtlError, Result, could_not},
};

/// Asks the operator, unless `--yes` was given. Without a terminal to ask on,
/// nothing is confirmed.
pub(crate) fn ask(context: &Context, dangers: &[String]) -> Result<()> {
    if dangers.is_empty() || context.yes {
        return Ok(());
    }
    for danger in dangers {
        eprintln!("warning: {danger}");
    }
    if !std::io::stdin().is_terminal() {
        eprintln!("give --yes to go on");
        return Err(error_stack::Report::new(CtlError::NotConfirmed));
    }
    eprint!("go on? [y/N] ");
    let cause = |error| could_not("ask", "terminal", error);
    std::io::stderr().flush().map_err(cause)?;
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).map_err(cause)?;
    match line.trim() {
        "y" | "yes" => Ok(()),
        _ => Err(error_stack::Report::new(CtlError::NotConfirmed)),
    }
}
