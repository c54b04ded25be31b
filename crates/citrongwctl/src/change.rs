//! Changes of the configuration: shown, confirmed, sent, looked up when their
//! reply is lost, and waited for.

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
    client::Sent,
    cmd::Context,
    confirm, edit,
    error::{CtlError, Result, failed},
    output,
};

/// Pause between two looks at what became of a change.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Looks for a change whose reply was lost.
const MAX_LOOK_UPS: u32 = 20;
/// Looks at the acceptance of a change.
const MAX_ACCEPTANCE_LOOKS: u32 = 60;

/// Configuration that a change is made from: the version named, or the newest.
/// A version that is no longer kept stands for the newest document under its
/// own name, so that the change meets the conflict.
pub(crate) async fn view(context: &Context, base: Option<Revision>) -> Result<ConfigView> {
    let newest = || context.client.get::<ConfigView>("/admin/config");
    let Some(base) = base else { return newest().await };
    let kept = context.client.get::<ConfigView>(&format!("/admin/config/{base}")).await;
    match kept {
        Err(report) if matches!(report.current_context(), CtlError::Failed { .. }) => {
            Ok(ConfigView { revision: Some(base), ..newest().await? })
        }
        kept => kept,
    }
}

/// One version, as long as it is kept.
pub(crate) async fn version(context: &Context, revision: Option<Revision>) -> Result<ConfigView> {
    let path =
        revision.map_or_else(|| "/admin/config".to_owned(), |it| format!("/admin/config/{it}"));
    context.client.get(&path).await
}

/// Makes a change from `view` and waits until it is in force everywhere.
pub(crate) async fn make(context: &Context, view: &ConfigView, edit: ConfigChange) -> Result<()> {
    make_replacing(context, view, edit, None).await
}

/// Makes a change that may replace a version that the service lost.
pub(crate) async fn make_replacing(
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
    confirm::ask(context, &risks)?;
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

/// Sends a change until it is known what became of it. A resend carries the
/// same id, so the change is made once.
async fn send(context: &Context, request: &ChangeRequest) -> Result<Revision> {
    for _ in 0..MAX_LOOK_UPS {
        match context.client.send(Method::POST, "/admin/edits", request).await? {
            Sent::Answered(EditResult::Committed { revision }) => return Ok(revision),
            Sent::Answered(EditResult::Conflict(conflict)) => {
                return Err(conflict_error(&conflict));
            }
            Sent::Answered(EditResult::Invalid { faults }) => {
                return Err(failed(faults.join("\n")));
            }
            Sent::Answered(EditResult::NotMade { reason }) => {
                return Err(failed(format!("the change was not made: {reason}")));
            }
            Sent::Answered(EditResult::Unknown { .. }) | Sent::NoAnswer => {
                eprintln!("no answer; looking the change up");
                if let Some(revision) = look_up(context, request.change).await {
                    return Ok(revision);
                }
                tokio::time::sleep(LOOK_PAUSE).await;
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
    for _ in 0..MAX_ACCEPTANCE_LOOKS {
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
            Err(report) => check_token(revision, &report)?,
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    Err(error_stack::Report::new(not_accepted(revision, last.as_ref())))
}

/// A node that does not answer is asked again; a token that the change itself
/// took away is not.
fn check_token(revision: Revision, report: &error_stack::Report<CtlError>) -> Result<()> {
    let CtlError::NotAllowed { .. } = report.current_context() else { return Ok(()) };
    let message = format!(
        "version {revision} is committed; the token no longer counts, so nobody can be asked who \
         holds it"
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
        None => format!("version {revision} is committed; no node tells who holds it"),
    };
    CtlError::NotAccepted { message }
}

fn conflict_error(conflict: &EditConflict) -> error_stack::Report<CtlError> {
    let version = |it: Option<Revision>| it.map_or_else(|| "none".to_owned(), |it| it.to_string());
    let who = conflict.made_by.as_ref();
    let who = who.map_or_else(|| "somebody".to_owned(), |it| it.operator.to_string());
    let mut lines = vec![format!(
        "the configuration moved from version {} to {}, changed by {who}; nothing was changed",
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
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
