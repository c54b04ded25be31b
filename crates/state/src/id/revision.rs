//! Revision of the key-value service.
//!
//! The service may be restored from an older backup. Its counter goes back then, and the
//! same numbers are given out again for other changes, in a later era. So a revision
//! includes its era, and revisions are ordered by it first.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::StoreEra;

/// Revision number of the key-value service within an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision {
    /// Era in which the service gave out the number.
    pub era: StoreEra,
    /// Number of the change.
    pub number: u64,
}

impl Revision {
    /// Revision of a service that was never restored from a backup.
    pub const fn new(number: u64) -> Self {
        Self { era: StoreEra(0), number }
    }

    /// Revision of an era.
    pub const fn of_era(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Revision after this one.
    pub const fn next(self) -> Self {
        Self { number: self.number + 1, ..self }
    }
}

/// The number alone in the first era, else era and number.
impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            StoreEra(0) => write!(f, "{}", self.number),
            era => write!(f, "{era}:{}", self.number),
        }
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(':') {
            Some((era, number)) => Ok(Self { era: era.parse()?, number: number.parse()? }),
            None => text.parse().map(Self::new),
        }
    }
}

/// Between nodes one integer, whose upper half is the era: in the first era the same
/// bytes as those of the number alone.
impl Serialize for Revision {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if !serializer.is_human_readable() {
            return (u128::from(self.era.0) << 64 | u128::from(self.number)).serialize(serializer);
        }
        match self.era {
            StoreEra(0) => self.number.serialize(serializer),
            _ => serializer.collect_str(self),
        }
    }
}

impl<'de> Deserialize<'de> for Revision {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            let packed = u128::deserialize(deserializer)?;
            let half = |it: u128| u64::try_from(it & u128::from(u64::MAX)).unwrap_or(u64::MAX);
            return Ok(Self { era: StoreEra(half(packed >> 64)), number: half(packed) });
        }
        deserializer.deserialize_any(TextOrNumber)
    }
}

struct TextOrNumber;

impl de::Visitor<'_> for TextOrNumber {
    type Value = Revision;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a revision")
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Revision, E> {
        Ok(Revision::new(number))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Revision, E> {
        text.parse().map_err(E::custom)
    }
}
