//! Faults of a configuration document.

use std::collections::BTreeSet;

use derive_more::Display;

use super::{CallClass, Config, PlainService, Service};

/// Shortest retention of at-most-once calls.
const MIN_RETENTION_MS: u64 = 60_000;
/// Largest response of an at-most-once call that may be stored.
const MAX_ANSWER_BYTES: u32 = 64 * 1024;

/// Fault of a configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{place}: {message}")]
pub struct ConfigFault {
    /// Location in the document, such as `service quotes`.
    pub place: String,
    /// Fault and, where there is one, the allowed range.
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
    let mut seen = BTreeSet::new();
    for id in ids {
        if !seen.insert(id) {
            faults.push(ConfigFault {
                place: format!("{kind} {id}"),
                message: "is declared twice".to_owned(),
            });
        }
    }
}
