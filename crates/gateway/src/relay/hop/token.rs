//! Token that authenticates a relayed request: `FROM-TO-ATTEMPTS-CONFIG-TAG`, in
//! hexadecimal. Former builds send none of `CONFIG`, and don't read it.
//!
//! It only states that a gateway relays the request, and by which configuration. The
//! caller's key is checked again, so a token that is sent twice gives no more than the
//! request itself.

use citrongw_state::id::NodeId;
use citrongw_transport::peer_auth::PeerKeys;

/// Domain of the tag.
const TAG_DOMAIN: &[u8] = b"relayed request";
/// Beginning of a token that former builds reject, because it is no hexadecimal number.
const CONFIG_CHECK_MARK: char = 'v';

/// Sender, receiver and the attempts that were made so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HopToken {
    pub(super) from: NodeId,
    pub(super) to: NodeId,
    pub(super) attempts: u32,
    /// Version of the sender's configuration; none from a former build.
    pub(super) config: Option<u64>,
}

/// Builds that accept a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcceptedBy {
    /// All builds.
    All,
    /// Builds that compare the versions of both configurations.
    CheckingConfig,
}

impl HopToken {
    /// Encodes the token for a request with this path and query.
    pub(super) fn sign(&self, keys: &PeerKeys, path: &str, accepted_by: AcceptedBy) -> String {
        let mut text = format!("{:x}-{:x}-{:x}", self.from.0, self.to.0, self.attempts);
        if let Some(config) = self.config {
            text.push_str(&format!("-{config:x}"));
        }
        if accepted_by == AcceptedBy::CheckingConfig {
            text.insert(0, CONFIG_CHECK_MARK);
        }
        let tag = keys.sign(&[TAG_DOMAIN, text.as_bytes(), b"\n", path.as_bytes()]);
        let tag = u128::from_be_bytes(tag);
        format!("{text}-{tag:x}")
    }

    /// Decodes a token. None if it is not valid for a request with this path and query.
    pub(super) fn verify(token: &str, keys: &PeerKeys, path: &str) -> Option<Self> {
        let (text, tag) = token.rsplit_once('-')?;
        let tag = u128::from_str_radix(tag, 16).ok()?.to_be_bytes();
        if !keys.verify(&[TAG_DOMAIN, text.as_bytes(), b"\n", path.as_bytes()], &tag) {
            return None;
        }
        let text = text.strip_prefix(CONFIG_CHECK_MARK).unwrap_or(text);
        let mut numbers = text.split('-').map(|it| u64::from_str_radix(it, 16).ok());
        let (from, to) = (NodeId(numbers.next()??), NodeId(numbers.next()??));
        let attempts = u32::try_from(numbers.next()??).ok()?;
        let config = match numbers.next() {
            Some(config) => Some(config?),
            None => None,
        };
        Some(Self { from, to, attempts, config })
    }
}

#[cfg(test)]
mod tests;
