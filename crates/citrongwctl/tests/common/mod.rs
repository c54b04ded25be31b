//! A node with stand-ins in this process, and the operator program run
//! against it.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;

use citrongw::demo::{self, DEMO_TOKEN, Demo};
use tokio::process::Command;

/// What one run of the program gave.
#[derive(Debug)]
pub(crate) struct Ran {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Spawns a node that has its configuration and its replicas.
pub(crate) async fn spawn_demo() -> Demo {
    let demo = demo::spawn(([127, 0, 0, 1], 0).into(), ([127, 0, 0, 1], 0).into()).await.unwrap();
    let shared = demo.node.shared();
    let wanted = shared.config.load_full().map_or(2, |it| it.config.deployments[0].replicas);
    loop {
        let now = shared.clock.now();
        let freshness = shared.settings.report_freshness;
        let entries = shared.replicas.entries();
        let serving = entries.iter().filter(|it| it.check_routable(now, freshness).is_ok());
        if shared.config.load().is_some() && wanted as usize <= serving.count() {
            return demo;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Runs the program with the demo's token.
pub(crate) async fn ctl(node: SocketAddr, args: &[&str]) -> Ran {
    ctl_as(node, Some(DEMO_TOKEN), args).await
}

/// Runs the program with a token, or none.
pub(crate) async fn ctl_as(node: SocketAddr, token: Option<&str>, args: &[&str]) -> Ran {
    let mut command = Command::new(env!("CARGO_BIN_EXE_citrongwctl"));
    command.args(["--node", &node.to_string()]).args(args).env_remove("CITRONGW_TOKEN");
    if let Some(token) = token {
        command.env("CITRONGW_TOKEN", token);
    }
    let output = command.stdin(std::process::Stdio::null()).output().await.unwrap();
    Ran {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Checks the exit code and that the output holds a text.
#[track_caller]
pub(crate) fn check(ran: &Ran, code: i32, text: &str) {
    let said = format!("{}{}", ran.stdout, ran.stderr);
    assert_eq!(ran.code, code, "{ran:?}");
    assert!(said.contains(text), "{text:?} is not in {ran:?}");
}
