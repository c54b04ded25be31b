//! Changes of the configuration: shows the difference, asks for confirmation, sends
//! the change, looks it up if the reply is lost, and waits until it is in force.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use citrongw_protocol::{
    admin::{ChangeLookup, ChangeRequest, ConfigView},
    admin_config::{Acceptance, EditConflict, EditResult},
};
use citrongw_state::{
    config::change::{self, ConfigChange},
    id::{ChangeId, Revision},
};
use http::Method;

use crate::{
    client::SendOutcome,
    cmd::Context,
    confirm, edit,
    error::{CtlError, Result, failed},
    output,
};

/// Interval between attempts to send, look up or poll a change.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of attempts to send or look up a change.
const MAX_ATTEMPTS: u32 = 20;
/// Maximum number of polls of the acceptance of a change.
const MAX_ACCEPTANCE_POLLS: u32 = 60;

/// Configuration that a change is based on: version `base`, or the newest one.
/// If `base` is no longer stored, the newest document is returned under the
/// revision `base`, so that the change is reported as a conflict.
pub(crate) async fn view(context: &Context, base: Option<Revision>) -> Result<ConfigView> {
    let newest = || context.client.get::<ConfigView>("/admin/config");
    let Some(base) = base else { return newest().await };
    let stored = context.client.get::<ConfigView>(&format!("/admin/config/{base}")).await;
    match stored {
        Err(report) if matches!(report.current_context(), CtlError::Failed { .. }) => {
            Ok(ConfigView { revision: Some(base), ..newest().await? })
        }
        stored => stored,
    }
}

/// One version of the configuration; an error if it is no longer stored.
pub(crate) async fn version(context: &Context, revision: Option<Revision>) -> Result<ConfigView> {
    let path =
        revision.map_or_else(|| "/admin/config".to_owned(), |it| format!("/admin/config/{it}"));
    context.client.get(&path).await
}

/// Commits a change based on `view` and waits until it is in force on all nodes.
pub(crate) async fn commit(context: &Context, view: &ConfigView, edit: ConfigChange) -> Result<()> {
    commit_replacing(context, view, edit, None).await
}

/// Commits a change that may replace a version that the key-value service lost.
pub(crate) async fn commit_replacing(
    context: &Context,
    view: &ConfigView,
    edit: ConfigChange,
    replaces_lost: Option<Revision>,
) -> Result<()> {
    let after =
        change::apply(&view.config, &edit).map_err(|error| failed(error.to_string()))?.redacted();
    let lines = edit::differences(&view.config, &after);
    if lines.is_empty() && replaces_lost.is_none() {
        println!("nothing changes");
        return Ok(());
    }
    for line in &lines {
        eprintln!("{line}");
    }
    let risks: Vec<String> =
        change::risks(&view.config, &after).iter().map(ToString::to_string).collect();
    confirm::require(context, &risks)?;
    let request = ChangeRequest {
        change: ChangeId(rand::random()),
        base: view.revision,
        at_unix_ms: unix_ms(),
        edit,
        replaces_lost,
    };
    let revision = send(context, &request).await?;
    wait_accepted(context, revision).await
}

/// Sends a change until its result is known. Retries carry the same id, so the
/// change is committed at most once.
async fn send(context: &Context, request: &ChangeRequest) -> Result<Revision> {
    for _ in 0..MAX_ATTEMPTS {
        match context.client.send(Method::POST, "/admin/edits", request).await? {
            SendOutcome::Response(EditResult::Committed { revision }) => return Ok(revision),
            SendOutcome::Response(EditResult::Conflict(conflict)) => {
                return Err(conflict_error(&conflict));
            }
            SendOutcome::Response(EditResult::Invalid { faults }) => {
                return Err(failed(faults.join("\n")));
            }
            SendOutcome::Response(EditResult::NotMade { reason }) => {
                return Err(failed(format!("the change was not made: {reason}")));
            }
            SendOutcome::Response(EditResult::Unknown { .. }) | SendOutcome::NoResponse => {
                eprintln!("no response; looking up the change");
                if let Some(revision) = look_up(context, request.change).await {
                    return Ok(revision);
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
    let message = format!(
        "it is not known whether change {} was committed; see citrongwctl config history",
        request.change
    );
    Err(error_stack::Report::new(CtlError::NotAccepted { message }))
}

async fn look_up(context: &Context, change: ChangeId) -> Option<Revision> {
    let path = format!("/admin/edits/{change}");
    let found: Result<ChangeLookup> = context.client.get(&path).await;
    found.ok().and_then(|it| it.revision)
}

async fn wait_accepted(context: &Context, revision: Revision) -> Result<()> {
    let path = format!("/admin/acceptance/{revision}");
    let mut last: Option<Acceptance> = None;
    for _ in 0..MAX_ACCEPTANCE_POLLS {
        match context.client.get::<Acceptance>(&path).await {
            Ok(acceptance) => {
                if last.as_ref() != Some(&acceptance) {
                    let Acceptance { holding, recorded, .. } = acceptance;
                    eprintln!("version {revision}: held by {holding} of {recorded} nodes");
                }
                if acceptance.accepted && acceptance.holding == acceptance.recorded {
                    print_done(context, &acceptance);
                    return Ok(());
                }
                last = Some(acceptance);
            }
            Err(report) => fail_if_not_allowed(revision, &report)?,
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    Err(error_stack::Report::new(not_accepted(revision, last.as_ref())))
}

/// Fails if the token is rejected, which means that the change itself revoked it;
/// after other errors the node is polled again.
fn fail_if_not_allowed(revision: Revision, report: &error_stack::Report<CtlError>) -> Result<()> {
    let CtlError::NotAllowed { .. } = report.current_context() else { return Ok(()) };
    let message = format!(
        "version {revision} is committed; the token is no longer valid, so its acceptance cannot \
         be checked"
    );
    Err(error_stack::Report::new(CtlError::NotAccepted { message }))
}

fn print_done(context: &Context, acceptance: &Acceptance) {
    if context.json {
        output::json(acceptance);
    } else {
        println!("version {} is in force on all nodes", acceptance.revision);
    }
}

fn not_accepted(revision: Revision, last: Option<&Acceptance>) -> CtlError {
    let message = match last {
        Some(it) => {
            let state = if it.accepted { "accepted" } else { "committed, not yet accepted" };
            let missing: Vec<String> = it.missing.iter().map(ToString::to_string).collect();
            format!("version {revision} is {state}; nodes missing: {}", missing.join(" "))
        }
        None => format!("version {revision} is committed; no node reported its acceptance"),
    };
    CtlError::NotAccepted { message }
}

fn conflict_error(conflict: &EditConflict) -> error_stack::Report<CtlError> {
    let version = |it: Option<Revision>| it.map_or_else(|| "none".to_owned(), |it| it.to_string());
    let operator = conflict.made_by.as_ref();
    let operator = operator.map_or_else(|| "somebody".to_owned(), |it| it.operator.to_string());
    let mut lines = vec![format!(
        "the configuration was changed from version {} to {} by {operator}; nothing was changed",
        version(conflict.from),
        version(conflict.current)
    )];
    lines.push("your change:".to_owned());
    lines.extend(edit::item_lines(&conflict.yours));
    lines.push("their change:".to_owned());
    lines.extend(edit::item_lines(&conflict.theirs));
    error_stack::Report::new(CtlError::Conflict { message: lines.join("\n") })
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
