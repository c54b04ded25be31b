//! Requests for acts on replicas and instances, each with an id, so that one
//! whose reply was lost can be sent again.

use std::time::Duration;

use citrongw_protocol::admin::{ActionReply, ActionRequest};
use citrongw_state::id::AttemptId;
use http::Method;

use crate::{
    client::Sent,
    cmd::Context,
    error::{CtlError, Result, failed},
};

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);
/// Tries of one act.
const MAX_TRIES: u32 = 20;

/// Asks for an act until it is known to be recorded.
pub(crate) async fn ask(context: &Context, path: &str) -> Result<()> {
    let request = ActionRequest { attempt: AttemptId(rand::random()) };
    for _ in 0..MAX_TRIES {
        match context.client.send(Method::POST, path, &request).await? {
            Sent::Answered(ActionReply::Recorded) => return Ok(()),
            Sent::Answered(ActionReply::Refused { reason }) => return Err(failed(reason)),
            Sent::Answered(ActionReply::Unknown) | Sent::NoAnswer => {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    let message = "it is not known whether the act was recorded; ask for it again".to_owned();
    Err(error_stack::Report::new(CtlError::NotAccepted { message }))
}
