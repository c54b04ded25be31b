//! Digests by which a request that crashes backend servers is recognised: those of
//! the parts of its prompt that other requests share, and that of its content, which
//! a repeat has as well.

use std::sync::OnceLock;

use citrongw_state::id::{Fingerprint, OrganisationId, PlainServiceId};

use super::call::Call;

/// Digests of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct Signatures {
    shared_parts: Vec<Fingerprint>,
    content: OnceLock<Fingerprint>,
}

impl Signatures {
    /// Digests of the shared parts of a prompt: all but the last one.
    pub(super) fn of_prompt(service: &PlainServiceId, parts: &[String]) -> Self {
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let mut shared_parts: Vec<Fingerprint> =
            shared.iter().map(|part| digest(&[service.as_str(), part])).collect();
        shared_parts.sort_unstable();
        shared_parts.dedup();
        Self { shared_parts, content: OnceLock::new() }
    }

    /// Digests of the shared parts of the prompt.
    pub(super) fn shared_parts(&self) -> &[Fingerprint] {
        &self.shared_parts
    }
}

/// All digests of a request. That of its content is computed once it is needed.
pub(super) fn all_of(call: &Call) -> Vec<Fingerprint> {
    let mut all = call.signatures.shared_parts.clone();
    let content = call.signatures.content.get_or_init(|| {
        let organisation = call.holder.as_ref().map(|it| &it.organisation);
        digest(&[
            call.service.as_str(),
            call.method.as_str(),
            call.uri.path_and_query().map_or("/", |it| it.as_str()),
            organisation.map_or("", OrganisationId::as_str),
            &call.body.hash().to_hex(),
        ])
    });
    all.push(*content);
    all
}

fn digest(fields: &[&str]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        // The length separates the fields.
        hasher.update(&field.len().to_le_bytes()).update(field.as_bytes());
    }
    let mut bytes = [0; 16];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint(u128::from_le_bytes(bytes))
}
