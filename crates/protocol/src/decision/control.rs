//! What replica control decides, in plain sentences.

use citrongw_state::id::{
    DeploymentId, Epoch, FabricDomainId, InstanceId, ModelVersion, ReplicaId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::record::{DrainCause, LeavingCause};

/// One decision of replica control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Display)]
pub enum ControlDecision {
    /// This node took the control of a domain.
    #[display("this node took control of domain {domain} under epoch {epoch}")]
    DomainTaken {
        /// The domain.
        domain: FabricDomainId,
        /// Epoch that it took.
        epoch: Epoch,
    },
    /// Repair of a domain is held back because much of it went silent at once.
    #[display("repair of domain {domain} is held back: {silent} instances went silent at once")]
    DomainHeldBack {
        /// The domain.
        domain: FabricDomainId,
        /// Instances that are silent.
        silent: usize,
    },
    /// A replica was formed.
    #[display("replica {replica} forms in domain {domain} under epoch {epoch}")]
    ReplicaFormed {
        /// The replica.
        replica: ReplicaId,
        /// Its domain.
        domain: FabricDomainId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Spares took the places of lost members.
    #[display("replica {replica} was repaired: {replaced} members were replaced")]
    ReplicaRepaired {
        /// The replica.
        replica: ReplicaId,
        /// Members that were replaced.
        replaced: u32,
    },
    /// A replica takes no new work and ends.
    #[display("replica {replica} is drained, cause: {cause}")]
    ReplicaDrained {
        /// The replica.
        replica: ReplicaId,
        /// Why.
        cause: DrainCause,
    },
    /// An instance takes no new work.
    #[display("instance {instance} takes no new work, cause: {cause}")]
    InstanceLeaving {
        /// The instance.
        instance: InstanceId,
        /// Why.
        cause: LeavingCause,
    },
    /// A planned change was halted and is rolled back.
    #[display(
        "change of {deployment} to version {version} is rolled back: replica {replica} did not come up"
    )]
    ChangeHalted {
        /// The deployment.
        deployment: DeploymentId,
        /// The version that failed.
        version: ModelVersion,
        /// The replica that did not come up.
        replica: ReplicaId,
    },
}

impl ControlDecision {
    /// Whether the decision is about a replica.
    pub fn is_about(&self, id: ReplicaId) -> bool {
        match self {
            Self::ReplicaFormed { replica, .. }
            | Self::ReplicaRepaired { replica, .. }
            | Self::ReplicaDrained { replica, .. }
            | Self::ChangeHalted { replica, .. } => *replica == id,
            Self::DomainTaken { .. }
            | Self::DomainHeldBack { .. }
            | Self::InstanceLeaving { .. } => false,
        }
    }
}
