//! The `citrongw` binary.

use std::process::ExitCode;

use citrongw::cmd;

fn main() -> ExitCode {
    match cmd::run_from_env() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("citrongw: {}", report.current_context());
            ExitCode::FAILURE
        }
    }
}
