//! Requests for actions on replicas and instances. Each has an id, so that it can
//! be resent if the reply is lost.

use std::time::Duration;

use citrongw_protocol::admin::{ActionReply, ActionRequest};
use citrongw_state::id::AttemptId;
use http::Method;

use crate::{
    client::SendOutcome,
    cmd::Context,
    error::{CtlError, Result, failed},
};

/// Interval between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of attempts of one action.
const MAX_ATTEMPTS: u32 = 20;

/// Sends a request for an action until the action is recorded or refused.
pub(crate) async fn send(context: &Context, path: &str) -> Result<()> {
    let request = ActionRequest { attempt: AttemptId(rand::random()) };
    for _ in 0..MAX_ATTEMPTS {
        match context.client.send(Method::POST, path, &request).await? {
            SendOutcome::Response(ActionReply::Recorded) => return Ok(()),
            SendOutcome::Response(ActionReply::Refused { reason }) => return Err(failed(reason)),
            SendOutcome::Response(ActionReply::Unknown) | SendOutcome::NoResponse => {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
    let message = "it is not known whether the action was recorded; repeat the command".to_owned();
    Err(error_stack::Report::new(CtlError::NotAccepted { message }))
}
