//! Patches that a control host sends to followers, encoded once for all followers at the same version.

use std::collections::VecDeque;
use std::sync::Arc;

use bilberryloft_state::compression;
use bilberryloft_state::document::DocumentPatch;

use crate::document_transfer::INLINE_BYTES_MAX;
use crate::document_transfer::PART_BYTES_MAX;
use crate::document_transfer::Part;
use crate::document_transfer::PartRequest;

/// Most encoded patches that are kept.
const PATCHES_MAX: usize = 32;
/// Most bytes of encoded patches that are kept; the latest one is kept whatever its size.
const BYTES_MAX: usize = 512 << 10;

#[derive(Debug)]
struct EncodedPatch {
    /// Version that the follower holds.
    held_version: Option<u64>,
    base_version: u64,
    version: u64,
    checksum: u32,
    bytes: Vec<u8>,
}

/// Encoded patches by the versions that they lead from and to.
#[derive(Debug, Default)]
pub struct DocumentSender {
    patches: VecDeque<Arc<EncodedPatch>>,
}

impl DocumentSender {
    /// Returns the whole patch from a held version to the newest one, if it is short enough to go with other news.
    /// `build` returns the patch from a held version to the newest one.
    pub fn short_patch(
        &mut self,
        held_version: Option<u64>,
        newest_version: u64,
        build: impl FnOnce(Option<u64>) -> Option<DocumentPatch>,
    ) -> Option<Part> {
        let patch = self.newest(held_version, newest_version, build)?;
        (patch.bytes.len() <= INLINE_BYTES_MAX).then(|| patch.part(0, INLINE_BYTES_MAX))
    }

    /// Returns the part that a follower asks for. A patch that this host doesn't have is replaced by the one to the
    /// newest version, from its start. A host that lags behind the follower has nothing to send.
    pub fn part(
        &mut self,
        request: PartRequest,
        newest_version: Option<u64>,
        build: impl FnOnce(Option<u64>) -> Option<DocumentPatch>,
    ) -> Part {
        let held_version = request.held_version;
        let newer = newest_version.filter(|_| newest_version > held_version);
        let Some(newer) = newer else {
            return Part::empty(newest_version.unwrap_or_default());
        };
        if let Some(patch) = request.version.and_then(|it| self.find(held_version, it)) {
            return patch.part(request.offset, PART_BYTES_MAX);
        }
        let Some(patch) = self.newest(held_version, newer, build) else {
            return Part::empty(newer);
        };
        let is_continued = request.version == Some(patch.version);
        patch.part(if is_continued { request.offset } else { 0 }, PART_BYTES_MAX)
    }

    fn newest(
        &mut self,
        held_version: Option<u64>,
        newest_version: u64,
        build: impl FnOnce(Option<u64>) -> Option<DocumentPatch>,
    ) -> Option<Arc<EncodedPatch>> {
        if let Some(patch) = self.find(held_version, newest_version) {
            return Some(patch);
        }
        let patch = Arc::new(EncodedPatch::new(held_version, &build(held_version)?));
        self.patches.push_back(patch.clone());
        let total = |patches: &VecDeque<Arc<EncodedPatch>>| -> usize {
            patches.iter().map(|it| it.bytes.len()).sum()
        };
        while self.patches.len() > 1
            && (self.patches.len() > PATCHES_MAX || total(&self.patches) > BYTES_MAX)
        {
            self.patches.pop_front();
        }
        Some(patch)
    }

    fn find(&self, held_version: Option<u64>, version: u64) -> Option<Arc<EncodedPatch>> {
        let is_same =
            |it: &&Arc<EncodedPatch>| it.held_version == held_version && it.version == version;
        self.patches.iter().rev().find(is_same).cloned()
    }
}

impl EncodedPatch {
    fn new(held_version: Option<u64>, patch: &DocumentPatch) -> EncodedPatch {
        // Encoding can't fail: a patch holds only numbers and strings. A follower refuses an empty patch.
        let bytes = compression::encode(patch).unwrap_or_default();
        EncodedPatch {
            held_version,
            base_version: patch.base_version,
            version: patch.version,
            checksum: crc32fast::hash(&bytes),
            bytes,
        }
    }

    fn part(&self, offset: usize, length_max: usize) -> Part {
        let offset = offset.min(self.bytes.len());
        let end = self.bytes.len().min(offset + length_max);
        Part {
            base_version: self.base_version,
            version: self.version,
            checksum: self.checksum,
            length: self.bytes.len(),
            offset,
            data: self.bytes[offset..end].to_vec(),
        }
    }
}
