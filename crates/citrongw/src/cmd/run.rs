//! `citrongw run`.

use tokio::signal::unix::{SignalKind, signal};

use crate::{
    cmd::args,
    error::{Result, could_not},
    log, node, settings,
};

/// Runs a node until it is told to stop.
pub(super) async fn run(args: &args::Run) -> Result<()> {
    let settings = settings::open(&args.config)?;
    log::open(&settings.log_level);
    let node = node::spawn(settings).await?;
    println!("callers on {}", node.caller_addr());
    stop_signal().await?;
    node.stop().await;
    Ok(())
}

/// Waits for the signal that asks for the planned stop.
pub(super) async fn stop_signal() -> Result<()> {
    let cause = |error| could_not("listen for signals", "SIGTERM", error);
    let mut term = signal(SignalKind::terminate()).map_err(cause)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}
