//! Deserialization of chunks through one flat struct. For a tagged enum, serde
//! would buffer every field until the tag is known; the flat struct is filled
//! in place.

use derive_more::{Display, Error};
use serde::Deserialize;

use super::{Chunk, LoadReport};

/// Chunk with the fields of both kinds.
#[derive(Debug, Deserialize)]
pub(super) struct WireChunk {
    kind: Kind,
    sequence: Option<u64>,
    text: Option<String>,
    tokens: Option<u64>,
    reason: Option<String>,
    load: Option<LoadReport>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Token,
    End,
}

/// A field that the kind of chunk requires is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("missing field {field}")]
pub(super) struct MissingField {
    field: &'static str,
}

impl TryFrom<WireChunk> for Chunk {
    type Error = MissingField;

    fn try_from(wire: WireChunk) -> Result<Self, MissingField> {
        let missing = |field| MissingField { field };
        Ok(match wire.kind {
            Kind::Token => Self::Token {
                sequence: wire.sequence.ok_or(missing("sequence"))?,
                text: wire.text.ok_or(missing("text"))?,
            },
            Kind::End => Self::End {
                tokens: wire.tokens.ok_or(missing("tokens"))?,
                reason: wire.reason.ok_or(missing("reason"))?,
                load: wire.load,
            },
        })
    }
}

#[cfg(test)]
mod tests;
