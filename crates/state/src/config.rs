//! The configuration document.
//!
//! Operators keep it in the platform's key-value service as one JSON value,
//! versioned by the service's revision. [`Config::check`] lists every fault of
//! a document before it is written.

mod access;
pub mod change;
mod check;
mod deployment;
mod plain_service;
mod profile;

use serde::{Deserialize, Serialize};

pub use self::{
    access::{KeyDigest, Operator, Organisation, Role, Service},
    check::ConfigFault,
    deployment::Deployment,
    plain_service::{CallClass, CallRule, PlainService},
    profile::{Priority, Profile},
};
use crate::id::{PlainServiceId, ProfileId};

/// Placeholder that replaces a digest in a redacted document.
const REDACTED: &str = "redacted";

/// The whole configuration of one installation.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Organisations with their weights and limits.
    pub organisations: Vec<Organisation>,
    /// Services and their API keys.
    pub services: Vec<Service>,
    /// Profiles that services run under.
    pub profiles: Vec<Profile>,
    /// Deployments of models.
    pub deployments: Vec<Deployment>,
    /// Plain services.
    pub plain_services: Vec<PlainService>,
    /// Operators and the digests of their tokens.
    pub operators: Vec<Operator>,
}

impl Config {
    /// Copy of the document without the digests of keys and tokens.
    pub fn redacted(&self) -> Self {
        let mut config = self.clone();
        for service in &mut config.services {
            service.key_digests.fill(KeyDigest(REDACTED.to_owned()));
        }
        for operator in &mut config.operators {
            operator.token_digest = KeyDigest(REDACTED.to_owned());
        }
        config
    }

    /// Finds a profile by name.
    pub fn profile(&self, id: &ProfileId) -> Option<&Profile> {
        self.profiles.iter().find(|it| it.id == *id)
    }

    /// Finds a service by the digest of one of its keys.
    pub fn service_by_key(&self, digest: &KeyDigest) -> Option<&Service> {
        self.services.iter().find(|it| it.key_digests.contains(digest))
    }

    /// Finds a plain service by name.
    pub fn plain_service(&self, id: &PlainServiceId) -> Option<&PlainService> {
        self.plain_services.iter().find(|it| it.id == *id)
    }

    /// Finds an operator by the digest of its token.
    pub fn operator_by_token(&self, digest: &KeyDigest) -> Option<&Operator> {
        self.operators.iter().find(|it| it.token_digest == *digest)
    }
}

#[cfg(test)]
mod tests;
