//! The routes and services document as an operator sent it. It is stored as text and parsed where it is applied.

use serde::Deserialize;
use serde::Serialize;

/// One version of the document. The text is kept byte for byte, so that operators read back what they sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Version number set by the operator; 0 before the first document.
    pub version: u64,
    /// Text of the document.
    pub text: String,
}

impl StoredDocument {
    /// Replaces the document by one of a higher version and ignores any other. Returns whether it was replaced.
    pub fn replace(&mut self, document: StoredDocument) -> bool {
        let is_newer = document.version > self.version;
        if is_newer {
            *self = document;
        }
        is_newer
    }
}
