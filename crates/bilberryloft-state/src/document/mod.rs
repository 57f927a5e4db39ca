//! The routes and services document as an operator sent it. It is stored as text and parsed where it is applied.

mod history;
mod text_delta;

use serde::Deserialize;
use serde::Serialize;

use crate::document::history::DocumentHistory;
pub use crate::document::text_delta::TextDelta;

/// One version of the document. The text is kept byte for byte, so that operators read back what they sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Version number set by the operator; 0 before the first document.
    pub version: u64,
    /// Text of the document.
    pub text: String,
}

impl StoredDocument {
    /// Returns the checksum of the text.
    pub fn checksum(&self) -> u32 {
        checksum(&self.text)
    }
}

/// Change from one version of the document to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPatch {
    /// Version that the patch applies to; 0 for an empty document.
    pub base_version: u64,
    /// Version that it leads to.
    pub version: u64,
    /// Checksum of the text that it leads to.
    pub checksum: u32,
    /// Change of the text.
    pub delta: TextDelta,
}

impl DocumentPatch {
    /// Returns the patch that leads to a document from an empty one.
    pub fn whole(document: &StoredDocument) -> DocumentPatch {
        let delta = TextDelta::whole(&document.text);
        DocumentPatch::new(0, document, delta)
    }

    /// Returns the patch that leads from one document to another.
    pub fn between(base: &StoredDocument, document: &StoredDocument) -> DocumentPatch {
        let delta = TextDelta::between(&base.text, &document.text);
        DocumentPatch::new(base.version, document, delta)
    }

    /// Creates a patch whose delta leads from a base version to a document.
    pub fn new(base_version: u64, document: &StoredDocument, delta: TextDelta) -> DocumentPatch {
        let (version, checksum) = (document.version, document.checksum());
        DocumentPatch { base_version, version, checksum, delta }
    }

    /// Applies the patch to a document; `None` if it was made for another version or text.
    pub fn apply(&self, base: &StoredDocument) -> Option<StoredDocument> {
        let base_text = match self.base_version {
            0 => "",
            version if version == base.version => &base.text,
            _ => return None,
        };
        let text = self.delta.apply(base_text)?;
        let is_intact = checksum(&text) == self.checksum;
        is_intact.then_some(StoredDocument { version: self.version, text })
    }
}

/// The present document with its latest changes. Versions never go back.
#[derive(Clone, Debug, Default)]
pub struct DocumentStore {
    document: StoredDocument,
    history: DocumentHistory,
}

impl DocumentStore {
    /// Returns the present document.
    pub fn document(&self) -> &StoredDocument {
        &self.document
    }

    /// Replaces the document by one of a higher version and ignores any other. Returns whether it was replaced.
    pub fn replace(&mut self, document: StoredDocument) -> bool {
        if document.version <= self.document.version {
            return false;
        }
        let delta = TextDelta::between(&self.document.text, &document.text);
        self.set(document, delta);
        true
    }

    /// Applies a patch that leads to a higher version. Returns false if it leads to a higher version but doesn't fit the
    /// present document; any other patch is ignored.
    pub fn patch(&mut self, patch: DocumentPatch) -> bool {
        if patch.version <= self.document.version {
            return true;
        }
        match patch.apply(&self.document) {
            Some(document) if patch.base_version == self.document.version => {
                self.set(document, patch.delta);
                true
            }
            Some(document) => self.replace(document),
            None => false,
        }
    }

    /// Returns the patch from a version to the present document. It holds the whole text if the version is not known.
    pub fn patch_since(&self, version: u64) -> DocumentPatch {
        match self.history.since(version).filter(|it| it.bytes() < self.document.text.len()) {
            Some(delta) => DocumentPatch::new(version, &self.document, delta),
            None => DocumentPatch::whole(&self.document),
        }
    }

    fn set(&mut self, document: StoredDocument, delta: TextDelta) {
        // A follower without a document gets the whole text anyway.
        if self.document.version > 0 {
            self.history.record(self.document.version, delta);
        }
        self.document = document;
    }
}

/// In a snapshot stands only the present document.
impl Serialize for DocumentStore {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.document.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for DocumentStore {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let document = StoredDocument::deserialize(deserializer)?;
        Ok(DocumentStore { document, history: DocumentHistory::default() })
    }
}

fn checksum(text: &str) -> u32 {
    crc32fast::hash(text.as_bytes())
}
