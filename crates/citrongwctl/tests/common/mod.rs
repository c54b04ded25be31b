//! Starts a node with fake dependencies in this process, and runs `citrongwctl`
//! against it.
#![allow(dead_code, reason = "each test file uses some of the items")]

use std::net::SocketAddr;

use citrongw::demo::{self, DEMO_TOKEN, Demo};
use tokio::process::Command;

/// Exit code and output of one run of the program.
#[derive(Debug)]
pub(crate) struct CtlOutput {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Spawns a node and waits until its configuration is loaded and its replicas serve.
pub(crate) async fn spawn_demo() -> Demo {
    let demo = demo::spawn(([127, 0, 0, 1], 0).into(), ([127, 0, 0, 1], 0).into()).await.unwrap();
    let shared = demo.node.shared();
    let replica_count = shared.config.load_full().map_or(2, |it| it.config.deployments[0].replicas);
    loop {
        let now = shared.clock.now();
        let freshness = shared.settings.report_freshness;
        let entries = shared.replicas.entries();
        let serving = entries.iter().filter(|it| it.check_routable(now, freshness).is_ok());
        if shared.config.load().is_some() && replica_count as usize <= serving.count() {
            return demo;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Runs the program with the token of the demo.
pub(crate) async fn ctl(node: SocketAddr, args: &[&str]) -> CtlOutput {
    ctl_as(node, Some(DEMO_TOKEN), args).await
}

/// Runs the program with the given token, or without one.
pub(crate) async fn ctl_as(node: SocketAddr, token: Option<&str>, args: &[&str]) -> CtlOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_citrongwctl"));
    command.args(["--node", &node.to_string()]).args(args).env_remove("CITRONGW_TOKEN");
    if let Some(token) = token {
        command.env("CITRONGW_TOKEN", token);
    }
    let output = command.stdin(std::process::Stdio::null()).output().await.unwrap();
    CtlOutput {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Checks the exit code and that standard output or standard error contains a
/// text.
#[track_caller]
pub(crate) fn check(output: &CtlOutput, code: i32, text: &str) {
    let printed = format!("{}{}", output.stdout, output.stderr);
    assert_eq!(output.code, code, "{output:?}");
    assert!(printed.contains(text), "{text:?} is not in {output:?}");
}
