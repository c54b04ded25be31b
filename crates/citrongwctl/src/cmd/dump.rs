//! `citrongwctl dump`: always JSON.

use citrongw_protocol::admin::Dump;

use super::Context;
use crate::{error::Result, output};

/// Prints the state of a node.
pub(super) async fn run(context: &Context) -> Result<()> {
    let dump: Dump = context.client.get("/admin/dump").await?;
    output::json(&dump);
    Ok(())
}
