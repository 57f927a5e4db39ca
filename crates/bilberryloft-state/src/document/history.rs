//! The latest changes of the document, so that a follower is sent only what changed since its version.

use std::collections::VecDeque;

use crate::document::text_delta::TextDelta;

/// Most changes that are kept.
const CHANGES_MAX: usize = 512;
/// Most bytes of changes that are kept; the latest one is kept whatever its size.
const BYTES_MAX: usize = 512 << 10;

#[derive(Clone, Debug)]
struct DocumentChange {
    from: u64,
    delta: TextDelta,
}

/// Consecutive changes up to the present version of the document.
#[derive(Clone, Debug, Default)]
pub struct DocumentHistory {
    changes: VecDeque<DocumentChange>,
    bytes: usize,
}

impl DocumentHistory {
    /// Adds the change from the present version to the next one.
    pub fn record(&mut self, from: u64, delta: TextDelta) {
        self.bytes += delta.bytes();
        self.changes.push_back(DocumentChange { from, delta });
        while self.changes.len() > 1 && (self.changes.len() > CHANGES_MAX || self.bytes > BYTES_MAX)
        {
            self.bytes -= self.changes.pop_front().map_or(0, |it| it.delta.bytes());
        }
    }

    /// Returns the change from a version to the latest one, without what later changes undo or overwrite; `None` if the
    /// version is not known any more.
    pub fn since(&self, version: u64) -> Option<TextDelta> {
        let first = self.changes.iter().position(|it| it.from == version)?;
        let mut changes = self.changes.range(first..);
        let mut joined = changes.next()?.delta.clone();
        for change in changes {
            joined = joined.then(&change.delta)?;
        }
        Some(joined)
    }
}
