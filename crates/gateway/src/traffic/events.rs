//! Cuts a stream of server-sent events at their ends.

use bytes::{Bytes, BytesMut};

/// The longest event; what is longer is no event.
pub(super) const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
const ID_FIELD: &[u8] = b"id:";

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

/// Some whole events.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CompleteEvents {
    pub(crate) bytes: Bytes,
    pub(crate) count: u32,
}

impl EventSplitter {
    /// Takes bytes and gives the events that are whole with them.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<CompleteEvents> {
        // An end may begin in the bytes that came before.
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

    /// The id of the last whole event.
    pub(crate) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the unfinished event is longer than any event may be.
    pub(crate) fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Whether bytes of an unfinished event wait.
    pub(crate) fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops an unfinished event, whose run broke off.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }
}

/// The length up to and with the first empty line.
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
