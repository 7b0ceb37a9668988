//! Server-sent events, read piece by piece.

/// One event with its name, empty if it has none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The name.
    pub event: String,
    /// The data, without the line's end.
    pub data: String,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct SseReader {
    buf: Vec<u8>,
}

impl SseReader {
    /// Takes more bytes and gives the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.buf.drain(..end + 2).collect();
            events.extend(parse(&String::from_utf8_lossy(&block)));
        }
        events
    }
}

fn parse(block: &str) -> Option<SseEvent> {
    let mut event = SseEvent::default();
    for line in block.lines() {
        match line.split_once(':') {
            Some(("event", name)) => name.trim_start().clone_into(&mut event.event),
            Some(("data", data)) => event.data.push_str(data.strip_prefix(' ').unwrap_or(data)),
            _ => {}
        }
    }
    (event != SseEvent::default()).then_some(event)
}
