//! Regions to which the requests of a route or of an organisation are confined.

use std::{collections::BTreeMap, str::FromStr};

use derive_more::{Display, Error};

use crate::id::{AvailabilityZone, Region};

/// Region of each availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneRegions {
    regions: BTreeMap<AvailabilityZone, Region>,
}

/// Text is not a list of zones with their regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not a list of zones with their regions")]
pub struct InvalidZoneRegions;

impl FromStr for ZoneRegions {
    type Err = InvalidZoneRegions;

    /// Reads `zone=region` pairs with commas between them. A colon may take the place of
    /// the equals sign, names may be quoted, and braces may enclose the list, so that a
    /// template can insert a map in the usual notations.
    fn from_str(text: &str) -> Result<Self, InvalidZoneRegions> {
        let text = text.trim();
        let inner = text.strip_prefix('{').and_then(|it| it.strip_suffix('}')).unwrap_or(text);
        let name = |it: &str| {
            let name = it.trim().trim_matches(['"', '\'']).trim();
            let is_valid = !name.is_empty() && !name.contains(char::is_whitespace);
            is_valid.then(|| name.to_owned())
        };
        let mut regions = BTreeMap::new();
        for pair in inner.split(',').filter(|it| !it.trim().is_empty()) {
            let (zone, region) = pair.split_once(['=', ':']).ok_or(InvalidZoneRegions)?;
            let zone = name(zone).ok_or(InvalidZoneRegions)?;
            let region = name(region).ok_or(InvalidZoneRegions)?;
            regions.insert(zone.into(), region.into());
        }
        Ok(Self { regions })
    }
}

impl ZoneRegions {
    /// Region of a zone, if it is known.
    pub fn region_of(&self, zone: &AvailabilityZone) -> Option<&Region> {
        self.regions.get(zone)
    }
}

/// Regions to which one request is confined.
#[derive(Debug, Clone, Copy)]
pub struct Homes<'a> {
    /// Region of each zone. Without any, requests are not confined.
    pub regions: &'a ZoneRegions,
    /// Home regions of the route; any region if there are none.
    pub route: &'a [Region],
    /// Home regions of the organisation; any region if there are none.
    pub organisation: &'a [Region],
}

impl Homes<'_> {
    /// Whether the request may reach servers of a zone. A zone without a known region is
    /// in no home.
    pub fn allows(&self, zone: &AvailabilityZone) -> bool {
        if !self.is_confined() {
            return true;
        }
        self.regions.region_of(zone).is_some_and(|region| {
            let is_in = |homes: &[Region]| homes.is_empty() || homes.contains(region);
            is_in(self.route) && is_in(self.organisation)
        })
    }

    /// Whether the request may be relayed through a gateway of a zone. `own` is the region
    /// of the gateway that its caller uses.
    pub fn allows_relay(&self, zone: &AvailabilityZone, own: Option<&Region>) -> bool {
        let region = self.regions.region_of(zone);
        self.allows(zone) || (region.is_some() && region == own)
    }

    fn is_confined(&self) -> bool {
        let has_homes = !self.route.is_empty() || !self.organisation.is_empty();
        has_homes && !self.regions.regions.is_empty()
    }
}

#[cfg(test)]
mod tests;
