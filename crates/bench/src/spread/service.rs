//! Calls from nodes to the simulated store.

use citrongw_coordination::{config::edit::StoredConfig, membership::Event};
use citrongw_fakes::kv::core::KvCore;
use citrongw_protocol::{
    admin_config::{ChangeRecord, EditRequest},
    config_record::{ConfigBody, ConfigValue, body_key},
    node_record::{NODES_PREFIX, NodeRecord, VersionedNodeRecord, nodes_key},
    record::CONFIG_KEY,
    store::{Change, Entry, Expected, StoreError, Write, WriteResult},
};
use citrongw_state::{
    id::{AvailabilityZone, Revision},
    time::Time,
};

/// One store call.
#[derive(Debug)]
pub(super) enum ServiceCall {
    ReadHead { requested_at: Time },
    ReadDocument { requested_at: Time },
    ReadRecords,
    WriteRecord { zone: AvailabilityZone, expected: Expected, record: NodeRecord },
}

/// Executes a call, or fails it if the store is unreachable.
pub(super) fn execute(service: &mut KvCore, call: ServiceCall, reached: bool) -> Event {
    let check_reached = |reached: bool| if reached { Ok(()) } else { Err(StoreError::NoResponse) };
    let res = check_reached(reached);
    match call {
        ServiceCall::ReadHead { requested_at } => {
            let found = res.map(|()| head(service).map(|it| it.revision));
            Event::HeadRead { requested_at, found }
        }
        ServiceCall::ReadDocument { requested_at } => {
            let current = res.map(|()| read(service).map(Box::new));
            Event::DocumentRead { requested_at, current }
        }
        ServiceCall::ReadRecords => Event::RecordsRead(res.map(|()| records(service))),
        ServiceCall::WriteRecord { zone, expected, record } => {
            Event::RecordWritten(res.map(|()| write_record(service, zone, expected, &record)))
        }
    }
}

fn head(service: &mut KvCore) -> Option<Entry> {
    service.get(&CONFIG_KEY.into()).into_entry()
}

/// Reads the configuration from the store.
pub(super) fn read(service: &mut KvCore) -> Option<StoredConfig> {
    let entry = head(service)?;
    let ConfigValue::Head(head) = ConfigValue::parse(&entry.value).ok()? else { return None };
    let body = service.get(&body_key(head.made.change)).into_entry()?;
    let body: ConfigBody = serde_json::from_slice(&body.value).ok()?;
    let made = ChangeRecord { revision: Some(entry.revision), ..head.made };
    Some(StoredConfig {
        revision: entry.revision,
        made: Some(made),
        config: body.config,
        history: body.history,
    })
}

/// Commits an edit. Returns none on a conflict.
pub(super) fn commit(
    service: &mut KvCore,
    current: Option<&StoredConfig>,
    request: &EditRequest,
) -> Option<Revision> {
    let prepared = citrongw_coordination::config::edit::prepare(current, request);
    service.compare_and_swap(prepared.body);
    match service.compare_and_swap(prepared.head) {
        WriteResult::Committed(revision) => Some(revision),
        WriteResult::Conflict(_) => None,
    }
}

/// Commits an edit on top of `base`, which may differ from the version named in
/// the request.
pub(super) fn commit_over(
    service: &mut KvCore,
    base: &StoredConfig,
    request: &EditRequest,
) -> Option<Revision> {
    let mut prepared = citrongw_coordination::config::edit::prepare(Some(base), request);
    prepared.head.expected = Expected::Revision(base.revision);
    service.compare_and_swap(prepared.body);
    match service.compare_and_swap(prepared.head) {
        WriteResult::Committed(revision) => Some(revision),
        WriteResult::Conflict(_) => None,
    }
}

fn records(service: &mut KvCore) -> Vec<VersionedNodeRecord> {
    let snapshot = service.list(&NODES_PREFIX.into());
    snapshot.entries.iter().filter_map(VersionedNodeRecord::decode).collect()
}

fn write_record(
    service: &mut KvCore,
    zone: AvailabilityZone,
    expected: Expected,
    record: &NodeRecord,
) -> Option<VersionedNodeRecord> {
    let change = Change::Put(record.encode());
    let write = Write { key: nodes_key(&zone), expected, change, lease: None };
    match service.compare_and_swap(write) {
        WriteResult::Committed(revision) => {
            Some(VersionedNodeRecord { zone, revision, record: record.clone() })
        }
        WriteResult::Conflict(found) => found.as_ref().and_then(VersionedNodeRecord::decode),
    }
}
