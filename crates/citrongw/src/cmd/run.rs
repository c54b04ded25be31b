//! `citrongw run`.

use std::{io::Write, sync::Arc};

use tokio::signal::unix::{SignalKind, signal};

use crate::{
    admin,
    cmd::args,
    error::{Result, could_not},
    log,
    node::{self, Node, Shared},
    settings,
};

/// Runs a node until it is told to stop.
pub(super) async fn run(args: &args::Run) -> Result<()> {
    let settings = settings::open(&args.config)?;
    log::open(&settings.log_level);
    let node = node::spawn(settings).await?;
    announce(&node);
    let dumper = tokio::spawn(dump_on_signal(Arc::clone(node.shared())));
    wait_for_stop(node.shared()).await?;
    dumper.abort();
    node.stop().await;
    Ok(())
}

/// Prints the addresses. A reader that has gone away must not end the node.
fn announce(node: &Node) {
    let (callers, operators) = (node.caller_addr(), node.admin_addr());
    let mut stdout = std::io::stdout();
    let _ = writeln!(stdout, "callers on {callers}");
    let _ = writeln!(stdout, "operators on {operators}");
}

/// Logs the state of the node on each SIGUSR1.
async fn dump_on_signal(shared: Arc<Shared>) {
    let Ok(mut signals) = signal(SignalKind::user_defined1()) else { return };
    while signals.recv().await.is_some() {
        let dump = serde_json::to_string(&admin::dump(&shared)).unwrap_or_default();
        tracing::info!(dump, "state dump");
    }
}

/// Waits until a signal or an operator asks for the planned stop.
pub(super) async fn wait_for_stop(shared: &Shared) -> Result<()> {
    let cause = |error| could_not("listen for signals", "SIGTERM", error);
    let mut term = signal(SignalKind::terminate()).map_err(cause)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = shared.stop_asked.notified() => {}
    }
    Ok(())
}
