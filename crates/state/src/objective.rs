//! What formation and repair weigh most.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Objective of a deployment of citrongw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Least time in which replicas are not serving.
    #[default]
    #[display("group-downtime")]
    GroupDowntime,
    /// Fewest accelerators idle because their replica cannot form.
    #[display("stranded-accelerators")]
    StrandedAccelerators,
}

impl std::str::FromStr for Objective {
    type Err = UnknownObjective;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "group-downtime" => Ok(Self::GroupDowntime),
            "stranded-accelerators" => Ok(Self::StrandedAccelerators),
            _ => Err(UnknownObjective),
        }
    }
}

/// Text that names no objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
#[display("unknown objective")]
pub struct UnknownObjective;

impl Objective {
    /// What completing a replica with so many accelerators is worth.
    pub fn completion_value(self, accelerators: u32) -> u64 {
        match self {
            Self::GroupDowntime => 1,
            Self::StrandedAccelerators => u64::from(accelerators),
        }
    }
}
