//! Builders for the tests of this package.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use citrongw_state::{
    id::{Epoch, Incarnation, ReplicaId, Revision},
    time::Time,
};

use crate::{
    gateway_config::{CallerLimits, EngineSpec, GatewayConfig, ModelSpec, RouteTable, ServiceSpec},
    instance::{InstanceEntry, MemberState, Membership},
    instance_table::{InstancesView, KnownInstance},
};

pub(crate) fn model(name: &str, size: usize, pace: f64, share: f64) -> ModelSpec {
    ModelSpec { model: name.into(), size, pace, share }
}

pub(crate) fn engine(models: Vec<ModelSpec>) -> EngineSpec {
    EngineSpec { models, loads_per_s: 10.0, open_time: Duration::from_millis(300) }
}

pub(crate) fn gateway_config(engine: EngineSpec) -> GatewayConfig {
    let engine = ServiceSpec { id: "engine".into(), engine: Some(engine) };
    let plain = ServiceSpec { id: "plain".into(), engine: None };
    let services = [engine, plain].map(|it| (it.id.clone(), Arc::new(it)));
    GatewayConfig {
        version: 1,
        revision: Revision(1),
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
            revision: Revision(1),
            changed_at: Time::START,
        };
        (known.entry.id.clone(), known)
    });
    InstancesView { read_at: Time::START, instances: known.collect() }
}
