//! The configuration document.
//!
//! Operators keep it in the platform's key-value service as one JSON value,
//! versioned by the service's revision. [`Config::check`] names every fault of
//! a document before it is written.

pub mod change;

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{
    AdapterId, DeploymentId, ModelId, ModelVersion, OperatorId, OrganisationId, PlainServiceId,
    ProfileId, ServiceId,
};

/// What stands in place of a digest that is not shown.
const REDACTED: &str = "redacted";
/// Shortest retention of at-most-once calls.
const MIN_RETENTION_MS: u64 = 60_000;
/// Largest answer of an at-most-once call that may be stored.
const MAX_ANSWER_BYTES: u32 = 64 * 1024;

/// The whole configuration of one installation.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Services and their API keys.
    pub services: Vec<Service>,
    /// Profiles.
    pub profiles: Vec<Profile>,
    /// Deployments of models.
    pub deployments: Vec<Deployment>,
    /// Plain services.
    pub plain_services: Vec<PlainService>,
    /// Operators.
    pub operators: Vec<Operator>,
}

/// Organisation with its share and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// Weight in fair sharing.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limit over all nodes, requests a second; none if absent.
    #[serde(default)]
    pub limit_requests_per_s: Option<f64>,
}

/// Service of an organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Organisation that it belongs to.
    pub organisation: OrganisationId,
    /// Profile that it runs under.
    pub profile: ProfileId,
    /// Digests of its API keys, see [`KeyDigest::of`].
    pub key_digests: Vec<KeyDigest>,
}

impl Service {
    /// Digests that are not shown tell nothing.
    fn shares_key_with(&self, other: &Self) -> bool {
        let mut shown = self.key_digests.iter().filter(|it| it.0 != REDACTED);
        shown.any(|it| other.key_digests.contains(it))
    }
}

/// Digest of an API key or of an operator's token.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct KeyDigest(pub String);

impl KeyDigest {
    /// BLAKE3 digest of `secret`, in hexadecimal.
    pub fn of(secret: &str) -> Self {
        Self(blake3::hash(secret.as_bytes()).to_hex().to_string())
    }
}

/// Priority class of requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before all others.
    High,
    /// The usual class.
    #[default]
    Normal,
    /// Served with what is left.
    Low,
}

/// How a class of traffic is treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Its name.
    pub id: ProfileId,
    /// Model that requests go to.
    pub model: ModelId,
    /// Version, if one is asked for.
    #[serde(default)]
    pub version: Option<ModelVersion>,
    /// Adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Priority class.
    #[serde(default)]
    pub priority: Priority,
    /// Longest time from arrival to the end of the answer.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Longest time until the first token.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Longest time between tokens.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u64,
    /// Attempts beyond the first, at most.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// Whether a second attempt may run beside a slow first one.
    #[serde(default)]
    pub hedge: bool,
    /// Requests at once over one node, at most; none if absent.
    #[serde(default)]
    pub limit_in_flight: Option<u32>,
    /// Replicas that a planned change keeps serving.
    #[serde(default = "default_min_serving")]
    pub min_serving: u32,
}

impl Profile {
    /// Longest time from arrival to the end of the answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Longest time until the first token.
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// Longest time between tokens.
    pub fn between_tokens(&self) -> Duration {
        Duration::from_millis(self.between_tokens_ms)
    }
}

/// Model version served by a number of replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name.
    pub id: DeploymentId,
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: ModelVersion,
    /// Adapters to load.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Replicas wanted.
    pub replicas: u32,
    /// Instances of each replica.
    pub instances_per_replica: u32,
    /// Whether its engines refuse an order of an older epoch.
    #[serde(default)]
    pub honours_fencing: bool,
}

/// Plain service beside the engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Its name, as in `/services/NAME/`.
    pub id: PlainServiceId,
    /// Addresses of its backend servers.
    pub addrs: Vec<SocketAddr>,
    /// Calls that it takes. The first that matches decides.
    pub calls: Vec<CallRule>,
}

/// How a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallClass {
    /// Any number of runs is as good as one.
    Idempotent,
    /// Must never run twice.
    AtMostOnce,
}

/// Class of the calls of one method below one path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// Method, in capitals.
    pub method: String,
    /// Prefix of the path after `/services/NAME`.
    pub path: String,
    /// Class of the call.
    pub class: CallClass,
    /// Whether the backend server takes the idempotency key itself.
    #[serde(default)]
    pub passes_key: bool,
    /// Whether an at-most-once call without an idempotency key is refused.
    #[serde(default = "default_key_required")]
    pub key_required: bool,
    /// Largest answer of an at-most-once call that is stored for resends.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: u32,
    /// Time after the end of an at-most-once call for which it answers resends.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
}

impl CallRule {
    /// Whether the rule is for a call.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path)
    }

    /// Time after the end of a call for which it answers resends.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

impl PlainService {
    /// Rule of a call. None if the service doesn't take it.
    pub fn rule(&self, method: &str, path: &str) -> Option<&CallRule> {
        self.calls.iter().find(|it| it.matches(method, path))
    }
}

/// Role of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// May look.
    Read,
    /// May look and change.
    Operate,
}

/// Operator with its token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, for the record of changes.
    pub id: OperatorId,
    /// Role.
    pub role: Role,
    /// Digest of the token.
    pub token_digest: KeyDigest,
}

fn default_weight() -> u32 {
    1
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_first_token_ms() -> u64 {
    10_000
}

fn default_between_tokens_ms() -> u64 {
    5_000
}

fn default_retries() -> u32 {
    2
}

fn default_min_serving() -> u32 {
    1
}

fn default_key_required() -> bool {
    true
}

fn default_answer_bytes() -> u32 {
    4096
}

fn default_retention_ms() -> u64 {
    3_600_000
}

/// Fault of a configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{place}: {message}")]
pub struct ConfigFault {
    /// Where, such as `service quotes`.
    pub place: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl Config {
    /// Finds every fault of the document.
    pub fn check(&self) -> Vec<ConfigFault> {
        let mut faults = Vec::new();
        self.check_services(&mut faults);
        self.check_profiles(&mut faults);
        self.check_deployments(&mut faults);
        self.check_plain_services(&mut faults);
        faults
    }

    /// The document without the digests of keys and tokens.
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

    /// Profile by name.
    pub fn profile(&self, id: &ProfileId) -> Option<&Profile> {
        self.profiles.iter().find(|it| it.id == *id)
    }

    /// Service by the digest of one of its keys.
    pub fn service_by_key(&self, digest: &KeyDigest) -> Option<&Service> {
        self.services.iter().find(|it| it.key_digests.contains(digest))
    }

    /// Plain service by name.
    pub fn plain_service(&self, id: &PlainServiceId) -> Option<&PlainService> {
        self.plain_services.iter().find(|it| it.id == *id)
    }

    /// Operator by the digest of its token.
    pub fn operator_by_token(&self, digest: &KeyDigest) -> Option<&Operator> {
        self.operators.iter().find(|it| it.token_digest == *digest)
    }

    fn check_services(&self, faults: &mut Vec<ConfigFault>) {
        check_unique("service", self.services.iter().map(|it| it.id.as_str()), faults);
        check_unique("organisation", self.organisations.iter().map(|it| it.id.as_str()), faults);
        for (idx, service) in self.services.iter().enumerate() {
            let place = format!("service {}", service.id);
            let shares = |other: &&Service| service.shares_key_with(other);
            if let Some(other) = self.services[..idx].iter().find(shares) {
                let message = format!("shares a key with service {}", other.id);
                faults.push(ConfigFault { place: place.clone(), message });
            }
            if !self.organisations.iter().any(|it| it.id == service.organisation) {
                let message = format!("organisation {} is not declared", service.organisation);
                faults.push(ConfigFault { place: place.clone(), message });
            }
            if self.profile(&service.profile).is_none() {
                let message = format!("profile {} is not declared", service.profile);
                faults.push(ConfigFault { place, message });
            }
        }
    }

    fn check_profiles(&self, faults: &mut Vec<ConfigFault>) {
        check_unique("profile", self.profiles.iter().map(|it| it.id.as_str()), faults);
        for profile in &self.profiles {
            let place = format!("profile {}", profile.id);
            if !self.deployments.iter().any(|it| it.model == profile.model) {
                let message = format!("no deployment serves model {}", profile.model);
                faults.push(ConfigFault { place: place.clone(), message });
            }
            if profile.deadline_ms < profile.first_token_ms {
                let message = format!(
                    "first_token_ms is {}, allowed up to deadline_ms, {}",
                    profile.first_token_ms, profile.deadline_ms
                );
                faults.push(ConfigFault { place, message });
            }
        }
    }

    fn check_deployments(&self, faults: &mut Vec<ConfigFault>) {
        check_unique("deployment", self.deployments.iter().map(|it| it.id.as_str()), faults);
        for deployment in &self.deployments {
            if deployment.instances_per_replica == 0 {
                faults.push(ConfigFault {
                    place: format!("deployment {}", deployment.id),
                    message: "instances_per_replica is 0, allowed from 1".to_owned(),
                });
            }
        }
    }

    fn check_plain_services(&self, faults: &mut Vec<ConfigFault>) {
        check_unique("plain service", self.plain_services.iter().map(|it| it.id.as_str()), faults);
        for service in &self.plain_services {
            if service.addrs.is_empty() {
                faults.push(ConfigFault {
                    place: format!("plain service {}", service.id),
                    message: "addrs is empty, allowed from one address".to_owned(),
                });
            }
            check_calls(service, faults);
        }
    }
}

fn check_calls(service: &PlainService, faults: &mut Vec<ConfigFault>) {
    for rule in service.calls.iter().filter(|it| it.class == CallClass::AtMostOnce) {
        let place = format!("plain service {}, call {} {}", service.id, rule.method, rule.path);
        if rule.retention_ms < MIN_RETENTION_MS {
            let message =
                format!("retention_ms is {}, allowed from {MIN_RETENTION_MS}", rule.retention_ms);
            faults.push(ConfigFault { place: place.clone(), message });
        }
        if MAX_ANSWER_BYTES < rule.answer_bytes {
            let message =
                format!("answer_bytes is {}, allowed up to {MAX_ANSWER_BYTES}", rule.answer_bytes);
            faults.push(ConfigFault { place, message });
        }
    }
}

fn check_unique<'a>(kind: &str, ids: impl Iterator<Item = &'a str>, faults: &mut Vec<ConfigFault>) {
    let mut seen = std::collections::BTreeSet::new();
    for id in ids {
        if !seen.insert(id) {
            faults.push(ConfigFault {
                place: format!("{kind} {id}"),
                message: "is declared twice".to_owned(),
            });
        }
    }
}

#[cfg(test)]
mod tests;
