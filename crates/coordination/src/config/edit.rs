//! Configuration edits by compare-and-swap from a base version.
//!
//! The body is written first, under the id of the change; the swap of the head
//! commits it. If the response to the swap is lost, the change is looked up by
//! its id before a result is returned. A change that is neither in the head nor
//! in the history can still be committed as long as the head is unchanged, so
//! that case is reported as unknown and never as not made.

use std::time::Duration;

use bytes::Bytes;
use citrongw_protocol::{
    admin_config::{ChangeRecord, EditConflict, EditRequest, EditResult},
    config_delta::{self, ItemChange},
    config_record::{ConfigBody, ConfigHead, ConfigValue, MAX_HISTORY, body_key, digest_hex},
    record::CONFIG_KEY,
    store::{
        Change, Entry, Expected, Key, MAX_VALUE_BYTES, Store, StoreError, StoreResult, Write,
        WriteResult,
    },
};
use citrongw_state::{
    config::Config,
    id::{ChangeId, Revision},
};
use serde::Serialize;

use super::VersionedConfig;

/// Lookups of a change whose response was lost.
const LOOKUP_ATTEMPTS: u32 = 3;
/// Pause between lookups.
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);
/// Versions whose bodies are kept in the key-value service.
const BODIES_KEPT: usize = 8;

/// Configuration document stored in the key-value service, with its history.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredConfig {
    /// Revision at which it was committed.
    pub revision: Revision,
    /// Change that produced it, with its revision. `None` if it was written by
    /// hand.
    pub made: Option<ChangeRecord>,
    /// Content.
    pub config: Config,
    /// Changes before it, oldest first.
    pub history: Vec<ChangeRecord>,
}

/// Commits an edit. `held` is the configuration in force on this node, used to
/// show both sides of a conflict.
pub async fn propose(
    store: &dyn Store,
    held: Option<&VersionedConfig>,
    request: EditRequest,
) -> EditResult {
    let faults: Vec<String> = request.config.check().iter().map(ToString::to_string).collect();
    if !faults.is_empty() {
        return EditResult::Invalid { faults };
    }
    let current = match read(store).await {
        Ok(current) => current,
        Err(error) => return EditResult::NotMade { reason: error.to_string() },
    };
    if let Some(revision) = current.as_ref().and_then(|it| it.revision_of(request.change)) {
        return EditResult::Committed { revision };
    }
    if current.as_ref().map(|it| it.revision) != request.from {
        return conflict(current.as_ref(), held, &request);
    }
    let prepared = prepare(current.as_ref(), &request);
    if let Err(reason) = put_body(store, prepared.body).await {
        return EditResult::NotMade { reason };
    }
    match store.compare_and_swap(prepared.head).await {
        Ok(WriteResult::Committed(revision)) => {
            remove_old_body(store, &prepared.history).await;
            EditResult::Committed { revision }
        }
        Ok(WriteResult::Conflict(_)) | Err(StoreError::NoResponse) => {
            resolve(store, held, &request).await
        }
        Err(error) => EditResult::NotMade { reason: error.to_string() },
    }
}

/// Writes of one edit: the body first, then the head.
#[derive(Debug, Clone)]
pub struct PreparedEdit {
    /// Write of the body.
    pub body: Write,
    /// Write of the head, which commits the edit.
    pub head: Write,
    /// Changes before it, oldest first.
    history: Vec<ChangeRecord>,
}

/// Prepares the writes of an edit of `current`.
pub fn prepare(current: Option<&StoredConfig>, request: &EditRequest) -> PreparedEdit {
    let made = ChangeRecord {
        change: request.change,
        operator: request.operator.clone(),
        at_unix_ms: request.at_unix_ms,
        from: request.from,
        replaces_lost: request.replaces_lost,
        revision: None,
    };
    let history = current.map(StoredConfig::full_history).unwrap_or_default();
    let body = ConfigBody { config: request.config.clone(), history: history.clone() };
    let head = ConfigHead { made, digest: digest_hex(&request.config) };
    let expected = request.from.map_or(Expected::Absent, Expected::Revision);
    PreparedEdit {
        body: put(body_key(request.change), Expected::Absent, &body),
        head: put(CONFIG_KEY.into(), expected, &head),
        history,
    }
}

/// Determines the result of a swap that got no response or found a conflict.
async fn resolve(
    store: &dyn Store,
    held: Option<&VersionedConfig>,
    request: &EditRequest,
) -> EditResult {
    for attempt in 0..LOOKUP_ATTEMPTS {
        if 0 < attempt {
            tokio::time::sleep(LOOKUP_PAUSE).await;
        }
        let Ok(current) = read(store).await else { continue };
        if let Some(revision) = current.as_ref().and_then(|it| it.revision_of(request.change)) {
            return EditResult::Committed { revision };
        }
        if current.as_ref().map(|it| it.revision) != request.from {
            return conflict(current.as_ref(), held, request);
        }
    }
    EditResult::Unknown { change: request.change }
}

/// Looks up the revision that a change was committed at. `None` if it is not in
/// the document's history; it may still be committed while its base version is
/// current.
pub async fn look_up(store: &dyn Store, change: ChangeId) -> StoreResult<Option<Revision>> {
    Ok(read(store).await?.and_then(|it| it.revision_of(change)))
}

/// Kept changes, oldest first, ending with that of the current version.
pub async fn history(store: &dyn Store) -> StoreResult<Vec<ChangeRecord>> {
    Ok(read(store).await?.map(|it| it.full_history()).unwrap_or_default())
}

/// Reads the current or an earlier version. `None` if it is no longer kept.
pub async fn read_version(store: &dyn Store, revision: Revision) -> StoreResult<Option<Config>> {
    let Some(current) = read(store).await? else { return Ok(None) };
    if current.revision == revision {
        return Ok(Some(current.config));
    }
    let record = current.history.iter().find(|it| it.revision == Some(revision));
    let Some(record) = record else { return Ok(None) };
    let found = store.get(body_key(record.change)).await?.into_entry();
    Ok(found
        .and_then(|it| serde_json::from_slice::<ConfigBody>(&it.value).ok())
        .map(|it| it.config))
}

/// Reads the current document. `None` if there is none.
pub async fn read(store: &dyn Store) -> StoreResult<Option<StoredConfig>> {
    let Some(entry) = store.get(CONFIG_KEY.into()).await?.into_entry() else { return Ok(None) };
    read_entry(store, &entry).await.map(Some)
}

/// Reads the document that the entry of the configuration key refers to.
pub async fn read_entry(store: &dyn Store, entry: &Entry) -> StoreResult<StoredConfig> {
    let invalid = |reason: String| StoreError::Refused { reason };
    let value = ConfigValue::parse(&entry.value).map_err(|error| invalid(error.to_string()))?;
    let head = match value {
        ConfigValue::HeadlessDocument(config) => {
            let revision = entry.revision;
            return Ok(StoredConfig { revision, made: None, config: *config, history: Vec::new() });
        }
        ConfigValue::Head(head) => head,
    };
    let found = store.get(body_key(head.made.change)).await?.into_entry();
    let found = found.ok_or_else(|| invalid("body of the configuration is missing".to_owned()))?;
    let body: ConfigBody =
        serde_json::from_slice(&found.value).map_err(|error| invalid(error.to_string()))?;
    if !head.matches(&body.config) {
        return Err(invalid("digest of the configuration does not fit".to_owned()));
    }
    let made = ChangeRecord { revision: Some(entry.revision), ..head.made };
    Ok(StoredConfig {
        revision: entry.revision,
        made: Some(made),
        config: body.config,
        history: body.history,
    })
}

impl StoredConfig {
    /// Revision at which `change` was committed.
    fn revision_of(&self, change: ChangeId) -> Option<Revision> {
        let mut records = self.history.iter().chain(&self.made);
        records.find(|it| it.change == change).and_then(|it| it.revision)
    }

    /// History including the last change, limited to [`MAX_HISTORY`].
    fn full_history(&self) -> Vec<ChangeRecord> {
        let records: Vec<_> = self.history.iter().chain(&self.made).cloned().collect();
        let skipped = records.len().saturating_sub(MAX_HISTORY);
        records.into_iter().skip(skipped).collect()
    }
}

async fn put_body(store: &dyn Store, write: Write) -> Result<(), String> {
    if let Change::Put(value) = &write.change
        && MAX_VALUE_BYTES < value.len()
    {
        return Err(format!("document is larger than {MAX_VALUE_BYTES} bytes"));
    }
    let change = write.change.clone();
    match store.compare_and_swap(write).await {
        Ok(WriteResult::Committed(_)) => Ok(()),
        // An earlier attempt of the same change may have written it.
        Ok(WriteResult::Conflict(Some(entry))) if change == Change::Put(entry.value.clone()) => {
            Ok(())
        }
        Ok(WriteResult::Conflict(Some(_))) => {
            Err("id of the change was used for another document or version".to_owned())
        }
        Ok(WriteResult::Conflict(None)) => Err("body could not be written".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Removes the body of the version that is no longer kept. A failure leaves an
/// unused value behind, which is harmless.
async fn remove_old_body(store: &dyn Store, history: &[ChangeRecord]) {
    let Some(old) = history.len().checked_sub(BODIES_KEPT).and_then(|idx| history.get(idx)) else {
        return;
    };
    let key = body_key(old.change);
    let Ok(snapshot) = store.get(key.clone()).await else { return };
    let Some(entry) = snapshot.into_entry() else { return };
    let expected = Expected::Revision(entry.revision);
    let write = Write { key, expected, change: Change::Delete, lease: None };
    if let Err(error) = store.compare_and_swap(write).await {
        tracing::warn!(%error, change = %old.change, "could not remove an old configuration body");
    }
}

fn put(key: Key, expected: Expected, value: &impl Serialize) -> Write {
    let value = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    Write { key, expected, change: Change::Put(value), lease: None }
}

fn conflict(
    current: Option<&StoredConfig>,
    held: Option<&VersionedConfig>,
    request: &EditRequest,
) -> EditResult {
    let base = held.filter(|it| Some(it.revision) == request.from).map(|it| &it.config);
    let diff_from = |base: &Config| config_delta::diff(base, &request.config);
    let yours: Vec<ItemChange> =
        base.or(current.map(|it| &it.config)).map(diff_from).unwrap_or_default();
    let theirs = match (base, current) {
        (Some(base), Some(current)) => config_delta::diff(base, &current.config),
        _ => Vec::new(),
    };
    EditResult::Conflict(Box::new(EditConflict {
        from: request.from,
        current: current.map(|it| it.revision),
        made_by: current.and_then(|it| it.made.clone()),
        yours,
        theirs,
    }))
}

#[cfg(test)]
mod tests;
