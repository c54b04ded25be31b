//! Decisions of the replica control, each displayed as a sentence.

use citrongw_state::id::{
    DeploymentId, Epoch, FabricDomainId, InstanceId, ModelVersion, ReplicaId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::record::{DrainCause, LeavingCause};

/// A decision of the replica control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Display)]
pub enum ControlDecision {
    /// This node became the owner of a domain.
    #[display("this node took control of domain {domain} under epoch {epoch}")]
    DomainTaken {
        /// Id of the fabric domain.
        domain: FabricDomainId,
        /// Epoch under which this node owns the domain.
        epoch: Epoch,
    },
    /// Repair of a domain is suspended because many of its instances stopped
    /// responding at once.
    #[display("repair of domain {domain} is held back: {silent} instances went silent at once")]
    DomainHeldBack {
        /// Id of the fabric domain.
        domain: FabricDomainId,
        /// Number of instances that do not respond.
        silent: usize,
    },
    /// Instances were allocated to a new replica.
    #[display("replica {replica} forms in domain {domain} under epoch {epoch}")]
    ReplicaFormed {
        /// Id of the replica.
        replica: ReplicaId,
        /// Home domain of the replica.
        domain: FabricDomainId,
        /// Epoch under which the replica forms.
        epoch: Epoch,
    },
    /// Spare instances replaced lost members of a replica.
    #[display("replica {replica} was repaired: {replaced} members were replaced")]
    ReplicaRepaired {
        /// Id of the replica.
        replica: ReplicaId,
        /// Number of replaced members.
        replaced: u32,
    },
    /// A replica accepts no new work and will be removed.
    #[display("replica {replica} is drained, cause: {cause}")]
    ReplicaDrained {
        /// Id of the replica.
        replica: ReplicaId,
        /// Reason for draining the replica.
        cause: DrainCause,
    },
    /// An instance accepts no new work.
    #[display("instance {instance} takes no new work, cause: {cause}")]
    InstanceLeaving {
        /// Id of the instance.
        instance: InstanceId,
        /// Reason that the instance is leaving.
        cause: LeavingCause,
    },
    /// A planned change was stopped and is rolled back.
    #[display(
        "change of {deployment} to version {version} is rolled back: replica {replica} did not come up"
    )]
    ChangeHalted {
        /// Id of the deployment.
        deployment: DeploymentId,
        /// Model version that the change was to deploy.
        version: ModelVersion,
        /// Replica that did not start serving.
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
