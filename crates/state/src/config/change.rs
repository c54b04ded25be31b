//! Changes that operators make to the configuration, as pure edits of the
//! document.
//!
//! A change other than [`ConfigChange::Replace`] covers one item, so that
//! concurrent changes of different items by two operators do not overwrite each
//! other.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{CallClass, Config, ConfigFault, Deployment, PlainService, Profile, Role};
use crate::id::{DeploymentId, ProfileId, ServiceId};

/// Change of one item of the document, or of the whole document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum ConfigChange {
    /// Adds a profile whose name is not in use.
    CreateProfile {
        /// Complete new profile.
        profile: Profile,
    },
    /// Replaces the profile of the same name.
    EditProfile {
        /// Complete new profile.
        profile: Profile,
    },
    /// Removes a profile that no service runs under.
    RetireProfile {
        /// Name of the profile.
        profile: ProfileId,
    },
    /// Assigns a service to a profile.
    AssignService {
        /// Name of the service.
        service: ServiceId,
        /// Name of the profile.
        profile: ProfileId,
    },
    /// Adds a deployment or replaces the one of the same name.
    PutDeployment {
        /// Complete new deployment.
        deployment: Deployment,
    },
    /// Removes a deployment.
    RemoveDeployment {
        /// Name of the deployment.
        deployment: DeploymentId,
    },
    /// Replaces the whole document.
    Replace {
        /// Complete new document.
        config: Box<Config>,
    },
}

/// Reason for which a change cannot be applied to a document.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ChangeError {
    /// A profile of this name exists already.
    #[display("profile {_0} exists already")]
    ProfileExists(ProfileId),
    /// No profile has this name.
    #[display("profile {_0} does not exist")]
    NoProfile(ProfileId),
    /// Services still run under the profile.
    #[display("profile {profile} is in use by {}", join_all(services))]
    ProfileInUse {
        /// Name of the profile.
        profile: ProfileId,
        /// Services that run under it.
        services: Vec<ServiceId>,
    },
    /// No service has this name.
    #[display("service {_0} does not exist")]
    NoService(ServiceId),
    /// No deployment has this name.
    #[display("deployment {_0} does not exist")]
    NoDeployment(DeploymentId),
    /// The resulting document has faults.
    #[display("{}", join_all(_0))]
    Faults(Vec<ConfigFault>),
}

impl std::error::Error for ChangeError {}

/// Risk of a change, which an operator has to confirm.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{_0}")]
pub struct Risk(pub String);

/// Returns the document with the change applied, if it has no faults.
pub fn apply(config: &Config, change: &ConfigChange) -> Result<Config, ChangeError> {
    let mut changed = config.clone();
    apply_to(&mut changed, change)?;
    let faults = changed.check();
    if faults.is_empty() { Ok(changed) } else { Err(ChangeError::Faults(faults)) }
}

/// Lists the risks of changing `before` into `after`.
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

fn apply_to(config: &mut Config, change: &ConfigChange) -> Result<(), ChangeError> {
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
    let users = config.services.iter().filter(|it| it.profile == *profile);
    let services: Vec<ServiceId> = users.map(|it| it.id.clone()).collect();
    if !services.is_empty() {
        return Err(ChangeError::ProfileInUse { profile: profile.clone(), services });
    }
    config.profiles.retain(|it| it.id != *profile);
    Ok(())
}

fn join_all<T: ToString>(items: &[T]) -> String {
    let items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.join(", ")
}

#[cfg(test)]
mod tests;
