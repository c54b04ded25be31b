//! `citrongw run`.

use std::{io::Write, sync::Arc};

use tokio::signal::unix::{SignalKind, signal};

use crate::{
    admin,
    cmd::args,
    error::{Result, could_not},
    log,
    node::{self, Shared},
    settings,
};

/// Runs a node until a stop is requested.
pub(super) async fn run(args: &args::Run) -> Result<()> {
    let settings = settings::open(&args.config)?;
    log::open(&settings.log_level);
    let node = node::spawn(settings).await?;
    print_line(format_args!("callers on {}", node.caller_addr()));
    print_line(format_args!("operators on {}", node.admin_addr()));
    let dumper = tokio::spawn(dump_on_signal(Arc::clone(node.shared())));
    wait_for_stop(node.shared()).await?;
    dumper.abort();
    print_line(format_args!("stopping; a second signal ends sooner"));
    node.stop_until(async {
        if stop_signal().await.is_err() {
            std::future::pending::<()>().await;
        }
    })
    .await;
    Ok(())
}

/// Prints a line; errors are ignored because standard output may be closed.
fn print_line(line: std::fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Logs the state of the node on each SIGUSR1.
async fn dump_on_signal(shared: Arc<Shared>) {
    let Ok(mut signals) = signal(SignalKind::user_defined1()) else { return };
    while signals.recv().await.is_some() {
        let dump = serde_json::to_string(&admin::dump(&shared)).unwrap_or_default();
        tracing::info!(dump, "state dump");
    }
}

/// Waits until a signal or an operator requests the planned stop.
pub(super) async fn wait_for_stop(shared: &Shared) -> Result<()> {
    tokio::select! {
        res = stop_signal() => res,
        () = shared.stop_requested.notified() => Ok(()),
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> Result<()> {
    let cause = |error| could_not("listen for signals", "SIGTERM", error);
    let mut term = signal(SignalKind::terminate()).map_err(cause)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}
