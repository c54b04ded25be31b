//! `citrongwctl log`.

use citrongw_protocol::admin::LogLevel;
use http::Method;

use super::Context;
use crate::{
    args::log::Log,
    client::Sent,
    error::{Result, failed},
};

/// Changes the level of a node's logs.
pub(super) async fn run(context: &Context, args: Log) -> Result<()> {
    let wanted = LogLevel { level: args.level };
    let sent = context.client.send(Method::PUT, "/admin/log-level", &wanted).await?;
    match sent {
        Sent::Answered(LogLevel { level }) => println!("logs are at {level}"),
        // Setting a level twice is as good as once.
        Sent::NoAnswer => {
            return Err(failed("the node did not answer; set the level again".to_owned()));
        }
    }
    Ok(())
}
