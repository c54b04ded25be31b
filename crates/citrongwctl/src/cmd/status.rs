//! `citrongwctl status`: overview of the installation on one screen.

use std::time::Duration;

use citrongw_protocol::admin::{Problem, Status};

use super::Context;
use crate::{
    error::Result,
    output::{self, table},
};

/// Prints the state of the installation and its problems.
pub(super) async fn run(context: &Context) -> Result<()> {
    let status: Status = context.client.get("/admin/status").await?;
    if context.json {
        output::json(&status);
        return Ok(());
    }
    print_head(&status);
    let mut rows = table(&["deployment", "wanted", "formed", "serving"]);
    for it in &status.deployments {
        rows.add([
            it.id.to_string(),
            it.wanted.to_string(),
            it.formed.to_string(),
            it.serving.to_string(),
        ]);
    }
    rows.print();
    if status.problems.is_empty() {
        println!("\nno problems");
    }
    for problem in &status.problems {
        print_problem(problem);
    }
    Ok(())
}

fn print_head(status: &Status) {
    let revision = status.config_revision.map_or_else(|| "none".to_owned(), |it| it.to_string());
    let ready = if status.ready { "takes new work" } else { "takes no new work" };
    let up = Duration::from_secs(status.up.as_secs());
    println!("node {} {ready}, up {up:?}", status.node);
    println!("{} live nodes, configuration version {revision}\n", status.nodes);
}

fn print_problem(problem: &Problem) {
    let lasting = problem.lasting.map_or_else(String::new, |it| format!(" for {it:?}"));
    println!("\n{}{lasting}", problem.what);
    println!("  system: {}", problem.doing);
    println!("  you:    {}", problem.advice);
}
