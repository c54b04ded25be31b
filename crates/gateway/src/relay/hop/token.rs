//! Token that authenticates a relayed request: `FROM-TO-ATTEMPTS-TAG`, in hexadecimal.
//!
//! It only states that a gateway relays the request. The caller's key is checked again,
//! so a token that is sent twice gives no more than the request itself.

use citrongw_state::id::NodeId;
use citrongw_transport::peer_auth::PeerKeys;

/// Domain of the tag.
const TAG_DOMAIN: &[u8] = b"relayed request";

/// Sender, receiver and the attempts that were made so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HopToken {
    pub(super) from: NodeId,
    pub(super) to: NodeId,
    pub(super) attempts: u32,
}

impl HopToken {
    /// Encodes the token for a request with this path and query.
    pub(super) fn sign(&self, keys: &PeerKeys, path: &str) -> String {
        let text = format!("{:x}-{:x}-{:x}", self.from.0, self.to.0, self.attempts);
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
        let mut parts = text.split('-');
        let mut next = || u64::from_str_radix(parts.next()?, 16).ok();
        let (from, to, attempts) = (NodeId(next()?), NodeId(next()?), next()?);
        Some(Self { from, to, attempts: u32::try_from(attempts).ok()? })
    }
}

#[cfg(test)]
mod tests;
