//! Operator program of citrongw.

mod args;
mod client;
mod cmd;
mod edit;
mod error;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = args::Citrongwctl::from_env_or_exit();
    match cmd::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let error = report.current_context();
            eprintln!("citrongwctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
