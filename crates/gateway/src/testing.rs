//! Builders for the tests of this package.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use citrongw_state::{
    id::{AvailabilityZone, Epoch, Incarnation, ReplicaId, Revision},
    time::Time,
};

use citrongw_protocol::store::{Entry, Key};
use futures::{FutureExt, future::BoxFuture};
use http::{HeaderMap, StatusCode};

use crate::{
    adapter::{
        Codec, CodecError, ForwardMeta, InstanceClient, InstanceError, Order, OrderReply,
        RequestMeta, ResponseMeta,
    },
    fleet::Backend,
    gateway_config::{CallerLimits, EngineSpec, GatewayConfig, ModelSpec, RouteTable, ServiceSpec},
    instance::{InstanceEntry, InstanceReport, MemberState, Membership},
    instance_table::{InstancesView, KnownInstance},
};

pub(crate) fn model(name: &str, size: usize, pace: f64, share: f64) -> ModelSpec {
    ModelSpec { model: name.into(), size, pace, share }
}

pub(crate) fn engine(models: Vec<ModelSpec>) -> EngineSpec {
    EngineSpec { models, loads_per_s: 10.0, open_time: Duration::from_millis(300), figures: None }
}

pub(crate) fn gateway_config(engine: EngineSpec) -> GatewayConfig {
    let engine = ServiceSpec { id: "engine".into(), engine: Some(engine), cold_start: None };
    let plain = ServiceSpec { id: "plain".into(), engine: None, cold_start: None };
    let services = [engine, plain].map(|it| (it.id.clone(), Arc::new(it)));
    GatewayConfig {
        version: 1,
        revision: Revision::new(1),
        routes: RouteTable::default(),
        services: HashMap::from(services),
        keys: None,
        limits: CallerLimits::default(),
    }
}

pub(crate) fn entry(id: &str, service: &str) -> InstanceEntry {
    InstanceEntry {
        id: id.into(),
        incarnation: Incarnation(1),
        service: service.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        slots: 8,
        leaving: false,
        domain: Some("d".into()),
        model: None,
        staged: Vec::new(),
        membership: None,
    }
}

/// Backend server of a plain service.
pub(crate) fn backend(id: &str) -> Backend {
    Backend {
        id: id.into(),
        incarnation: Incarnation(1),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        slots: 8,
        replica: None,
        domain: None,
        gateway: None,
        stats: Arc::default(),
    }
}

pub(crate) fn member(id: &str, replica: u64, epoch: u64, rank: usize) -> InstanceEntry {
    let state = if rank == 0 { MemberState::Open } else { MemberState::Ready };
    let membership =
        Membership { replica: Some(ReplicaId(replica)), epoch: Epoch(epoch), rank, state };
    InstanceEntry { model: Some("m".into()), membership: Some(membership), ..entry(id, "engine") }
}

pub(crate) fn view(entries: Vec<InstanceEntry>) -> InstancesView {
    let known = entries.into_iter().map(|entry| {
        let known = KnownInstance {
            entry: Arc::new(entry),
            revision: Revision::new(1),
            changed_at: Time::START,
        };
        (known.entry.id.clone(), known)
    });
    InstancesView { read_at: Time::START, instances: known.collect() }
}

/// Codec of instance entries whose value is the instance's id, and after a blank the time
/// until it is warm, in milliseconds.
#[derive(Debug)]
pub(crate) struct StubCodec;

impl StubCodec {
    /// Prefix of the keys of instances.
    pub(crate) const INSTANCES: &str = "instances/";
    /// Prefix of the keys of zones under evacuation.
    pub(crate) const EVACUATIONS: &str = "evacuations/";
}

impl Codec for StubCodec {
    fn config_key(&self) -> Key {
        "config".into()
    }

    fn instances_prefix(&self) -> Key {
        Self::INSTANCES.into()
    }

    fn decode_config(&self, _: &Entry) -> Result<GatewayConfig, CodecError> {
        Ok(gateway_config(engine(Vec::new())))
    }

    fn decode_instance(&self, read: &Entry) -> Result<InstanceEntry, CodecError> {
        let text = String::from_utf8_lossy(&read.value);
        let id = text.split_once(' ').map_or(&*text, |(id, _)| id);
        Ok(entry(id, "engine"))
    }

    fn decode_cold_left(&self, read: &Entry) -> Option<Duration> {
        let text = String::from_utf8_lossy(&read.value);
        let left_ms = text.split_once(' ')?.1.parse().ok()?;
        Some(Duration::from_millis(left_ms))
    }

    fn evacuations_prefix(&self) -> Key {
        Self::EVACUATIONS.into()
    }

    fn decode_evacuation(&self, key: &Key) -> Result<AvailabilityZone, CodecError> {
        let zone = key.as_str().strip_prefix(Self::EVACUATIONS).filter(|it| !it.is_empty());
        zone.map(Into::into).ok_or_else(|| CodecError { message: "no zone".to_owned() })
    }

    fn decode_request(&self, _: &HeaderMap) -> RequestMeta {
        RequestMeta::default()
    }

    fn set_forward(&self, _: &mut HeaderMap, _: &ForwardMeta<'_>) {}

    fn set_relayed(&self, _: &mut HeaderMap, _: Duration, _: Option<u64>) {}

    fn decode_response(&self, _: StatusCode, _: &HeaderMap) -> ResponseMeta {
        ResponseMeta::default()
    }
}

/// Client of instances that never respond.
#[derive(Debug)]
pub(crate) struct StubInstances;

impl InstanceClient for StubInstances {
    fn report(&self, _: SocketAddr) -> BoxFuture<'_, Result<InstanceReport, InstanceError>> {
        std::future::ready(Err(InstanceError::NoResponse)).boxed()
    }

    fn order(&self, _: SocketAddr, _: Order) -> BoxFuture<'_, Result<OrderReply, InstanceError>> {
        std::future::ready(Err(InstanceError::NoResponse)).boxed()
    }
}
