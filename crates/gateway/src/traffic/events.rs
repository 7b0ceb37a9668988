//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// The maximum size of an event; a stream with a larger one is treated as broken.
pub(super) const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
const ID_FIELD: &[u8] = b"id:";

/// Buffers bytes and returns complete events.
#[derive(Debug, Clone, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    ids: EventIds,
}

/// An event of a resumed stream does not follow the last one that the caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an event does not follow the last one")]
pub(crate) struct OutOfOrder;

/// The ids of a stream's events so far.
#[derive(Debug, Clone, Copy, Default)]
struct EventIds {
    last: Option<u64>,
    /// The largest difference between the ids of two consecutive events.
    max_step: u64,
    run: Run,
}

/// The server's stream that the next event belongs to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Run {
    /// The first one, which is forwarded as it is.
    #[default]
    First,
    /// A resumed one before its first event.
    Resumed,
    /// A resumed one whose first event followed the last one before.
    Continued,
}

impl EventIds {
    /// Records an event's id.
    ///
    /// The first event of a resumed stream must have an id that follows the last one, and the ids of further
    /// events must increase.
    fn record(&mut self, id: Option<u64>) -> Result<(), OutOfOrder> {
        let step = id.map(|id| id.checked_sub(self.last.unwrap_or_default()));
        match (self.run, step) {
            (Run::First, _) | (Run::Continued, None) => {}
            (Run::Resumed, Some(Some(step))) if (1..=self.max_step.max(1)).contains(&step) => {
                self.run = Run::Continued;
            }
            (Run::Continued, Some(Some(step))) if step > 0 => {}
            _ => return Err(OutOfOrder),
        }
        self.max_step = self.max_step.max(step.flatten().unwrap_or_default());
        self.last = id.or(self.last);
        Ok(())
    }
}

/// A sequence of complete events.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CompleteEvents {
    pub(crate) bytes: Bytes,
    pub(crate) count: u32,
}

impl EventSplitter {
    /// Creates a splitter for a caller that has received the events up to an id.
    pub(crate) fn after(last_id: Option<u64>) -> Self {
        let ids = EventIds {
            last: last_id,
            ..EventIds::default()
        };
        Self {
            pending: BytesMut::new(),
            ids,
        }
    }

    /// Appends bytes and returns the events that are now complete, if any.
    ///
    /// # Errors
    ///
    /// [`OutOfOrder`] if one of them does not continue a resumed stream; none of them is returned then.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, OutOfOrder> {
        // The end of an event may begin in the bytes buffered before.
        let mut scan_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let mut ids = self.ids;
        let mut end = 0;
        let mut count = 0;
        while let Some(len) = next_end(&self.pending[scan_from..]) {
            let event_end = scan_from + len;
            ids.record(event_id(&self.pending[end..event_end]))?;
            end = event_end;
            scan_from = event_end;
            count += 1;
        }
        if end == 0 {
            return Ok(None);
        }
        self.ids = ids;
        let bytes = self.pending.split_to(end).freeze();
        Ok(Some(CompleteEvents { bytes, count }))
    }

    /// Returns the id of the last complete event that has one, or of the last one that the caller received
    /// before.
    pub(crate) const fn last_id(&self) -> Option<u64> {
        self.ids.last
    }

    /// Returns a splitter for another server's events, which are to follow the last complete one.
    pub(crate) fn resumed(&self) -> Self {
        let run = match self.ids.last {
            Some(_) => Run::Resumed,
            None => Run::First,
        };
        Self {
            pending: BytesMut::new(),
            ids: EventIds { run, ..self.ids },
        }
    }

    /// Returns whether the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.pending.len()
    }
}

/// Returns the length up to and including the first empty line.
fn next_end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + found + 1;
        match &bytes[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

/// Returns the id of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
