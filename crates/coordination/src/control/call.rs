//! Calls to the key-value service and the engines that a domain control
//! requests, as futures that yield an event.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use citrongw_protocol::{
    engine::{Engine, EngineStatus},
    record::{DomainRecord, domain_key},
    store::{Change, Entry, Expected, Store, StoreResult, Write, WriteResult},
};
use citrongw_state::{
    id::{FabricDomainId, InstanceId, Revision},
    time::Time,
};
use futures::{FutureExt, future::BoxFuture};

use super::domain::{Action, Event, OrderCall, RecordWrite, WriteOutcome};
use crate::clock::Clock;

/// Timeout of a status call.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// Result of a call.
pub(super) enum CallOutcome {
    /// Event for the control.
    Event(Event),
    /// Result of a status call: the status and the time at which the request
    /// was sent, or `None` if the call failed.
    Status(InstanceId, Option<(EngineStatus, Time)>),
    /// No event: the control retries by itself.
    NoEvent,
}

/// Call in flight for the control of a domain.
pub(super) type PendingCall = BoxFuture<'static, (FabricDomainId, CallOutcome)>;

/// Executes the calls.
#[derive(Clone)]
pub(super) struct ActionExecutor {
    /// Client of the key-value service.
    pub(super) store: Arc<dyn Store>,
    /// Client of the engines.
    pub(super) engine: Arc<dyn Engine>,
    /// Clock of the node.
    pub(super) clock: Clock,
}

impl ActionExecutor {
    /// Returns the call that an action requires, or `None` if it requires none.
    pub(super) fn call(&self, domain: FabricDomainId, action: Action) -> Option<PendingCall> {
        let this = self.clone();
        let call = match action {
            Action::Read => async move {
                let event = match this.read(&domain).await {
                    Ok(found) => Event::Read(found),
                    Err(_) => Event::ReadFailed,
                };
                (domain, CallOutcome::Event(event))
            }
            .boxed(),
            Action::Write(write) => async move {
                let attempt = write.record.attempt;
                let outcome = this.write(write).await;
                (domain, CallOutcome::Event(Event::Written(attempt, outcome)))
            }
            .boxed(),
            Action::ReadForeign(other, purpose) => async move {
                let found = this.read(&other).await.ok();
                let outcome = found.map(|it| CallOutcome::Event(Event::ForeignRead(purpose, it)));
                (domain, outcome.unwrap_or(CallOutcome::NoEvent))
            }
            .boxed(),
            Action::WriteForeign(replica, write) => async move {
                this.write(write).await;
                (domain, CallOutcome::Event(Event::ForeignWritten(replica)))
            }
            .boxed(),
            Action::Order(order) => async move { this.order(domain, order).await }.boxed(),
            Action::Publish(_) | Action::LogDecision(_) => return None,
        };
        Some(call)
    }

    /// Polls the status of an instance.
    pub(super) fn poll_status(
        &self,
        domain: FabricDomainId,
        instance: InstanceId,
        addr: SocketAddr,
    ) -> PendingCall {
        let this = self.clone();
        async move {
            let requested_at = this.clock.now();
            let call = this.engine.status(addr);
            let status = tokio::time::timeout(STATUS_TIMEOUT, call).await;
            let status = status.ok().and_then(Result::ok).map(|it| (it, requested_at));
            (domain, CallOutcome::Status(instance, status))
        }
        .boxed()
    }

    async fn read(
        &self,
        domain: &FabricDomainId,
    ) -> StoreResult<Option<(Arc<DomainRecord>, Revision)>> {
        let snapshot = self.store.get(domain_key(domain)).await?;
        Ok(snapshot.into_entry().as_ref().and_then(decode_record))
    }

    async fn write(&self, write: RecordWrite) -> WriteOutcome {
        let Ok(value) = serde_json::to_vec(&*write.record) else { return WriteOutcome::Uncertain };
        let write = Write {
            key: domain_key(&write.domain),
            expected: write.expected.map_or(Expected::Absent, Expected::Revision),
            change: Change::Put(Bytes::from(value)),
            lease: None,
        };
        match self.store.compare_and_swap(write).await {
            Ok(WriteResult::Committed(revision)) => WriteOutcome::Committed(revision),
            Ok(WriteResult::Conflict(found)) => {
                WriteOutcome::Conflict(found.as_ref().and_then(decode_record))
            }
            Err(error) => {
                tracing::warn!(%error, "could not write domain record");
                WriteOutcome::Uncertain
            }
        }
    }

    async fn order(
        &self,
        domain: FabricDomainId,
        call: OrderCall,
    ) -> (FabricDomainId, CallOutcome) {
        let deadline = self.clock.instant(call.deadline);
        let order = self.engine.order(call.addr, call.order);
        match tokio::time::timeout_at(deadline, order).await {
            Ok(Ok(reply)) => {
                (domain, CallOutcome::Event(Event::OrderReplied(call.instance, reply)))
            }
            Ok(Err(error)) => {
                tracing::warn!(%error, instance = %call.instance, "could not send order to engine");
                (domain, CallOutcome::NoEvent)
            }
            Err(_) => (domain, CallOutcome::NoEvent),
        }
    }
}

/// Decodes a domain record. Callers leave a record that can't be decoded
/// unchanged.
pub(super) fn decode_record(entry: &Entry) -> Option<(Arc<DomainRecord>, Revision)> {
    match serde_json::from_slice(&entry.value) {
        Ok(record) => Some((Arc::new(record), entry.revision)),
        Err(error) => {
            tracing::error!(%error, key = %entry.key, "could not decode domain record");
            None
        }
    }
}
