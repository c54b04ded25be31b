//! Authentication of messages between nodes.
//!
//! Each message carries a keyed BLAKE3 tag. All configured keys are accepted and
//! the first one signs, so that keys can be rotated without downtime: add the
//! new key as second on all nodes, make it the first on all nodes, then remove
//! the old key. A sealed message contains sender, receiver and a sequence
//! number; the receiver keeps a replay window for each sender and drops
//! messages that it has received before.

use std::collections::HashMap;

use citrongw_protocol::peer::PEER_VERSION;
use citrongw_state::id::NodeId;
use derive_more::Display;

/// Bytes of the authentication tag.
const TAG_BYTES: usize = 16;
/// Bytes before the body: version, sender, receiver, sequence.
const HEADER_BYTES: usize = 1 + 8 + 8 + 8;
/// Bytes that sealing adds to a body.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + TAG_BYTES;
/// Maximum number of senders whose replay windows are kept.
const MAX_WINDOWS: usize = 16 * 1024;
/// Receiver id of a message to a node whose id the sender does not know yet.
pub const ANY_NODE: NodeId = NodeId(0);

/// Authentication keys of an installation; the first one signs.
#[derive(Clone)]
pub struct PeerKeys {
    keys: Vec<[u8; blake3::KEY_LEN]>,
}

impl std::fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PeerKeys({})", self.keys.len())
    }
}

/// Derives keys from the secrets in the settings, in their order; the first one
/// signs. Returns `None` if there is no secret.
pub fn derive_keys(secrets: &[String]) -> Option<PeerKeys> {
    let derive =
        |secret: &String| blake3::derive_key("citrongw peer messages v1", secret.as_bytes());
    let keys: Vec<_> = secrets.iter().map(derive).collect();
    (!keys.is_empty()).then_some(PeerKeys { keys })
}

/// Generates a random key.
pub fn random_key() -> PeerKeys {
    PeerKeys { keys: vec![rand::random()] }
}

impl PeerKeys {
    /// Computes the tag with the first key.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        tag(&self.keys[0], parts)
    }

    /// Whether the tag is valid for any of the keys.
    pub fn verify(&self, parts: &[&[u8]], received: &[u8]) -> bool {
        self.keys.iter().any(|key| {
            let Ok(received) = <[u8; TAG_BYTES]>::try_from(received) else { return false };
            let computed = tag(key, parts);
            // Compares in constant time, so that the duration doesn't reveal the
            // first difference.
            computed.iter().zip(received).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
        })
    }
}

fn tag(key: &[u8; blake3::KEY_LEN], parts: &[&[u8]]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    let mut tag = [0; TAG_BYTES];
    hasher.finalize_xof().fill(&mut tag);
    tag
}

/// Reason why a message was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Rejected {
    /// It is not a message of this protocol version, or cannot be decoded.
    #[display("malformed")]
    Malformed,
    /// Its tag is valid for none of the keys.
    #[display("unauthenticated")]
    Unauthenticated,
    /// It was sent to another node, by this node, or to [`ANY_NODE`] although its
    /// kind requires the receiver's id.
    #[display("misdirected")]
    Misdirected,
    /// It was received before, or is older than the replay window.
    #[display("replayed")]
    Replayed,
}

/// Authenticated message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenedMessage<'a> {
    /// Node that sent it.
    pub from: NodeId,
    /// Whether it was sent to this node's id, not to [`ANY_NODE`].
    pub direct: bool,
    /// Body without header and tag.
    pub body: &'a [u8],
}

/// Signs the datagrams that a node sends and verifies those that it receives.
#[derive(Debug)]
pub struct Sealer {
    keys: PeerKeys,
    node: NodeId,
    sequence: u64,
    opened_count: u64,
    windows: HashMap<NodeId, ReplayWindow>,
}

/// Creates a sealer for the node.
pub fn open_sealer(keys: PeerKeys, node: NodeId) -> Sealer {
    Sealer { keys, node, sequence: 0, opened_count: 0, windows: HashMap::new() }
}

impl Sealer {
    /// Keys that messages are signed and verified with.
    pub fn keys(&self) -> &PeerKeys {
        &self.keys
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: PeerKeys) {
        self.keys = keys;
    }

    /// Adds header and tag to a body for the node `to`.
    pub fn seal(&mut self, to: NodeId, body: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let mut sealed = Vec::with_capacity(body.len() + OVERHEAD_BYTES);
        sealed.push(PEER_VERSION);
        sealed.extend(self.node.0.to_le_bytes());
        sealed.extend(to.0.to_le_bytes());
        sealed.extend(self.sequence.to_le_bytes());
        sealed.extend(body);
        let tag = self.keys.sign(&[&sealed]);
        sealed.extend(tag);
        sealed
    }

    /// Verifies a sealed message and returns its sender and body.
    pub fn open<'a>(&mut self, sealed: &'a [u8]) -> Result<OpenedMessage<'a>, Rejected> {
        let signed_len = sealed.len().checked_sub(TAG_BYTES).ok_or(Rejected::Malformed)?;
        let (signed, tag) = sealed.split_at(signed_len);
        let Some((header, body)) = signed.split_at_checked(HEADER_BYTES) else {
            return Err(Rejected::Malformed);
        };
        if header[0] != PEER_VERSION {
            return Err(Rejected::Malformed);
        }
        if !self.keys.verify(&[signed], tag) {
            return Err(Rejected::Unauthenticated);
        }
        let (from, to) = (NodeId(read_u64(header, 1)), NodeId(read_u64(header, 9)));
        if (to != self.node && to != ANY_NODE) || from == self.node {
            return Err(Rejected::Misdirected);
        }
        if !self.window(from).mark_received(read_u64(header, 17)) {
            return Err(Rejected::Replayed);
        }
        Ok(OpenedMessage { from, direct: to == self.node, body })
    }

    fn window(&mut self, from: NodeId) -> &mut ReplayWindow {
        if MAX_WINDOWS <= self.windows.len() && !self.windows.contains_key(&from) {
            // Removes the half that was used least recently, whose senders have most
            // likely left.
            let mut used: Vec<u64> = self.windows.values().map(|it| it.last_used).collect();
            let median = used.len() / 2;
            let bound = *used.select_nth_unstable(median).1;
            self.windows.retain(|_, it| bound < it.last_used);
        }
        self.opened_count += 1;
        let window = self.windows.entry(from).or_default();
        window.last_used = self.opened_count;
        window
    }
}

fn read_u64(header: &[u8], at: usize) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&header[at..at + 8]);
    u64::from_le_bytes(bytes)
}

/// Replay window of one sender: the highest sequence number received, and a
/// bitmap of the last 128.
#[derive(Debug, Default)]
struct ReplayWindow {
    highest: u64,
    seen: u128,
    last_used: u64,
}

impl ReplayWindow {
    /// Marks a sequence number as received. Returns false if it was marked before
    /// or lies below the window.
    fn mark_received(&mut self, sequence: u64) -> bool {
        if self.highest < sequence {
            let shift = sequence - self.highest;
            self.seen = if shift < 128 { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let back = self.highest - sequence;
        if sequence == 0 || 128 <= back || self.seen & (1 << back) != 0 {
            return false;
        }
        self.seen |= 1 << back;
        true
    }
}

#[cfg(test)]
mod tests;
