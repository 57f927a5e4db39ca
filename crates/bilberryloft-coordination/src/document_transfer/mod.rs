//! Transfer of the document to its followers: what a control host sends, and what a follower asks for next.
//!
//! A follower gets a patch from its own version to the newest one, in parts. A part that has arrived is kept, also when
//! the next one comes from another host.

mod receiver;
mod sender;

pub use crate::document_transfer::receiver::DocumentReceiver;
pub use crate::document_transfer::receiver::Received;
pub use crate::document_transfer::sender::DocumentSender;

/// Largest part, in bytes. A part holds up other messages on a connection only for as long as it takes to send.
pub const PART_BYTES_MAX: usize = 32 << 10;
/// Longest patch that is sent at once with the news of a version, in bytes.
pub const INLINE_BYTES_MAX: usize = 16 << 10;

/// Request of a follower for a part of a patch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRequest {
    /// Version that the follower holds; `None` if it needs the whole text.
    pub held_version: Option<u64>,
    /// Version to which the patch leads whose first parts the follower has; `None` for the newest.
    pub version: Option<u64>,
    /// Number of bytes that the follower has of that patch.
    pub offset: usize,
}

/// Part of an encoded patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Version that the patch applies to; 0 if it holds the whole text.
    pub base_version: u64,
    /// Version that it leads to.
    pub version: u64,
    /// Checksum of the whole encoded patch. Equal patches of different hosts are encoded alike.
    pub checksum: u32,
    /// Length of the whole encoded patch, in bytes; 0 if there is none.
    pub length: usize,
    /// Position of the part in it, in bytes.
    pub offset: usize,
    /// Bytes of the part.
    pub data: Vec<u8>,
}

impl Part {
    /// Returns a part without data, which says only which version the host has.
    fn empty(version: u64) -> Part {
        Part { base_version: 0, version, checksum: 0, length: 0, offset: 0, data: Vec::new() }
    }
}
