//! Encoding and decoding of snapshot files.
//!
//! A file is the 8-byte magic, the 8-byte index and the 8-byte term of the last log entry that it covers, a 4-byte
//! checksum of index, term, member set and data, the 4-byte length of the member set, the member set as JSON,
//! then the data. All numbers are little-endian.

use std::path::Path;

use crate::error::Error;
use crate::error::Result;
use crate::member_set::MemberSet;
use crate::wal::encode_members;

const MAGIC: &[u8; 8] = b"BLSNP001";
const HEADER_BYTES: usize = 32;

/// Snapshot of the state machine, which replaces all log entries up to an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last log entry that the snapshot covers.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// Member set of the quorum at that entry.
    pub members: MemberSet,
    /// Encoded state machine.
    pub data: Vec<u8>,
}

/// Encodes a snapshot file.
pub fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + snapshot.data.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&snapshot.last_index.to_le_bytes());
    bytes.extend_from_slice(&snapshot.last_term.to_le_bytes());
    bytes.extend_from_slice(&checksum(snapshot).to_le_bytes());
    let members = encode_members(&snapshot.members);
    bytes.extend_from_slice(&(members.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&members);
    bytes.extend_from_slice(&snapshot.data);
    bytes
}

/// Decodes a snapshot file.
///
/// Fails with [`Error::Damaged`] on any damage, since an atomically written snapshot is never torn.
pub fn decode(path: &Path, bytes: &[u8]) -> Result<Snapshot> {
    let damaged = |offset: u64, detail: &str| Error::Damaged {
        path: path.to_path_buf(),
        offset,
        detail: detail.to_string(),
    };
    if bytes.len() < HEADER_BYTES || &bytes[..8] != MAGIC {
        return Err(damaged(0, "the file does not start with the magic of this format version"));
    }
    let read_u64 = |offset: usize| {
        let mut array = [0; 8];
        array.copy_from_slice(&bytes[offset..offset + 8]);
        u64::from_le_bytes(array)
    };
    let read_u32 = |offset: usize| {
        let mut array = [0; 4];
        array.copy_from_slice(&bytes[offset..offset + 4]);
        u32::from_le_bytes(array)
    };
    let data_start = HEADER_BYTES + read_u32(28) as usize;
    if bytes.len() < data_start {
        return Err(damaged(28, "the member set is cut short"));
    }
    let members = serde_json::from_slice(&bytes[HEADER_BYTES..data_start])
        .map_err(|_| damaged(HEADER_BYTES as u64, "the member set can't be read"))?;
    let data = bytes[data_start..].to_vec();
    let snapshot = Snapshot { last_index: read_u64(8), last_term: read_u64(16), members, data };
    if checksum(&snapshot) != read_u32(24) {
        return Err(damaged(24, "the snapshot does not match its checksum"));
    }
    Ok(snapshot)
}

fn checksum(snapshot: &Snapshot) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&snapshot.last_index.to_le_bytes());
    hasher.update(&snapshot.last_term.to_le_bytes());
    hasher.update(&encode_members(&snapshot.members));
    hasher.update(&snapshot.data);
    hasher.finalize()
}
