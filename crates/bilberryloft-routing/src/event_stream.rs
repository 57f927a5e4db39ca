//! Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded.

/// Largest event that is buffered until it is complete, in bytes.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// Buffers the incomplete event at the end of a stream.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: Vec<u8>,
    last_id: Option<u64>,
}

/// Error for an event that exceeds the largest buffered size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventFramer {
    /// Appends bytes of the stream and returns all events that are now complete, unchanged.
    ///
    /// Fails with [`EventTooLarge`] if an incomplete event exceeds 256 KiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLarge> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial) else {
            return match self.partial.len() > EVENT_BYTES_MAX {
                true => Err(EventTooLarge),
                false => Ok(Vec::new()),
            };
        };
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Discards an incomplete event, whose target will not send the rest.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns whether the stream ends in an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the offset after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes.windows(2).rposition(|it| it == b"\n\n").map(|at| at + 2);
    let crlf_end = bytes.windows(4).rposition(|it| it == b"\r\n\r\n").map(|at| at + 4);
    lf_end.max(crlf_end)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|it| *it == b'\n').rev();
    let value = lines.into_iter().find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
