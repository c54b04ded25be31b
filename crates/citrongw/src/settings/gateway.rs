//! Settings of a gateway, read from an INI file.

use std::{net::SocketAddr, path::Path, time::Duration};

use citrongw_state::{
    cold_server::ColdBounds,
    home::ZoneRegions,
    id::{AvailabilityZone, Region},
    retry::window::RetryLimits,
};

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
    /// Region of the gateway, if it is known.
    pub region: Option<Region>,
    /// Region of each zone.
    pub zone_regions: ZoneRegions,
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
    /// How far requests may exceed what a cold server tolerates; none if cold servers are
    /// not limited.
    pub cold: Option<ColdBounds>,
    /// Whether requests that would be late are rejected before they are sent.
    pub reject_early: bool,
    /// Whether servers of engines are chosen by the cost of requests.
    pub by_cost: bool,
    /// Time that a server of another zone must gain to be chosen by cost: its delay in
    /// both directions, and what the bytes between zones cost.
    pub zone_penalty: Duration,
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
    let zone_regions = read_zone_regions(reader);
    let zone = reader.name("node", "zone").into();
    let region = |it: &str| Some(Region::from(it.trim()));
    let region = read_filled_in(reader, "node", "region", "a name", region);
    Settings {
        name: reader.name("node", "name"),
        region: region.or_else(|| zone_regions.region_of(&zone).cloned()),
        zone_regions,
        zone,
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
        cold: read_cold(reader),
        reject_early: read_switch(reader, "admission", "reject-early"),
        by_cost: read_switch(reader, "choice", "by-cost"),
        zone_penalty: reader.duration("choice", "zone-penalty", DEFAULT_ZONE_PENALTY),
        max_connections: reader.count("callers", "max-connections", 1_024),
        memory: read_filled_in(reader, "limits", "memory", MEMORY_ALLOWED, |it| it.parse().ok()),
        max_descriptors: read_filled_in(
            reader,
            "limits",
            "descriptors",
            DESCRIPTORS_ALLOWED,
            |it| it.parse().ok().filter(|it| MIN_DESCRIPTORS <= *it),
        ),
        log_level: reader.log_level("log", "level", "info"),
    }
}

fn read_zone_regions(reader: &mut Reader<'_>) -> ZoneRegions {
    let allowed = "zone=region pairs with commas between them";
    let read = read_filled_in(reader, "node", "zone-regions", allowed, |it| it.parse().ok());
    read.unwrap_or_default()
}

/// Reads an optional setting that a template fills in. A template may have no value for a
/// key: the setting is then empty, a unit alone, or still the placeholder.
fn read_filled_in<'a, T>(
    reader: &mut Reader<'a>,
    section: &'a str,
    key: &'a str,
    allowed: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let is_absent = |it: &str| it.is_empty() || it == "MB" || it.starts_with("{{");
    let parse = |it: &str| if is_absent(it) { Some(None) } else { parse(it).map(Some) };
    reader.optional(section, key, allowed, parse).flatten()
}

/// Default time that a server of another zone must gain. In the played loads 10 ms sent
/// more requests to other zones and served fewer in time, because the gateways of a zone
/// know its own servers better.
const DEFAULT_ZONE_PENALTY: Duration = Duration::from_millis(20);

/// Reads a setting that is on or off; off if it is absent.
fn read_switch<'a>(reader: &mut Reader<'a>, section: &'a str, key: &'a str) -> bool {
    let parse = |it: &str| match it {
        "on" => Some(true),
        "off" => Some(false),
        _ => None,
    };
    reader.optional(section, key, "on or off", parse).unwrap_or(false)
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

/// Reads the bounds for cold servers, which need both figures.
fn read_cold(reader: &mut Reader<'_>) -> Option<ColdBounds> {
    let mut number = |key| {
        let parse = |it: &str| it.parse().ok().filter(|it: &f64| it.is_finite() && 0.0 <= *it);
        read_filled_in(reader, "cold-servers", key, "a number from 0", parse)
    };
    let (overage, slack) = (number("overage"), number("slack"));
    Some(ColdBounds { overage: overage?, slack: slack? })
}

#[cfg(test)]
mod tests;
