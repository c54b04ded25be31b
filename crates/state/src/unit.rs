//! Units of sizes and rates.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sub};
use serde::{Deserialize, Serialize};

macro_rules! unit {
    ($($(#[$doc:meta])* $name:ident($repr:ty, $format:literal);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize, Display,
            From, Into, FromStr, Add, AddAssign, Sub,
        )]
        #[serde(transparent)]
        #[display($format, _0)]
        pub struct $name(pub $repr);
    )*};
}

unit! {
    /// Size in bytes.
    Bytes(u64, "{} B");
    /// Number of tokens.
    Tokens(u64, "{} tokens");
    /// Rate of requests.
    RequestsPerSecond(f64, "{} requests/s");
    /// Rate of tokens.
    TokensPerSecond(f64, "{} tokens/s");
    /// Fraction of a whole, 0 to 1.
    Share(f64, "{}");
}
