//! The routes and services document as an operator sent it. It is stored as text and parsed where it is applied.

mod history;
mod text_delta;

use serde::Deserialize;
use serde::Serialize;

use crate::document::history::DocumentHistory;
pub use crate::document::text_delta::TextDelta;

/// One version of the document. The text is kept byte for byte, so that operators read back what they sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Version number set by the operator, who may begin with any.
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

/// Base version of a patch that holds the whole text.
const WHOLE_TEXT: u64 = 0;

/// Change from one version of the document to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPatch {
    /// Version that the patch applies to; 0 if it holds the whole text. No patch is made from version 0.
    pub base_version: u64,
    /// Version that it leads to.
    pub version: u64,
    /// Checksum of the text that it leads to.
    pub checksum: u32,
    /// Change of the text.
    pub delta: TextDelta,
}

impl DocumentPatch {
    /// Returns the patch that holds the whole text of a document.
    pub fn whole(document: &StoredDocument) -> DocumentPatch {
        let delta = TextDelta::whole(&document.text);
        DocumentPatch::new(WHOLE_TEXT, document, delta)
    }

    /// Returns the patch that leads from one document to another.
    pub fn between(base: &StoredDocument, document: &StoredDocument) -> DocumentPatch {
        if base.version == WHOLE_TEXT {
            return DocumentPatch::whole(document);
        }
        let delta = TextDelta::between(&base.text, &document.text);
        DocumentPatch::new(base.version, document, delta)
    }

    /// Creates a patch whose delta leads from a base version to a document.
    fn new(base_version: u64, document: &StoredDocument, delta: TextDelta) -> DocumentPatch {
        let (version, checksum) = (document.version, document.checksum());
        DocumentPatch { base_version, version, checksum, delta }
    }

    /// Applies the patch to a document; `None` if it was made for another version or text.
    pub fn apply(&self, base: Option<&StoredDocument>) -> Option<StoredDocument> {
        let base_text = match base {
            _ if self.base_version == WHOLE_TEXT => "",
            Some(base) if self.base_version == base.version => &base.text,
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
    document: Option<StoredDocument>,
    history: DocumentHistory,
}

impl DocumentStore {
    /// Returns the present document; `None` before the first one.
    pub fn document(&self) -> Option<&StoredDocument> {
        self.document.as_ref()
    }

    /// Returns the version of the present document; `None`, which is below each version, before the first one.
    pub fn version(&self) -> Option<u64> {
        self.document.as_ref().map(|it| it.version)
    }

    /// Replaces the document by one of a higher version and ignores any other. Returns whether it was replaced.
    pub fn replace(&mut self, document: StoredDocument) -> bool {
        if Some(document.version) <= self.version() {
            return false;
        }
        if let Some(present) = &self.document
            && present.version != WHOLE_TEXT
        {
            let delta = TextDelta::between(&present.text, &document.text);
            self.history.record(present.version, delta);
        }
        self.document = Some(document);
        true
    }

    /// Applies a patch that leads to a higher version. Returns false if it leads to a higher version but doesn't fit the
    /// present document; any other patch is ignored.
    pub fn patch(&mut self, patch: DocumentPatch) -> bool {
        if Some(patch.version) <= self.version() {
            return true;
        }
        match patch.apply(self.document.as_ref()) {
            Some(document) if patch.base_version == WHOLE_TEXT => self.replace(document),
            Some(document) => {
                self.history.record(patch.base_version, patch.delta);
                self.document = Some(document);
                true
            }
            None => false,
        }
    }

    /// Returns the patch from a version, `None` for none, to the present document. It holds the whole text if the version is
    /// not known. Returns `None` if there is no document.
    pub fn patch_since(&self, held: Option<u64>) -> Option<DocumentPatch> {
        let document = self.document.as_ref()?;
        let change = held.and_then(|held| Some((held, self.history.since(held)?)));
        Some(match change.filter(|it| it.1.bytes() < document.text.len()) {
            Some((held, delta)) => DocumentPatch::new(held, document, delta),
            None => DocumentPatch::whole(document),
        })
    }
}

/// In a snapshot stands only the present document. One without a text, which no operator can send, stands for none.
impl Serialize for DocumentStore {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let none = || StoredDocument { version: 0, text: String::new() };
        self.document.clone().unwrap_or_else(none).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for DocumentStore {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let document = StoredDocument::deserialize(deserializer)?;
        let document = (!document.text.is_empty()).then_some(document);
        Ok(DocumentStore { document, history: DocumentHistory::default() })
    }
}

fn checksum(text: &str) -> u32 {
    crc32fast::hash(text.as_bytes())
}
