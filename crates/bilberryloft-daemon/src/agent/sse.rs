//! Splitting a stream of server-sent events into single events.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event in bytes; a longer one is forwarded in parts.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Splits a byte stream at the blank lines that end events.
#[derive(Debug, Default)]
pub struct SseSplitter {
    buffer: BytesMut,
}

impl SseSplitter {
    /// Appends a chunk and returns the events that it completes, with their blank lines.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<Bytes> {
        let mut searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(length) = find_event_end(&self.buffer, searched) {
            events.push(self.buffer.split_to(length).freeze());
            searched = 0;
        }
        if self.buffer.len() > EVENT_MAX_BYTES {
            events.push(self.buffer.split().freeze());
        }
        events
    }

    /// Returns the bytes left over when the stream has ended.
    pub fn finish(&mut self) -> Option<Bytes> {
        (!self.buffer.is_empty()).then(|| self.buffer.split().freeze())
    }
}

fn find_event_end(buffer: &[u8], from: usize) -> Option<usize> {
    for offset in from..buffer.len() {
        if buffer[offset..].starts_with(b"\n\n") {
            return Some(offset + 2);
        }
        if buffer[offset..].starts_with(b"\r\n\r\n") {
            return Some(offset + 4);
        }
    }
    None
}
