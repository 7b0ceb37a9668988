//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// The maximum size of an event; a stream with a larger one is treated as broken.
pub(super) const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
const ID_FIELD: &[u8] = b"id:";

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

/// A sequence of complete events.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CompleteEvents {
    pub(crate) bytes: Bytes,
    pub(crate) count: u32,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete, if any.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<CompleteEvents> {
        // The end of an event may begin in the bytes buffered before.
        let mut from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        while let Some(len) = next_end(&self.pending[from..]) {
            end = from + len;
            from = end;
            count += 1;
        }
        if end == 0 {
            return None;
        }
        let bytes = self.pending.split_to(end).freeze();
        self.last_id = last_id(&bytes).or(self.last_id);
        Some(CompleteEvents { bytes, count })
    }

    /// Returns the id of the last complete event that has one.
    pub(crate) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub(crate) fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards the bytes of an incomplete event after its stream was interrupted.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
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

fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
