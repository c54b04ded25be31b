//! Baseline without batching: each claim and each settlement reads and writes
//! its shard separately.

use citrongw_protocol::{
    claim::{self, ShardId},
    store::{Change, Entry, Expected, Store, StoreResult, Write, WriteResult},
};
use citrongw_state::{
    claim::{ClaimKey, ClaimRequest, ClaimStatus, ClaimTable, Settlement},
    id::{AttemptId, NodeId},
};

/// Claims a call. Returns false if another attempt holds the claim.
pub async fn claim(store: &dyn Store, node: NodeId, request: &ClaimRequest) -> StoreResult<bool> {
    change(store, request.key, |table| match table.claim_status(request) {
        ClaimStatus::Unclaimed => {
            table.open(request, node);
            true
        }
        ClaimStatus::OpenBySelf => true,
        _ => false,
    })
    .await
}

/// Settles an attempt. Returns false if the shard doesn't change.
pub async fn settle(
    store: &dyn Store,
    key: ClaimKey,
    attempt: AttemptId,
    settlement: &Settlement,
) -> StoreResult<bool> {
    change(store, key, |table| table.settle(key, attempt, settlement)).await
}

async fn change(
    store: &dyn Store,
    key: ClaimKey,
    mut change: impl FnMut(&mut ClaimTable) -> bool,
) -> StoreResult<bool> {
    let shard = ShardId::of(key).key();
    let mut entry = store.get(shard.clone()).await?.into_entry();
    loop {
        let mut table = entry.as_ref().map(decode).unwrap_or_default();
        if !change(&mut table) {
            return Ok(false);
        }
        let expected =
            entry.as_ref().map_or(Expected::Absent, |it| Expected::Revision(it.revision));
        let value = claim::encode(&table).unwrap_or_default();
        let change = Change::Put(value);
        let write = Write { key: shard.clone(), expected, change, lease: None };
        match store.compare_and_swap(write).await? {
            WriteResult::Committed(_) => return Ok(true),
            WriteResult::Conflict(found) => entry = found,
        }
    }
}

fn decode(entry: &Entry) -> ClaimTable {
    claim::decode(&entry.value).unwrap_or_default()
}
