//! Authentication of messages between nodes.
//!
//! Each message carries a keyed BLAKE3 digest. Several keys are accepted and
//! the first signs, so that keys can be rotated without a stop: add the new key
//! everywhere as second, make it the first everywhere, remove the old one. A
//! sealed message names sender, receiver and a sequence number; the receiver
//! keeps a window for each sender and drops what it has seen.

use std::collections::HashMap;

use citrongw_protocol::peer::PEER_VERSION;
use citrongw_state::id::NodeId;
use derive_more::Display;

/// Bytes of the digest that a message carries.
const TAG_BYTES: usize = 16;
/// Bytes before the body: version, sender, receiver, sequence.
const HEADER_BYTES: usize = 1 + 8 + 8 + 8;
/// Bytes that sealing adds.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + TAG_BYTES;
/// Senders whose windows are kept.
const MAX_WINDOWS: usize = 16 * 1024;
/// Receiver of a message to a node whose id the sender does not know yet.
pub const ANY_NODE: NodeId = NodeId(0);

/// Keys of an installation, the one that signs first.
#[derive(Clone)]
pub struct PeerKeys {
    keys: Vec<[u8; blake3::KEY_LEN]>,
}

impl std::fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PeerKeys({})", self.keys.len())
    }
}

/// Derives keys from the secrets of the settings, the one that signs first.
/// None if there is no secret.
pub fn derive_keys(secrets: &[String]) -> Option<PeerKeys> {
    let derive =
        |secret: &String| blake3::derive_key("citrongw peer messages v1", secret.as_bytes());
    let keys: Vec<_> = secrets.iter().map(derive).collect();
    (!keys.is_empty()).then_some(PeerKeys { keys })
}

/// Draws a key that nobody else has.
pub fn random_key() -> PeerKeys {
    PeerKeys { keys: vec![rand::random()] }
}

impl PeerKeys {
    /// Digest by the key that signs.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        tag(&self.keys[0], parts)
    }

    /// Whether any of the keys made the digest.
    pub fn verify(&self, parts: &[&[u8]], given: &[u8]) -> bool {
        self.keys.iter().any(|key| {
            let Ok(given) = <[u8; TAG_BYTES]>::try_from(given) else { return false };
            let made = tag(key, parts);
            // The comparison of whole arrays must not end at the first
            // difference.
            made.iter().zip(given).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
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

/// Why a message was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Rejected {
    /// It is no message of this version.
    #[display("malformed")]
    Malformed,
    /// No key made its digest.
    #[display("unauthenticated")]
    Unauthenticated,
    /// It was meant for another node.
    #[display("misdirected")]
    Misdirected,
    /// It was seen before, or is too old to tell.
    #[display("replayed")]
    Replayed,
}

/// Opened message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opened<'a> {
    /// Who sent it.
    pub from: NodeId,
    /// Whether it was sent to this node's id.
    pub direct: bool,
    /// The body.
    pub body: &'a [u8],
}

/// Seals and opens the datagrams of one node.
#[derive(Debug)]
pub struct Sealer {
    keys: PeerKeys,
    node: NodeId,
    sequence: u64,
    opened: u64,
    windows: HashMap<NodeId, Window>,
}

/// Opens a sealer.
pub fn open_sealer(keys: PeerKeys, node: NodeId) -> Sealer {
    Sealer { keys, node, sequence: 0, opened: 0, windows: HashMap::new() }
}

impl Sealer {
    /// Seals a body for `to`.
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

    /// Opens a sealed message.
    pub fn open<'a>(&mut self, sealed: &'a [u8]) -> Result<Opened<'a>, Rejected> {
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
        let (from, to) = (NodeId(number(header, 1)), NodeId(number(header, 9)));
        if (to != self.node && to != ANY_NODE) || from == self.node {
            return Err(Rejected::Misdirected);
        }
        if !self.window(from).take(number(header, 17)) {
            return Err(Rejected::Replayed);
        }
        Ok(Opened { from, direct: to == self.node, body })
    }

    fn window(&mut self, from: NodeId) -> &mut Window {
        if MAX_WINDOWS <= self.windows.len() && !self.windows.contains_key(&from) {
            // Those not heard for longest are gone: forget half of them.
            let mut used: Vec<u64> = self.windows.values().map(|it| it.used_at).collect();
            let median = used.len() / 2;
            let bound = *used.select_nth_unstable(median).1;
            self.windows.retain(|_, it| bound < it.used_at);
        }
        self.opened += 1;
        let window = self.windows.entry(from).or_default();
        window.used_at = self.opened;
        window
    }
}

fn number(header: &[u8], at: usize) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&header[at..at + 8]);
    u64::from_le_bytes(bytes)
}

/// Sequence numbers seen of one sender: the highest, and the 128 up to it.
#[derive(Debug, Default)]
struct Window {
    highest: u64,
    seen: u128,
    used_at: u64,
}

impl Window {
    /// Marks a number. False if it was marked or lies below the window.
    fn take(&mut self, sequence: u64) -> bool {
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
