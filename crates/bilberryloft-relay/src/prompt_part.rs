//! Parts of a prompt that requests share, such as the instructions of a team or a document that many ask about.

use bilberryloft_state::key::digest;

use crate::dialect::Dialect;

/// Largest number of shared parts that are kept of a prompt, the last ones.
const SHARED_PARTS_MAX: usize = 32;

/// Part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Digest of the service and the id, by which the part is known at all entries.
    pub key: i64,
    /// Id that the caller sent.
    pub id: String,
}

/// Returns the shared parts that a request to a service names, in order.
pub fn shared_parts(header: &str, service: &str, dialect: &dyn Dialect) -> Vec<PromptPart> {
    let ids = dialect.decode_shared_parts(header);
    let skipped = ids.len().saturating_sub(SHARED_PARTS_MAX);
    let part = |id: &&str| PromptPart { key: part_key(service, id), id: id.to_string() };
    ids[skipped..].iter().map(part).collect()
}

fn part_key(service: &str, id: &str) -> i64 {
    digest(&[b"prompt part", service.as_bytes(), id.as_bytes()])
}

/// Returns the ids of parts, for the log.
pub fn part_ids(parts: &[PromptPart]) -> Vec<&str> {
    parts.iter().map(|it| it.id.as_str()).collect()
}
