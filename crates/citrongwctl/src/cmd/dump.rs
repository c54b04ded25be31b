//! `citrongwctl dump`: prints JSON with or without `--json`.

use citrongw_protocol::admin::Dump;

use super::Context;
use crate::{error::Result, output};

/// Prints the state of a node as JSON.
pub(super) async fn run(context: &Context) -> Result<()> {
    let dump: Dump = context.client.get("/admin/dump").await?;
    output::json(&dump);
    Ok(())
}
