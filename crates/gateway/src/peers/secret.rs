//! Secret that signs the datagrams between gateways.

use std::sync::Arc;

use bytes::Bytes;
use citrongw_protocol::store::{
    Change, Entry, Expected, Store, StoreError, StoreResult, Write, WriteResult,
};
use citrongw_state::id::StoreEra;
use tokio::time::sleep;

use super::{Peers, REGISTER_RETRY_DELAY, cluster_view::MAX_JITTER};
use crate::{lock::lock, store_era::NewestEra};

/// Key of the secret. The first gateway generates it.
const SECRET_KEY: &str = "citrongw/peer-secret";
/// Length of the secret in characters.
const SECRET_CHARS: usize = 32;

/// Reads the secret that all gateways share. The first gateway generates it.
pub(super) async fn read(store: &dyn Store) -> StoreResult<String> {
    // An old read is as good. If it lacks the secret, the write below returns it.
    let listed = store.list_stale(SECRET_KEY.into()).await?;
    if let Some(entry) = listed.entries.into_iter().find(|it| it.key.as_str() == SECRET_KEY) {
        return Ok(text(&entry));
    }
    let generated: String =
        (0..SECRET_CHARS).map(|_| char::from(rand::random_range(b'a'..=b'z'))).collect();
    write_if_absent(store, generated).await
}

/// Writes a secret again that a backup of the key-value service may lack. Returns
/// the one that is written: a gateway that started meanwhile may have generated another.
pub(super) async fn restore(store: &dyn Store, secret: &str) -> StoreResult<String> {
    match store.get(SECRET_KEY.into()).await?.into_entry() {
        Some(entry) => Ok(text(&entry)),
        None => write_if_absent(store, secret.to_owned()).await,
    }
}

fn text(entry: &Entry) -> String {
    String::from_utf8_lossy(&entry.value).into_owned()
}

async fn write_if_absent(store: &dyn Store, secret: String) -> StoreResult<String> {
    let write = Write {
        key: SECRET_KEY.into(),
        expected: Expected::Absent,
        change: Change::Put(Bytes::from(secret.clone())),
        lease: None,
    };
    match store.compare_and_swap(write).await? {
        WriteResult::Committed(_) => Ok(secret),
        WriteResult::Conflict(Some(entry)) => Ok(text(&entry)),
        WriteResult::Conflict(None) => {
            Err(StoreError::Refused { reason: "peer secret could not be read".to_owned() })
        }
    }
}

/// Keeps the secret in the key-value service when that is restored from a backup. If
/// another secret is written there by then, all gateways change to it; messages that are
/// signed with the former one are accepted too. The secret was read in `known_era` or
/// later.
pub(super) async fn keep(
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    era: NewestEra,
    mut known_era: StoreEra,
) {
    loop {
        era.wait_after(known_era).await;
        sleep(MAX_JITTER.mul_f64(rand::random())).await;
        let known = lock(&peers.secret).clone();
        let Some(known) = known else {
            // The endpoint is not bound yet, and its secret is read in the new era.
            known_era = era.get();
            continue;
        };
        let current_era = era.get();
        match restore(&*store, &known).await {
            Ok(written) => {
                known_era = current_era;
                if written != known {
                    tracing::warn!("secret of the gateways was replaced");
                    peers.replace_secret(written, known);
                }
            }
            Err(error) => {
                tracing::info!(%error, dependency = "store", "could not keep the secret of the gateways");
                sleep(REGISTER_RETRY_DELAY).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
