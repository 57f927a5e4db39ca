//! Arenas with small copyable keys, and digests that identify strings and requests.

use sha2::Digest;
use sha2::Sha256;

/// Key of one target in an [`Arena`]; valid only for the arena that returned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetKey(u32);

impl TargetKey {
    /// Index of the key's slot in its arena.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Append-only store of values that are looked up by [`TargetKey`]; slots are never reused.
#[derive(Debug, Clone)]
pub struct Arena<T> {
    slots: Vec<T>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Arena { slots: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Stores a value and returns its key.
    pub fn insert(&mut self, value: T) -> TargetKey {
        let key = TargetKey(self.slots.len() as u32);
        self.slots.push(value);
        key
    }

    /// Returns the value of a key.
    pub fn get(&self, key: TargetKey) -> &T {
        &self.slots[key.index()]
    }

    /// Returns the value of a key for mutation.
    pub fn get_mut(&mut self, key: TargetKey) -> &mut T {
        &mut self.slots[key.index()]
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the arena holds no values.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

/// Digest of a string: the first 16 bytes of its SHA-256, as two big-endian numbers.
pub fn digest_pair(text: &str) -> (u64, u64) {
    let digest = Sha256::digest(text.as_bytes());
    let read_u64 = |offset: usize| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest[offset..offset + 8]);
        u64::from_be_bytes(bytes)
    };
    (read_u64(0), read_u64(8))
}

/// Digest of several byte strings: the first 8 bytes of a SHA-256 over their lengths and contents, little-endian.
pub fn digest(parts: &[&[u8]]) -> i64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize()[..8]);
    i64::from_le_bytes(first)
}
