//! Objective that replica formation and repair optimise.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Optimisation objective of a citrongw installation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Minimises the time in which replicas are not serving.
    #[default]
    #[display("group-downtime")]
    GroupDowntime,
    /// Minimises the accelerators that are idle because their replica is
    /// incomplete.
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

/// The text is not the name of an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
#[display("unknown objective")]
pub struct UnknownObjective;

impl Objective {
    /// Value of completing a replica with this number of accelerators.
    pub fn completion_value(self, accelerators: u32) -> u64 {
        match self {
            Self::GroupDowntime => 1,
            Self::StrandedAccelerators => u64::from(accelerators),
        }
    }
}
