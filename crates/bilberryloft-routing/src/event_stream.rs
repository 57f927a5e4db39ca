//! Cutting a stream of server-sent events at their ends, so that only whole events are passed on.

/// Largest event that is held until its end has come, in bytes.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// Bytes of a stream from its last whole event on.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: Vec<u8>,
    last_id: Option<u64>,
}

/// An event is larger than any that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventFramer {
    /// Takes bytes and returns all events that are whole now, as they came.
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

    /// Drops the part of an event that its target will not finish.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Whether an event has begun and not ended.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Offset behind the last blank line.
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
