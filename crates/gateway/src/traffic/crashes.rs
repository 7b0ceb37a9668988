//! Detects and rejects requests that crash the servers that run them.

use std::sync::Arc;

use carawayseam_types::{Digest, Millis};
use compact_str::{CompactString, format_compact};

use super::exchange::Exchange;
use super::response::{Reason, Refusal};
use crate::shared::{Assignment, lock};
use crate::sockets;

/// The retry delay for a request that crashes servers; an early retry would be rejected again.
const RETRY_AFTER_POISON: Millis = Millis(5_000);
/// A server that lost a response and accepts no connection within this time is considered crashed.
const CRASH_CHECK_TIMEOUT: Millis = Millis(250);
/// Estimated size of the hashed content in addition to the body.
const CONTENT_OVERHEAD_BYTES: usize = 256;

impl Exchange {
    /// Returns the digest that identifies the request if it is sent again under another id.
    fn content(&self) -> Digest {
        let mut buf = Vec::with_capacity(self.body.len() + CONTENT_OVERHEAD_BYTES);
        buf.extend_from_slice(self.uri.to_string().as_bytes());
        if let Some(organisation) = self.organisation_name() {
            buf.extend_from_slice(organisation.as_str().as_bytes());
        }
        for part in self.head.prompt.iter().flat_map(|prompt| &prompt.parts) {
            buf.extend_from_slice(&part.id.to_le_bytes());
        }
        buf.extend_from_slice(&self.body);
        Digest::of(&buf)
    }

    pub(super) fn reject_poison(&self) -> Result<(), Refusal> {
        let poison = lock(&self.shared.poison);
        if poison.is_empty() || !poison.is_blocked(self.shared.now(), self.content()) {
            return Ok(());
        }
        Err(Refusal::with_retry_after(Reason::Poison, RETRY_AFTER_POISON))
    }

    /// Clears suspected crashes of the request after a complete response.
    pub(super) fn clear_suspicion(&self) {
        if lock(&self.shared.poison).is_empty() {
            return;
        }
        let content = self.content();
        lock(&self.shared.poison).clear(content);
    }

    /// Checks whether the server that lost the response still accepts connections; if not, records a crash
    /// caused by this request.
    ///
    /// `events` is the number of events that the server sent before.
    pub(super) fn check_for_crash(&self, assignment: &Assignment, events: u32) {
        let shared = Arc::clone(&self.shared);
        let (engine, address) = (assignment.engine.clone(), assignment.address);
        let content = self.content();
        let parts = self.part_list();
        let id = self.head.id.clone();
        tokio::spawn(async move {
            if sockets::connect(address, CRASH_CHECK_TIMEOUT, CRASH_CHECK_TIMEOUT)
                .await
                .is_ok()
            {
                shared.metrics.count("engine_crash_checks", "server-alive");
                log::info!(request = id.as_deref(), engine:% = engine; "backend server lost a response and still accepts connections");
                return;
            }
            shared.metrics.count("engine_crash_checks", "crashed");
            let now = shared.now();
            let crashes = lock(&shared.poison).record_crash(now, content, &engine);
            log::info!(
                request = id.as_deref(), engine:% = engine, content:% = content, crashes = crashes,
                parts = parts.as_str(), events = events;
                "backend server crashed while it ran a request"
            );
        });
    }

    /// Returns the ids of the prompt's parts in order, for logs.
    fn part_list(&self) -> CompactString {
        let parts = self.head.prompt.iter().flat_map(|prompt| &prompt.parts);
        let ids: Vec<CompactString> = parts.map(|part| format_compact!("{:x}", part.id)).collect();
        ids.join(",").into()
    }
}
