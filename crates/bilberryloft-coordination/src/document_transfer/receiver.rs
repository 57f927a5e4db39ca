//! The document as one follower holds it, and the parts of the next version that have arrived.

use std::sync::Arc;

use bilberryloft_state::compression;
use bilberryloft_state::document::DocumentPatch;
use bilberryloft_state::document::StoredDocument;

use crate::document_transfer::Part;
use crate::document_transfer::PartRequest;

/// Longest encoded patch that is accepted, in bytes.
const PATCH_BYTES_MAX: usize = 64 << 20;

/// Result of receiving a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// The document was replaced by a newer version.
    Applied {
        /// Version held before.
        before: Option<u64>,
        /// Length of the encoded patch, in bytes.
        patch_bytes: usize,
    },
    /// The part was stored; the patch is not complete.
    Stored,
    /// The part is of no use: it leads to no newer version, or doesn't continue what has arrived.
    Unused,
    /// The patch is damaged or doesn't fit the document held; the whole text is asked for next.
    Damaged,
}

#[derive(Clone, Debug)]
struct Partial {
    base_version: u64,
    version: u64,
    checksum: u32,
    length: usize,
    bytes: Vec<u8>,
}

/// The document of a follower. Versions never go back, and a document is replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct DocumentReceiver {
    document: Option<Arc<StoredDocument>>,
    known_version: Option<u64>,
    /// First version that the follower has known to be in force; it takes no older one.
    first_known_version: Option<u64>,
    partial: Option<Partial>,
    needs_whole: bool,
}

impl DocumentReceiver {
    /// Returns the document held; `None` before the first one.
    pub fn document(&self) -> Option<&Arc<StoredDocument>> {
        self.document.as_ref()
    }

    /// Returns the version of the document held; `None`, which is below each version, before the first one.
    pub fn version(&self) -> Option<u64> {
        self.document.as_ref().map(|it| it.version)
    }

    /// Returns the newest version that the follower knows of.
    pub fn known_version(&self) -> Option<u64> {
        self.known_version
    }

    /// Records that a version is in force; `None` if there is no document.
    pub fn announce(&mut self, version: Option<u64>) {
        self.known_version = self.known_version.max(version);
        self.first_known_version = self.first_known_version.or(version);
    }

    /// Returns whether a version may replace the document held.
    fn is_newer(&self, version: u64) -> bool {
        Some(version) > self.version() && Some(version) >= self.first_known_version
    }

    /// Returns the request for the next part; `None` if the document is the newest one known.
    pub fn next_request(&self) -> Option<PartRequest> {
        if self.known_version <= self.version() {
            return None;
        }
        let held_version = self.version().filter(|_| !self.needs_whole);
        let version = self.partial.as_ref().map(|it| it.version);
        let offset = self.partial.as_ref().map_or(0, |it| it.bytes.len());
        Some(PartRequest { held_version, version, offset })
    }

    /// Replaces the document by a newer one; returns whether it is newer.
    pub fn replace(&mut self, document: StoredDocument) -> bool {
        let is_newer = self.is_newer(document.version);
        if is_newer {
            self.announce(Some(document.version));
            self.document = Some(Arc::new(document));
            self.partial = None;
            self.needs_whole = false;
        }
        is_newer
    }

    /// Stores a part, and applies the patch if it is complete.
    pub fn receive(&mut self, part: Part) -> Received {
        let has_patch = (1..=PATCH_BYTES_MAX).contains(&part.length);
        if !has_patch || !self.is_newer(part.version) {
            return Received::Unused;
        }
        self.announce(Some(part.version));
        if part.offset == 0 && part.data.len() == part.length {
            // A short patch doesn't disturb a longer one that is on its way.
            return self.apply(part.version, part.checksum, &part.data);
        }
        let mut partial = match self.partial.take() {
            Some(partial) if partial.is_continued_by(&part) => partial,
            _ if part.offset == 0 => Partial::new(&part),
            _ => return Received::Unused,
        };
        partial.bytes.extend_from_slice(&part.data);
        if partial.bytes.len() < partial.length {
            self.partial = Some(partial);
            return Received::Stored;
        }
        self.apply(partial.version, partial.checksum, &partial.bytes)
    }

    fn apply(&mut self, version: u64, checksum: u32, bytes: &[u8]) -> Received {
        let document = (crc32fast::hash(bytes) == checksum)
            .then(|| compression::decode::<DocumentPatch>(bytes).ok())
            .flatten()
            .and_then(|it| it.apply(self.document.as_deref()))
            .filter(|it| it.version == version);
        let before = self.version();
        let Some(document) = document else {
            self.partial = None;
            self.needs_whole = true;
            return Received::Damaged;
        };
        match self.replace(document) {
            true => Received::Applied { before, patch_bytes: bytes.len() },
            false => Received::Unused,
        }
    }
}

impl Partial {
    fn new(part: &Part) -> Partial {
        Partial {
            base_version: part.base_version,
            version: part.version,
            checksum: part.checksum,
            length: part.length,
            bytes: Vec::new(),
        }
    }

    fn is_continued_by(&self, part: &Part) -> bool {
        (self.base_version, self.version, self.checksum, self.length, self.bytes.len())
            == (part.base_version, part.version, part.checksum, part.length, part.offset)
            && self.bytes.len() + part.data.len() <= self.length
    }
}
