//! Driver that keeps the configuration in force on this node.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use citrongw_protocol::{record::CONFIG_KEY, store::Store};
use citrongw_state::{config::Config, id::Revision};
use tokio::task::JoinHandle;

/// Pause between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration with the revision that wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedConfig {
    /// Revision of the service.
    pub revision: Revision,
    /// The document.
    pub config: Config,
}

/// Configuration in force. Empty until one has been read.
pub type ConfigCell = ArcSwapOption<VersionedConfig>;

/// Spawns the driver.
pub fn spawn(store: Arc<dyn Store>, cell: Arc<ConfigCell>) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            if let Err(error) = read(store.as_ref(), &cell).await {
                tracing::warn!(%error, "could not read configuration");
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    })
}

/// Reads the document once and puts it in force if it is newer.
pub async fn read(
    store: &dyn Store,
    cell: &ConfigCell,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let Some(entry) = store.get(CONFIG_KEY.into()).await?.into_entry() else { return Ok(()) };
    if cell.load().as_ref().is_some_and(|it| entry.revision <= it.revision) {
        return Ok(());
    }
    let config = serde_json::from_slice(&entry.value)?;
    cell.store(Some(Arc::new(VersionedConfig { revision: entry.revision, config })));
    Ok(())
}
