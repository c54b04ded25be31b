//! Calls that a control wants made, as futures that end in an event.

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

/// Longest time that a status call may take.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// What a call came to.
pub(super) enum CallOutcome {
    /// Something to tell the control.
    Event(Event),
    /// The end of a status call, with the answer and the time of the question.
    Status(InstanceId, Option<(EngineStatus, Time)>),
    /// Nothing: the control asks again by itself.
    NoEvent,
}

/// Call for the control of a domain.
pub(super) type PendingCall = BoxFuture<'static, (FabricDomainId, CallOutcome)>;

/// Makes the calls.
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
    /// Makes the call that an action asks for, if it asks for one.
    pub(super) fn call(&self, domain: FabricDomainId, action: Action) -> Option<PendingCall> {
        let this = self.clone();
        let answer = match action {
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
            Action::ReadForeign(other, why) => async move {
                let found = this.read(&other).await.ok();
                let told = found.map(|it| CallOutcome::Event(Event::ForeignRead(why, it)));
                (domain, told.unwrap_or(CallOutcome::NoEvent))
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
        Some(answer)
    }

    /// Asks an instance for its status.
    pub(super) fn ask(
        &self,
        domain: FabricDomainId,
        instance: InstanceId,
        addr: SocketAddr,
    ) -> PendingCall {
        let this = self.clone();
        async move {
            let asked_at = this.clock.now();
            let call = this.engine.status(addr);
            let status = tokio::time::timeout(STATUS_TIMEOUT, call).await;
            let status = status.ok().and_then(Result::ok).map(|it| (it, asked_at));
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
                tracing::warn!(%error, instance = %call.instance, "could not give order");
                (domain, CallOutcome::NoEvent)
            }
            Err(_) => (domain, CallOutcome::NoEvent),
        }
    }
}

/// Reads a record. One that cannot be read is left alone by whoever finds it.
pub(super) fn decode_record(entry: &Entry) -> Option<(Arc<DomainRecord>, Revision)> {
    match serde_json::from_slice(&entry.value) {
        Ok(record) => Some((Arc::new(record), entry.revision)),
        Err(error) => {
            tracing::error!(%error, key = %entry.key, "could not read record");
            None
        }
    }
}
