//! The document of routes and services as an operator sent it; what it says is read where it is applied.

use serde::Deserialize;
use serde::Serialize;

/// One version of the document, kept byte for byte so that it can be read back as it was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Version that the operator gave it; 0 before the first.
    pub version: u64,
    /// The text.
    pub text: String,
}

impl StoredDocument {
    /// Takes a document of a higher version; any other changes nothing. Returns whether it was taken.
    pub fn replace(&mut self, document: StoredDocument) -> bool {
        let is_newer = document.version > self.version;
        if is_newer {
            *self = document;
        }
        is_newer
    }
}
