//! The README's first ten minutes, line by line.

mod common;

use common::{ctl, spawn_demo};

/// What precedes the arguments in the README.
const PREFIX: &str = "    cargo run -p citrongwctl -- ";

#[tokio::test(flavor = "multi_thread")]
async fn every_line_of_the_readme_works() {
    let readme = include_str!("../../../README.md");
    let lines: Vec<&str> = readme.lines().filter_map(|it| it.strip_prefix(PREFIX)).collect();
    assert!(9 <= lines.len(), "{lines:?}");
    let demo = spawn_demo().await;
    for line in lines {
        let args: Vec<&str> = line.split_whitespace().collect();
        let ran = ctl(demo.node.admin_addr(), &args).await;
        assert_eq!(ran.code, 0, "{line}: {ran:?}");
    }
}
