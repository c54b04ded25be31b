//! The platform's list of live and leaving instances. It is updated with a
//! delay.

use std::net::SocketAddr;

use citrongw_state::id::{AvailabilityZone, FabricDomainId, Incarnation, InstanceId, Region};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// State of an instance on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is live.
    Live,
    /// The instance will be removed soon.
    Leaving,
}

/// Entry of an instance on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Id of the instance.
    pub id: InstanceId,
    /// Fabric domain of the instance.
    pub domain: FabricDomainId,
    /// Availability zone of the instance.
    pub zone: AvailabilityZone,
    /// Region of the instance.
    pub region: Region,
    /// Number of accelerators of the instance.
    pub accelerators: u32,
    /// Address of the instance's engine.
    pub engine_addr: SocketAddr,
    /// Incarnation of the engine process, as last observed by the platform.
    pub incarnation: Incarnation,
    /// State of the instance.
    pub state: InstanceState,
}

/// Client of the instance list.
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, StoreError>>;
}
