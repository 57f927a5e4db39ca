//! Encoding and decoding of the write-ahead log. Decoding tells a torn tail from a damaged record.
//!
//! A file is the 8-byte magic, the 8-byte index of the snapshot it follows, then records. A record is
//! its length (4 bytes), a checksum of the length (4), a checksum of the payload (4), the payload, and
//! one trailer byte. All numbers are little-endian.
//!
//! Each write begins with a record that holds its own offset, and is made only when all before it is synced. So a bad
//! record before such a one is damage. After the last one, a part that a loss of power took reads as zeros, in whole
//! sectors or up to the end of the file, and is a torn tail; a flipped bit is damage. Files of earlier versions have no
//! such records.

use std::path::Path;

use crate::error::Error;
use crate::error::Result;
use crate::member_set::MemberSet;

/// Magic number at the start of each file; its digits are the format version.
pub const MAGIC: &[u8; 8] = b"BLWAL001";
/// Size of the file header, which precedes the first record.
pub const FILE_HEADER_BYTES: usize = 16;
const RECORD_HEADER_BYTES: usize = 12;
/// Last byte of each record; not zero, so that a file that ends with a zero has lost its end.
const TRAILER: u8 = 0xA5;
/// Kind of the record at the start of each write.
const WRITE_START: u8 = 6;
/// Size of that record.
const WRITE_START_BYTES: usize = RECORD_HEADER_BYTES + WRITE_START_PAYLOAD_BYTES + 1;
const WRITE_START_PAYLOAD_BYTES: usize = 9;
/// Size of the length of a record, which is never zero.
const LENGTH_BYTES: usize = 4;
/// Smallest part of a file that a disk writes, or loses, as a whole.
const SECTOR_BYTES: usize = 512;

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
    frame_payload(&encode_payload(record), bytes);
}

/// Encodes the record at the start of a write at an offset of the file, and appends it to `bytes`. Everything before
/// that offset must be synced when the record is written.
pub fn encode_write_start(offset: u64, bytes: &mut Vec<u8>) {
    let mut payload = vec![WRITE_START];
    payload.extend_from_slice(&offset.to_le_bytes());
    frame_payload(&payload, bytes);
}

fn frame_payload(payload: &[u8], bytes: &mut Vec<u8>) {
    let length = (payload.len() as u32).to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
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
            payload.push(7);
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
    let mut has_write_starts = false;
    while offset < bytes.len() {
        let fault = match decode_record(bytes, offset) {
            Decoded::Complete { record, length_bytes } => {
                content.records.push(record);
                offset += length_bytes;
                continue;
            }
            Decoded::WriteStart => {
                has_write_starts = true;
                offset += WRITE_START_BYTES;
                continue;
            }
            Decoded::Torn => None,
            Decoded::Damaged(detail) => Some(detail),
        };
        if has_write_start_after(bytes, offset) {
            return Err(damaged(offset, fault.unwrap_or("a synced record is cut short")));
        }
        match fault {
            Some(detail) if !has_write_starts || !has_lost_part(bytes, offset) => {
                return Err(damaged(offset, detail));
            }
            _ => break,
        }
    }
    content.valid_bytes = offset as u64;
    content.torn_bytes = (bytes.len() - offset) as u64;
    Ok(content)
}

/// Whether a write after an offset shows that all up to it was synced.
fn has_write_start_after(bytes: &[u8], offset: usize) -> bool {
    let last = bytes.len().saturating_sub(WRITE_START_BYTES);
    (offset + 1..=last).any(|it| is_write_start(bytes, it))
}

/// Whether bytes from a bad record on are missing as after a loss of power, and not only changed.
fn has_lost_part(bytes: &[u8], offset: usize) -> bool {
    let is_zero = |part: &[u8]| part.iter().all(|it| *it == 0);
    let sector_end = (offset / SECTOR_BYTES + 1) * SECTOR_BYTES;
    let has_lost_end = bytes.ends_with(&[0]);
    if has_lost_end || sector_end >= bytes.len() {
        return has_lost_end;
    }
    let (first, rest) = bytes[offset..].split_at(sector_end - offset);
    let has_lost_start = is_zero(first)
        && (first.len() >= LENGTH_BYTES
            || rest.starts_with(&write_start_at(offset)[first.len()..]));
    has_lost_start || rest.chunks(SECTOR_BYTES).any(is_zero)
}

fn is_write_start(bytes: &[u8], offset: usize) -> bool {
    bytes[offset..].starts_with(&(WRITE_START_PAYLOAD_BYTES as u32).to_le_bytes())
        && bytes[offset..].starts_with(&write_start_at(offset))
}

fn write_start_at(offset: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(WRITE_START_BYTES);
    encode_write_start(offset as u64, &mut bytes);
    bytes
}

enum Decoded {
    Complete { record: WalRecord, length_bytes: usize },
    WriteStart,
    Torn,
    Damaged(&'static str),
}

fn decode_record(file: &[u8], offset: usize) -> Decoded {
    let bytes = &file[offset..];
    if is_write_start(file, offset) {
        return Decoded::WriteStart;
    }
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
        7 => Some(WalRecord::Founding(serde_json::from_slice(rest).ok()?)),
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
