//! `citrongwctl log`.

use citrongw_protocol::admin::LogLevel;
use http::Method;

use super::Context;
use crate::{
    args::log::Log,
    client::SendOutcome,
    error::{Result, failed},
};

/// Changes the level of a node's logs.
pub(super) async fn run(context: &Context, args: Log) -> Result<()> {
    let request = LogLevel { level: args.level };
    let outcome = context.client.send(Method::PUT, "/admin/log-level", &request).await?;
    match outcome {
        SendOutcome::Response(LogLevel { level }) => println!("log level is {level}"),
        // Setting the level is idempotent, so the operator can repeat it.
        SendOutcome::NoResponse => {
            return Err(failed("the node did not respond; set the level again".to_owned()));
        }
    }
    Ok(())
}
