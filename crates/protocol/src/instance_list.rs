//! The platform's list of live and leaving instances. It lags.

use std::net::SocketAddr;

use citrongw_state::id::{AvailabilityZone, FabricDomainId, Incarnation, InstanceId, Region};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// What the list says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Live.
    Live,
    /// Leaving: it will go away soon.
    Leaving,
}

/// Instance on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Its name.
    pub id: InstanceId,
    /// Its fabric domain.
    pub domain: FabricDomainId,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Its region.
    pub region: Region,
    /// Accelerators on it.
    pub accelerators: u32,
    /// Address of its engine.
    pub engine_addr: SocketAddr,
    /// Start of its engine process, as last seen by the platform.
    pub incarnation: Incarnation,
    /// State.
    pub state: InstanceState,
}

/// Client of the list.
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, StoreError>>;
}
