//! One file of a simulated disk: its durable content and the writes after it.

/// Size in bytes of the parts of a write of which a loss of power keeps any.
const SECTOR_BYTES: usize = 512;

/// A change of a file that is not durable yet.
#[derive(Clone, Debug)]
enum Change {
    Write { at: usize, bytes: Vec<u8> },
    Truncate { length: usize },
}

/// A file of a simulated disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryFile {
    durable: Vec<u8>,
    content: Vec<u8>,
    changes: Vec<Change>,
}

impl MemoryFile {
    /// Content as processes see it.
    pub fn content(&self) -> &[u8] {
        &self.content
    }

    /// Writes bytes at the end.
    pub fn append(&mut self, bytes: &[u8]) {
        self.changes.push(Change::Write { at: self.content.len(), bytes: bytes.to_vec() });
        self.content.extend_from_slice(bytes);
    }

    /// Cuts the file.
    pub fn truncate(&mut self, length: usize) {
        self.changes.push(Change::Truncate { length });
        self.content.resize(length, 0);
    }

    /// Makes the changes durable.
    pub fn sync(&mut self) {
        for change in std::mem::take(&mut self.changes) {
            match change {
                Change::Write { at, bytes } => write_at(&mut self.durable, at, &bytes),
                Change::Truncate { length } => self.durable.resize(length, 0),
            }
        }
    }

    /// Gives the changes up: processes see them still, and no later sync makes them durable.
    pub fn fail_sync(&mut self) {
        self.changes.clear();
    }

    /// Keeps, loses or tears each change that is not durable.
    pub fn lose_power(&mut self, random: &mut fastrand::Rng, keep_nothing: bool) {
        for change in std::mem::take(&mut self.changes) {
            if !keep_nothing {
                keep_part(&mut self.durable, &change, random);
            }
        }
        self.content = self.durable.clone();
    }
}

fn keep_part(durable: &mut Vec<u8>, change: &Change, random: &mut fastrand::Rng) {
    let (at, bytes) = match change {
        Change::Truncate { length } => {
            if random.bool() {
                durable.truncate(*length);
            }
            return;
        }
        Change::Write { at, bytes } => (*at, bytes),
    };
    match random.u8(0..5) {
        0 => {}
        1 => write_at(durable, at, bytes),
        2 => write_at(durable, at, &bytes[..random.usize(0..=bytes.len())]),
        3 => {
            write_at(durable, at, &bytes[..random.usize(0..=bytes.len())]);
            extend_to(durable, at + bytes.len());
        }
        _ => write_sectors(durable, at, bytes, random),
    }
}

/// Writes any of the sectors that a write touches.
fn write_sectors(durable: &mut Vec<u8>, at: usize, bytes: &[u8], random: &mut fastrand::Rng) {
    let mut from = 0;
    while from < bytes.len() {
        let sector_end = (at + from) / SECTOR_BYTES * SECTOR_BYTES + SECTOR_BYTES;
        let to = bytes.len().min(sector_end - at);
        if random.bool() {
            write_at(durable, at + from, &bytes[from..to]);
        }
        from = to;
    }
}

fn write_at(durable: &mut Vec<u8>, at: usize, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    extend_to(durable, at + bytes.len());
    durable[at..at + bytes.len()].copy_from_slice(bytes);
}

fn extend_to(durable: &mut Vec<u8>, length: usize) {
    if durable.len() < length {
        durable.resize(length, 0);
    }
}
