//! Secret that signs the datagrams between gateways.

use bytes::Bytes;
use citrongw_protocol::store::{
    Change, Entry, Expected, Store, StoreError, StoreResult, Write, WriteResult,
};

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

/// Writes a secret again that an older copy of the key-value service may lack. Returns
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

#[cfg(test)]
mod tests;
