//! Splits a stream of server-sent events at event boundaries, so that only complete events in their order are forwarded.

/// Largest event that is buffered until it is complete, in bytes.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// Buffers the incomplete event at the end of a stream, and checks that the ids of events increase.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: Vec<u8>,
    last_id: Option<u64>,
    /// Whether the next event must show by its id that it follows the last one.
    needs_id: bool,
}

/// Reason for which a stream must not be forwarded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// An incomplete event exceeds the largest buffered size.
    EventTooLarge,
    /// The id of an event is not higher than the one before.
    OutOfOrder,
    /// The first event of a continuation has no id.
    NoId,
}

impl EventFramer {
    /// Creates a framer for a stream that goes on after an event, or that starts from its first event.
    pub fn after(last_id: Option<u64>) -> EventFramer {
        EventFramer { partial: Vec::new(), last_id, needs_id: last_id.is_some() }
    }

    /// Appends bytes of the stream and returns all events that are now complete, unchanged.
    ///
    /// Fails if an incomplete event exceeds 256 KiB, or if one of the complete events doesn't follow the one before it;
    /// then none of them counts as received.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, StreamFault> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial) else {
            return match self.partial.len() > EVENT_BYTES_MAX {
                true => Err(StreamFault::EventTooLarge),
                false => Ok(Vec::new()),
            };
        };
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        let mut order = EventOrder { last_id: self.last_id, needs_id: self.needs_id };
        order.check(&complete)?;
        self.last_id = order.last_id;
        self.needs_id = order.needs_id;
        Ok(complete)
    }

    /// Prepares for a continuation by another target: discards an incomplete event, whose target will not send the rest.
    pub fn begin_continuation(&mut self) {
        self.partial.clear();
        self.needs_id = self.last_id.is_some();
    }

    /// Returns the size of the incomplete event at the end of the stream.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
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

/// Place in the order of events.
struct EventOrder {
    last_id: Option<u64>,
    needs_id: bool,
}

impl EventOrder {
    /// Checks that complete events follow the last one, and each the one before it.
    fn check(&mut self, events: &[u8]) -> Result<(), StreamFault> {
        let mut has_content = false;
        for line in events.split(|it| *it == b'\n') {
            match line.trim_ascii_end() {
                [] if has_content && self.needs_id => return Err(StreamFault::NoId),
                [] => has_content = false,
                // A comment is no part of an event.
                [b':', ..] => {}
                line => {
                    has_content = true;
                    self.check_line(line)?;
                }
            }
        }
        Ok(())
    }

    fn check_line(&mut self, line: &[u8]) -> Result<(), StreamFault> {
        let Some(id) = event_id(line) else {
            return Ok(());
        };
        if self.last_id.is_some_and(|last| id <= last) {
            return Err(StreamFault::OutOfOrder);
        }
        self.last_id = Some(id);
        self.needs_id = false;
        Ok(())
    }
}

/// Returns the number in a line that holds the id of an event.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
