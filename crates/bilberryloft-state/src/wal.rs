//! Encoding and decoding of the write-ahead log. Decoding tells a torn tail from a damaged record.
//!
//! A file is the 8-byte magic, the 8-byte index of the snapshot it follows, then records. A record is
//! its length (4 bytes), a checksum of the length (4), a checksum of the payload (4), the payload, and
//! one trailer byte. All numbers are little-endian.

use std::path::Path;

use crate::error::Error;
use crate::error::Result;
use crate::member_set::MemberSet;

/// Magic number at the start of each file; its digits are the format version.
pub const MAGIC: &[u8; 8] = b"BLWAL001";
/// Size of the file header, which precedes the first record.
pub const FILE_HEADER_BYTES: usize = 16;
const RECORD_HEADER_BYTES: usize = 12;
const TRAILER: u8 = 0xA5;

/// Current term and vote of a member, which Raft must persist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term that the member has seen.
    pub term: u64,
    /// Candidate that the member voted for in that term.
    pub vote: Option<u32>,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Position in the log, from 1.
    pub index: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// Content of one log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Encoded command for the state machine; empty for the no-op entry of a new leader.
    Command(Vec<u8>),
    /// Member set of the quorum, in force from this entry on.
    Members(MemberSet),
}

impl LogEntry {
    /// Approximate size of the payload in bytes, used to bound batches.
    pub fn payload_bytes(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => command.len(),
            Payload::Members(members) => 32 * (members.voters.len() + members.learners.len()),
        }
    }
}

/// One record of the write-ahead log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalRecord {
    /// Term and vote, replacing those of earlier records.
    HardState(HardState),
    /// A log entry, appended after all earlier ones.
    Entry(LogEntry),
    /// Removes all log entries from this index on.
    Truncate {
        /// Index of the first removed entry.
        from_index: u64,
    },
    /// The member may vote: it has caught up with the log since its data folder was empty.
    MayVote,
    /// The member was told at its first start to found a quorum of these members, and may vote from then on.
    Founding(MemberSet),
}

/// Decoded content of a write-ahead log file.
#[derive(Debug, Default)]
pub struct WalContent {
    /// Index of the snapshot that the file follows; 0 for none.
    pub snapshot_index: u64,
    /// Complete records, in the order of the file.
    pub records: Vec<WalRecord>,
    /// Length in bytes of the header and all complete records.
    pub valid_bytes: u64,
    /// Length in bytes of the torn tail after them.
    pub torn_bytes: u64,
}

/// Encodes the file header.
pub fn encode_file_header(snapshot_index: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&snapshot_index.to_le_bytes());
    bytes
}

/// Encodes one record and appends it to `bytes`.
pub fn encode_record(record: &WalRecord, bytes: &mut Vec<u8>) {
    let payload = encode_payload(record);
    let length = (payload.len() as u32).to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes.push(TRAILER);
}

fn encode_payload(record: &WalRecord) -> Vec<u8> {
    let mut payload = Vec::new();
    match record {
        WalRecord::HardState(state) => {
            payload.push(1);
            payload.extend_from_slice(&state.term.to_le_bytes());
            let vote = state.vote.map_or(u64::MAX, u64::from);
            payload.extend_from_slice(&vote.to_le_bytes());
        }
        WalRecord::Entry(entry) => {
            let (kind, body) = match &entry.payload {
                Payload::Command(command) => (2, command.clone()),
                Payload::Members(members) => (4, encode_members(members)),
            };
            payload.push(kind);
            payload.extend_from_slice(&entry.term.to_le_bytes());
            payload.extend_from_slice(&entry.index.to_le_bytes());
            payload.extend_from_slice(&body);
        }
        WalRecord::Truncate { from_index } => {
            payload.push(3);
            payload.extend_from_slice(&from_index.to_le_bytes());
        }
        WalRecord::MayVote => payload.push(5),
        WalRecord::Founding(members) => {
            payload.push(6);
            payload.extend_from_slice(&encode_members(members));
        }
    }
    payload
}

/// Encodes a member set as JSON.
pub fn encode_members(members: &MemberSet) -> Vec<u8> {
    serde_json::to_vec(members).unwrap_or_default()
}

/// Decodes a whole file. A torn tail is not an error; its length is returned in [`WalContent::torn_bytes`].
///
/// Fails with [`Error::Damaged`] on any other damage.
pub fn decode_file(path: &Path, bytes: &[u8]) -> Result<WalContent> {
    let damaged = |offset: usize, detail: &str| Error::Damaged {
        path: path.to_path_buf(),
        offset: offset as u64,
        detail: detail.to_string(),
    };
    if bytes.len() < FILE_HEADER_BYTES || &bytes[..8] != MAGIC {
        return Err(damaged(0, "the file does not start with the magic of this format version"));
    }
    let mut content =
        WalContent { snapshot_index: read_u64(&bytes[8..16]), ..WalContent::default() };
    let mut offset = FILE_HEADER_BYTES;
    while offset < bytes.len() {
        match decode_record(&bytes[offset..]) {
            Decoded::Complete { record, length_bytes } => {
                content.records.push(record);
                offset += length_bytes;
            }
            Decoded::Torn => break,
            Decoded::Damaged(detail) => return Err(damaged(offset, detail)),
        }
    }
    content.valid_bytes = offset as u64;
    content.torn_bytes = (bytes.len() - offset) as u64;
    Ok(content)
}

enum Decoded {
    Complete { record: WalRecord, length_bytes: usize },
    Torn,
    Damaged(&'static str),
}

fn decode_record(bytes: &[u8]) -> Decoded {
    if bytes.len() < RECORD_HEADER_BYTES || bytes.iter().all(|it| *it == 0) {
        return Decoded::Torn;
    }
    if crc32fast::hash(&bytes[..4]) != read_u32(&bytes[4..8]) {
        return Decoded::Damaged("the length does not match its checksum");
    }
    let payload_end = RECORD_HEADER_BYTES + read_u32(&bytes[..4]) as usize;
    if bytes.len() <= payload_end {
        return Decoded::Torn;
    }
    let payload = &bytes[RECORD_HEADER_BYTES..payload_end];
    if crc32fast::hash(payload) == read_u32(&bytes[8..12]) && bytes[payload_end] == TRAILER {
        return match decode_payload(payload) {
            Some(record) => Decoded::Complete { record, length_bytes: payload_end + 1 },
            None => Decoded::Damaged("the record has an unknown kind or a malformed payload"),
        };
    }
    // An interrupted write leaves zeros up to the end of the file; a flipped bit does not.
    if bytes[payload_end..].iter().all(|it| *it == 0) {
        return Decoded::Torn;
    }
    Decoded::Damaged("the record does not match its checksum")
}

fn decode_payload(payload: &[u8]) -> Option<WalRecord> {
    let (kind, rest) = payload.split_first()?;
    match kind {
        1 if rest.len() == 16 => {
            let vote = read_u64(&rest[8..16]);
            let vote = u32::try_from(vote).ok();
            Some(WalRecord::HardState(HardState { term: read_u64(&rest[..8]), vote }))
        }
        2 if rest.len() >= 16 => Some(WalRecord::Entry(LogEntry {
            term: read_u64(&rest[..8]),
            index: read_u64(&rest[8..16]),
            payload: Payload::Command(rest[16..].to_vec()),
        })),
        4 if rest.len() >= 16 => Some(WalRecord::Entry(LogEntry {
            term: read_u64(&rest[..8]),
            index: read_u64(&rest[8..16]),
            payload: Payload::Members(serde_json::from_slice(&rest[16..]).ok()?),
        })),
        5 if rest.is_empty() => Some(WalRecord::MayVote),
        6 => Some(WalRecord::Founding(serde_json::from_slice(rest).ok()?)),
        3 if rest.len() == 8 => Some(WalRecord::Truncate { from_index: read_u64(rest) }),
        _ => None,
    }
}

fn read_u32(bytes: &[u8]) -> u32 {
    let mut array = [0; 4];
    array.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(array)
}

fn read_u64(bytes: &[u8]) -> u64 {
    let mut array = [0; 8];
    array.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(array)
}
