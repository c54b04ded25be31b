//! Command line program for the operators of citrongw.

mod action;
mod args;
mod change;
mod client;
mod cmd;
mod confirm;
mod edit;
mod error;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = args::from_env_or_exit();
    match cmd::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let error = report.current_context();
            eprintln!("citrongwctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
