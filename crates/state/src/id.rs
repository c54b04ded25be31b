//! Identifiers.
//!
//! Names given by operators or by the platform are text; identifiers that this
//! system draws itself are numbers, which keeps messages between nodes small.

use derive_more::{AsRef, Display, From, FromStr};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
            Display, From, FromStr, AsRef,
        )]
        #[serde(transparent)]
        #[from(String, &str)]
        #[as_ref(str)]
        pub struct $name(String);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    )*};
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($repr:ty, $format:literal);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize,
            Deserialize, Display, From, FromStr,
        )]
        #[serde(transparent)]
        #[display($format, _0)]
        pub struct $name(pub $repr);
    )*};
}

text_id! {
    /// Instance of the platform, as the instance list names it.
    InstanceId;
    /// Group of instances that share a fast fabric.
    FabricDomainId;
    /// Availability zone.
    AvailabilityZone;
    /// Region, a set of availability zones.
    Region;
    /// Organisation that sends requests.
    OrganisationId;
    /// Service that an API key belongs to.
    ServiceId;
    /// Named profile of traffic treatment.
    ProfileId;
    /// Model.
    ModelId;
    /// Version of a model.
    ModelVersion;
    /// Adapter on top of a model.
    AdapterId;
    /// Deployment: one model version served by a number of replicas.
    DeploymentId;
    /// Plain service beside the model engines.
    PlainServiceId;
    /// Operator, as the admin interface knows it.
    OperatorId;
    /// Idempotency key chosen by a caller.
    IdempotencyKey;
    /// Stream of an engine, which can be resumed and cancelled.
    StreamId;
}

/// Identifier that this system draws at random: hexadecimal in text, compact
/// between nodes.
macro_rules! random_id {
    ($($(#[$doc:meta])* $name:ident($repr:ty, $format:literal);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From,
        )]
        #[display($format, _0)]
        pub struct $name(pub $repr);

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    self.0.serialize(serializer)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
                } else {
                    <$repr>::deserialize(deserializer).map(Self)
                }
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                <$repr>::from_str_radix(text, 16).map(Self)
            }
        }
    )*};
}

random_id! {
    /// Node process. Drawn at start; a restarted node is a new one.
    NodeId(u64, "{:016x}");
    /// Request of a caller; travels to engines and between nodes.
    RequestId(u128, "{:032x}");
    /// One try of a write or of a call.
    AttemptId(u128, "{:032x}");
    /// Change of the configuration, drawn by the client that asks for it.
    ChangeId(u128, "{:032x}");
    /// Digest of what a request asks for, alike for each resend of it.
    Fingerprint(u128, "{:032x}");
}

number_id! {
    /// Replica. Never used twice.
    ReplicaId(u64, "{}");
    /// Fencing number: grows with each change of a domain record's owner.
    Epoch(u64, "{}");
    /// Start of a process on an instance. Differs for each start.
    Incarnation(u64, "{}");
    /// Revision of the key-value service.
    Revision(u64, "{}");
}

impl Epoch {
    /// The epoch that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

#[cfg(test)]
mod tests;
