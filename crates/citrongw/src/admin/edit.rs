//! Reads and changes of the configuration by operators.

use std::sync::Arc;

use citrongw_coordination::config::{VersionedConfig, edit};
use citrongw_protocol::{
    admin::{ChangeLookup, ChangeRequest, ConfigView},
    admin_config::{EditRequest, EditResult},
    code::ResultCode,
    store::StoreError,
};
use citrongw_state::{
    config::{Config, Operator, Role, change},
    id::{ChangeId, Revision},
};
use viz::Request;

use super::{
    handler::{Handler, handler},
    path_param, read_json,
};
use crate::node::Shared;

/// `GET /admin/config`: the configuration in the key-value service, or the one in
/// force at this node while the service is unavailable.
pub(super) fn read_current(shared: &Arc<Shared>) -> impl Fn(Request) -> Handler + Clone + use<> {
    handler(shared, Role::Read, |shared, _, _| async move {
        match edit::read(shared.store.as_ref()).await {
            Ok(Some(current)) => Ok(view(Some(current.revision), &current.config)),
            Ok(None) => Ok(view(None, &Config::default())),
            Err(_) => {
                let held = shared.config.load_full().ok_or(ResultCode::StoreUnavailable)?;
                Ok(view(Some(held.revision), &held.config))
            }
        }
    })
}

/// `GET /admin/config/:id`: an earlier version, if it is still stored.
pub(super) fn read_earlier(shared: &Arc<Shared>) -> impl Fn(Request) -> Handler + Clone + use<> {
    handler(shared, Role::Read, |shared, _, req| async move {
        let revision: Revision = path_param(&req)?;
        let found = edit::read_version(shared.store.as_ref(), revision).await;
        let config = found.map_err(store_code)?.ok_or(ResultCode::NotFound)?;
        Ok(view(Some(revision), &config))
    })
}

/// `GET /admin/config-history`: the last changes, oldest first.
pub(super) fn read_history(shared: &Arc<Shared>) -> impl Fn(Request) -> Handler + Clone + use<> {
    handler(shared, Role::Read, |shared, _, _| async move {
        edit::history(shared.store.as_ref()).await.map_err(store_code)
    })
}

/// `GET /admin/edits/:id`: the revision that a change committed, if any.
pub(super) fn read_change(shared: &Arc<Shared>) -> impl Fn(Request) -> Handler + Clone + use<> {
    handler(shared, Role::Read, |shared, _, req| async move {
        let change: ChangeId = path_param(&req)?;
        let found = edit::look_up(shared.store.as_ref(), change).await;
        Ok(ChangeLookup { revision: found.map_err(store_code)? })
    })
}

/// `POST /admin/edits`: commits a change.
pub(super) fn make_change(shared: &Arc<Shared>) -> impl Fn(Request) -> Handler + Clone + use<> {
    handler(shared, Role::Operate, |shared, operator, mut req| async move {
        let request: ChangeRequest = read_json(&mut req).await?;
        let change = request.change;
        let result = propose(&shared, &operator, request).await;
        tracing::info!(operator = %operator.id, %change, ?result, "configuration change");
        Ok(result)
    })
}

async fn propose(shared: &Shared, operator: &Operator, request: ChangeRequest) -> EditResult {
    let store = shared.store.as_ref();
    let current = match edit::read(store).await {
        Ok(current) => current,
        Err(error) => return EditResult::NotMade { reason: error.to_string() },
    };
    if let Ok(Some(revision)) = edit::look_up(store, request.change).await {
        return EditResult::Committed { revision };
    }
    let base = base_of(shared, request.base).await;
    let empty = Config::default();
    let document = base.as_deref().map(|it| &it.config);
    let document = document.or(current.as_ref().map(|it| &it.config)).unwrap_or(&empty);
    let config = match change::apply(document, &request.edit) {
        Ok(config) => config,
        Err(error) => return EditResult::Invalid { faults: vec![error.to_string()] },
    };
    let request = EditRequest {
        change: request.change,
        from: request.base,
        operator: operator.id.clone(),
        at_unix_ms: request.at_unix_ms,
        config,
        replaces_lost: request.replaces_lost,
    };
    let result = edit::propose(store, base.as_deref(), request).await;
    shared.gate.request_refresh();
    result
}

/// Returns the version that a change is based on, if it is still known.
async fn base_of(shared: &Shared, base: Option<Revision>) -> Option<Arc<VersionedConfig>> {
    let revision = base?;
    let held = shared.config.load_full().filter(|it| it.revision == revision);
    if held.is_some() {
        return held;
    }
    let config = edit::read_version(shared.store.as_ref(), revision).await.ok()??;
    Some(Arc::new(VersionedConfig { revision, config }))
}

fn view(revision: Option<Revision>, config: &Config) -> ConfigView {
    ConfigView { revision, config: config.redacted() }
}

fn store_code(_: StoreError) -> ResultCode {
    ResultCode::StoreUnavailable
}
