//! Settings of a gateway, read from an INI file.

use std::{net::SocketAddr, path::Path, time::Duration};

use citrongw_state::{id::AvailabilityZone, retry::window::RetryLimits};

use super::{
    memory_size::MemorySize,
    reader::{self, Fault, Reader},
};
use crate::error::Result;

/// Settings of one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the gateway in logs.
    pub name: String,
    /// Availability zone of the gateway.
    pub zone: AvailabilityZone,
    /// Listen address for callers.
    pub caller_addr: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub ready_addr: SocketAddr,
    /// Listen address for datagrams and, over TCP, relayed requests of other gateways.
    pub peer_addr: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub metrics_addr: SocketAddr,
    /// Address of the key-value service.
    pub store_addr: SocketAddr,
    /// Timeout of one call to the key-value service.
    pub store_timeout: Duration,
    /// Time after which a replica that lost a member fails by itself, including a
    /// margin.
    pub stall_time: Duration,
    /// Time between becoming unready and the stop, so that the load balancer
    /// observes it.
    pub balancer_lag: Duration,
    /// Time from the request to stop until the process must have ended.
    pub grace: Duration,
    /// Limits of retries, shared by all gateways.
    pub retries: RetryLimits,
    /// Maximum number of concurrent caller connections.
    pub max_connections: usize,
    /// Memory of the machine; without it the memory of callers is not limited.
    pub memory: Option<MemorySize>,
    /// Descriptors that the process may open; without it connections are limited only
    /// by `max_connections`.
    pub max_descriptors: Option<usize>,
    /// Log level, or a list of `target=level`.
    pub log_level: String,
}

/// Reads a settings file.
pub fn open(path: &Path) -> Result<Settings> {
    reader::load(path, parse)
}

/// Reads settings from text.
pub fn parse(text: &str) -> std::result::Result<Settings, Vec<Fault>> {
    let mut reader = reader::open(text)?;
    let settings = read(&mut reader);
    reader.finish()?;
    Ok(settings)
}

/// Margin added to the time after which a replica fails, for its last step and for
/// the difference between the clocks of both sides.
const STALL_MARGIN: Duration = Duration::from_millis(700);

const MEMORY_ALLOWED: &str = "a size from 16MB such as 112MB";
const DESCRIPTORS_ALLOWED: &str = "a number from 128";
/// Lowest limit on descriptors: below it the reserve for the key-value service, gateways
/// and servers leaves none to callers.
const MIN_DESCRIPTORS: usize = 128;

fn read(reader: &mut Reader<'_>) -> Settings {
    let stall = reader.positive_duration("control", "stall-time", Duration::from_secs(6));
    Settings {
        name: reader.name("node", "name"),
        zone: reader.name("node", "zone").into(),
        caller_addr: reader.addr("node", "caller-addr"),
        ready_addr: reader.addr("node", "ready-addr"),
        peer_addr: reader.addr("node", "peer-addr"),
        metrics_addr: reader.addr("node", "metrics-addr"),
        store_addr: reader.addr("store", "addr"),
        store_timeout: reader.positive_duration("store", "timeout", Duration::from_secs(1)),
        stall_time: stall + STALL_MARGIN,
        balancer_lag: reader.duration("node", "balancer-lag", Duration::from_millis(2_500)),
        grace: reader.positive_duration("node", "grace", Duration::from_secs(8)),
        retries: read_retries(reader),
        max_connections: reader.count("callers", "max-connections", 1_024),
        memory: reader.optional("limits", "memory", MEMORY_ALLOWED, |it| it.parse().ok()),
        max_descriptors: reader.optional("limits", "descriptors", DESCRIPTORS_ALLOWED, |it| {
            it.parse().ok().filter(|it| MIN_DESCRIPTORS <= *it)
        }),
        log_level: reader.log_level("log", "level", "info"),
    }
}

/// Default ratio of retries to requests: one in ten, the same as in the node's own
/// retry budget.
const DEFAULT_RATIO: f64 = 0.1;
/// Default number of additional retries per window.
const DEFAULT_SLACK: f64 = 10.0;
/// Default window of the retry limits.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);

fn read_retries(reader: &mut Reader<'_>) -> RetryLimits {
    let mut number = |key, default| {
        let parse = |it: &str| it.parse().ok().filter(|it: &f64| it.is_finite() && 0.0 <= *it);
        reader.optional("retries", key, "a number from 0", parse).unwrap_or(default)
    };
    let (ratio, slack) = (number("ratio", DEFAULT_RATIO), number("slack", DEFAULT_SLACK));
    let window = reader.positive_duration("retries", "window", DEFAULT_WINDOW);
    RetryLimits { ratio, slack, window }
}

#[cfg(test)]
mod tests;
