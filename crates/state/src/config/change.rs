//! Changes that operators make to the configuration, as pure edits of the
//! document.
//!
//! A change names one thing, so that two operators who change different things
//! see what the other did and lose nothing.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{CallClass, Config, ConfigFault, Deployment, PlainService, Profile, Role};
use crate::id::{DeploymentId, ProfileId, ServiceId};

/// One change of the document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum ConfigChange {
    /// Writes a profile that does not exist yet.
    CreateProfile {
        /// The profile.
        profile: Profile,
    },
    /// Writes a profile in place of the one of its name.
    EditProfile {
        /// The profile.
        profile: Profile,
    },
    /// Removes a profile that no service runs under.
    RetireProfile {
        /// The profile.
        profile: ProfileId,
    },
    /// Lets a service run under a profile.
    AssignService {
        /// The service.
        service: ServiceId,
        /// The profile.
        profile: ProfileId,
    },
    /// Writes a deployment, new or in place of the one of its name.
    PutDeployment {
        /// The deployment.
        deployment: Deployment,
    },
    /// Removes a deployment.
    RemoveDeployment {
        /// The deployment.
        deployment: DeploymentId,
    },
    /// Writes the whole document.
    Replace {
        /// The document.
        config: Box<Config>,
    },
}

/// Why a change can't be made to a document.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ChangeError {
    /// The name is taken.
    #[display("profile {_0} exists already")]
    ProfileExists(ProfileId),
    /// Nothing has the name.
    #[display("profile {_0} does not exist")]
    NoProfile(ProfileId),
    /// Services run under the profile.
    #[display("profile {profile} is in use by {}", list(services))]
    ProfileInUse {
        /// The profile.
        profile: ProfileId,
        /// The services.
        services: Vec<ServiceId>,
    },
    /// Nothing has the name.
    #[display("service {_0} does not exist")]
    NoService(ServiceId),
    /// Nothing has the name.
    #[display("deployment {_0} does not exist")]
    NoDeployment(DeploymentId),
    /// The document that results has faults.
    #[display("{}", list(_0))]
    Faults(Vec<ConfigFault>),
}

impl std::error::Error for ChangeError {}

/// What a change puts at risk; an operator confirms it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{_0}")]
pub struct Risk(pub String);

/// The document with the change made.
pub fn apply(config: &Config, change: &ConfigChange) -> Result<Config, ChangeError> {
    let mut changed = config.clone();
    make(&mut changed, change)?;
    let faults = changed.check();
    if faults.is_empty() { Ok(changed) } else { Err(ChangeError::Faults(faults)) }
}

/// What a change of `before` into `after` puts at risk.
pub fn risks(before: &Config, after: &Config) -> Vec<Risk> {
    let mut found = Vec::new();
    for service in &before.plain_services {
        let new = after.plain_service(&service.id);
        found.extend(call_risks(service, new));
    }
    for deployment in &before.deployments {
        let new = after.deployments.iter().find(|it| it.id == deployment.id);
        let replicas = new.map_or(0, |it| it.replicas);
        if replicas < deployment.replicas {
            found.push(Risk(format!(
                "deployment {} goes from {} to {replicas} replicas",
                deployment.id, deployment.replicas
            )));
        }
    }
    let may_operate = |config: &Config| config.operators.iter().any(|it| it.role == Role::Operate);
    if !after.operators.is_empty() && !may_operate(after) {
        found.push(Risk("no operator may change the configuration any more".to_owned()));
    }
    found
}

fn call_risks(before: &PlainService, after: Option<&PlainService>) -> Vec<Risk> {
    let guarded = before.calls.iter().filter(|it| it.class == CallClass::AtMostOnce);
    let lost = guarded.filter(|rule| {
        let new = after.and_then(|it| it.rule(&rule.method, &rule.path));
        new.is_some_and(|it| it.class != CallClass::AtMostOnce)
    });
    let risk = |rule: &super::CallRule| {
        Risk(format!(
            "{} {} of plain service {} is no longer at-most-once: a resent call can run twice",
            rule.method, rule.path, before.id
        ))
    };
    lost.map(risk).collect()
}

fn make(config: &mut Config, change: &ConfigChange) -> Result<(), ChangeError> {
    match change {
        ConfigChange::CreateProfile { profile } => {
            if config.profile(&profile.id).is_some() {
                return Err(ChangeError::ProfileExists(profile.id.clone()));
            }
            config.profiles.push(profile.clone());
        }
        ConfigChange::EditProfile { profile } => {
            let place = config.profiles.iter_mut().find(|it| it.id == profile.id);
            *place.ok_or_else(|| ChangeError::NoProfile(profile.id.clone()))? = profile.clone();
        }
        ConfigChange::RetireProfile { profile } => retire_profile(config, profile)?,
        ConfigChange::AssignService { service, profile } => {
            if config.profile(profile).is_none() {
                return Err(ChangeError::NoProfile(profile.clone()));
            }
            let place = config.services.iter_mut().find(|it| it.id == *service);
            let place = place.ok_or_else(|| ChangeError::NoService(service.clone()))?;
            place.profile = profile.clone();
        }
        ConfigChange::PutDeployment { deployment } => {
            config.deployments.retain(|it| it.id != deployment.id);
            config.deployments.push(deployment.clone());
        }
        ConfigChange::RemoveDeployment { deployment } => {
            if !config.deployments.iter().any(|it| it.id == *deployment) {
                return Err(ChangeError::NoDeployment(deployment.clone()));
            }
            config.deployments.retain(|it| it.id != *deployment);
        }
        ConfigChange::Replace { config: new } => *config = Config::clone(new),
    }
    Ok(())
}

fn retire_profile(config: &mut Config, profile: &ProfileId) -> Result<(), ChangeError> {
    if config.profile(profile).is_none() {
        return Err(ChangeError::NoProfile(profile.clone()));
    }
    let of_it = config.services.iter().filter(|it| it.profile == *profile);
    let services: Vec<ServiceId> = of_it.map(|it| it.id.clone()).collect();
    if !services.is_empty() {
        return Err(ChangeError::ProfileInUse { profile: profile.clone(), services });
    }
    config.profiles.retain(|it| it.id != *profile);
    Ok(())
}

fn list<T: ToString>(items: &[T]) -> String {
    let items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.join(", ")
}

#[cfg(test)]
mod tests;
