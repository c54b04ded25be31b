//! Runs every `citrongwctl` command of the README.

mod common;

use common::{ctl, spawn_demo};

/// Command line prefix of the arguments in the README.
const PREFIX: &str = "    cargo run -p citrongwctl -- ";

#[tokio::test(flavor = "multi_thread")]
async fn every_command_of_the_readme_works() {
    let readme = include_str!("../../../README.md");
    let lines: Vec<&str> = readme.lines().filter_map(|it| it.strip_prefix(PREFIX)).collect();
    assert!(9 <= lines.len(), "{lines:?}");
    let demo = spawn_demo().await;
    for line in lines {
        let args: Vec<&str> = line.split_whitespace().collect();
        let output = ctl(demo.node.admin_addr(), &args).await;
        assert_eq!(output.code, 0, "{line}: {output:?}");
    }
}
