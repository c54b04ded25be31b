//! Settings of a node, read from an INI file.
//!
//! All faults of a file are reported together, each with its section, key, line,
//! value and the allowed values. Unknown keys are faults.

pub mod gateway;
mod lines;
pub mod memory_size;
pub mod reader;

use std::{net::SocketAddr, path::Path, time::Duration};

use citrongw_state::{
    config::KeyDigest,
    id::{AvailabilityZone, Region},
};

use citrongw_coordination::control::context::ControlSettings;
use citrongw_transport::{http_server::DEFAULT_MAX_CONNECTIONS, tls::TlsFiles};

use crate::error::Result;

/// Settings of one node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Region of the node.
    pub region: Region,
    /// Listen address for callers.
    pub caller_addr: SocketAddr,
    /// Listen address for other nodes, UDP and TCP.
    pub peer_addr: SocketAddr,
    /// Listen address for operators.
    pub admin_addr: SocketAddr,
    /// Digest of the operator token that is valid until the configuration defines
    /// operators.
    pub first_token_digest: Option<KeyDigest>,
    /// Address of the key-value service.
    pub store_addr: SocketAddr,
    /// Timeout of one call to the key-value service.
    pub store_timeout: Duration,
    /// Address of the platform's instance list.
    pub instance_list_addr: SocketAddr,
    /// Address of the weight store.
    pub weight_store_addr: SocketAddr,
    /// Maximum age at which a member's report is used.
    pub report_freshness: Duration,
    /// Time between refusing new requests and the stop, so that the load balancer
    /// observes it.
    pub balancer_lag: Duration,
    /// Maximum number of concurrent caller connections.
    pub max_connections: usize,
    /// Timeout for reading the body of a request.
    pub body_timeout: Duration,
    /// Certificate of the ports for callers and operators, if TLS is enabled.
    pub tls: Option<TlsFiles>,
    /// Addresses of nodes through which to join.
    pub seeds: Vec<SocketAddr>,
    /// Secrets that authenticate messages between nodes. The first one signs.
    /// Without secrets the node runs alone.
    pub peer_secrets: Vec<String>,
    /// Settings of replica control.
    pub control: ControlSettings,
    /// Log level, or a list of `target=level`.
    pub log_level: String,
}

/// Reads a settings file.
pub fn open(path: &Path) -> Result<Settings> {
    reader::load(path, parse)
}

/// Reads settings from text.
pub fn parse(text: &str) -> std::result::Result<Settings, Vec<reader::Fault>> {
    let mut reader = reader::open(text)?;
    let settings = read(&mut reader);
    reader.finish()?;
    Ok(settings)
}

fn read(reader: &mut reader::Reader<'_>) -> Settings {
    Settings {
        zone: reader.name("node", "zone").into(),
        region: reader.name("node", "region").into(),
        caller_addr: reader.addr("node", "caller-addr"),
        peer_addr: reader.addr("node", "peer-addr"),
        admin_addr: reader.addr("node", "admin-addr"),
        first_token_digest: reader.digest("admin", "first-token-digest"),
        store_addr: reader.addr("store", "addr"),
        store_timeout: reader.positive_duration("store", "timeout", Duration::from_secs(1)),
        instance_list_addr: reader.addr("platform", "instance-list-addr"),
        weight_store_addr: reader.addr("platform", "weight-store-addr"),
        report_freshness: reader.positive_duration(
            "node",
            "report-freshness",
            Duration::from_secs(2),
        ),
        balancer_lag: reader.duration("node", "balancer-lag", Duration::from_secs(2)),
        max_connections: reader.count("callers", "max-connections", DEFAULT_MAX_CONNECTIONS),
        body_timeout: reader.positive_duration("callers", "body-timeout", Duration::from_secs(10)),
        tls: read_tls(reader),
        seeds: reader.addrs("membership", "seeds"),
        peer_secrets: reader.secrets("membership", "keys"),
        control: control(reader),
        log_level: reader.log_level("log", "level", "info"),
    }
}

/// Reads the TLS section: both files must be set, or neither.
fn read_tls(reader: &mut reader::Reader<'_>) -> Option<TlsFiles> {
    let certificates = reader.path("tls", "certificates");
    let key = reader.path("tls", "key");
    match (certificates, key) {
        (Some(certificates), Some(key)) => Some(TlsFiles { certificates, key }),
        (Some(_), None) => {
            reader.missing("tls", "key", reader::FILE_ALLOWED);
            None
        }
        (None, Some(_)) => {
            reader.missing("tls", "certificates", reader::FILE_ALLOWED);
            None
        }
        (None, None) => None,
    }
}

/// Reads the settings of replica control; keys that are not set have defaults.
fn control<'a>(reader: &mut reader::Reader<'a>) -> ControlSettings {
    const SECTION: &str = "control";
    let default = ControlSettings::default();
    ControlSettings {
        objective: reader.objective(SECTION, "objective"),
        load_time: reader.positive_duration(SECTION, "load-time", default.load_time),
        max_member_wait: reader.positive_duration(SECTION, "wait-most", default.max_member_wait),
        disband_after: reader.positive_duration(SECTION, "keep-together", default.disband_after),
        mass_outage_hold: reader.positive_duration(SECTION, "dark-hold", default.mass_outage_hold),
        abandon_after: reader.positive_duration(SECTION, "abandon-after", default.abandon_after),
        drain_deadline: reader.positive_duration(SECTION, "drain-deadline", default.drain_deadline),
        change_deadline: reader.positive_duration(
            SECTION,
            "change-deadline",
            default.change_deadline,
        ),
        loads_at_once: u32::try_from(reader.count(
            SECTION,
            "loads-at-once",
            default.loads_at_once as usize,
        ))
        .unwrap_or(u32::MAX),
        ..default
    }
}

#[cfg(test)]
mod tests;
