//! Detects and rejects requests, and parts of prompts, that crash the servers that run them.

use std::net::SocketAddr;
use std::sync::Arc;

use carawayseam_dispatch::crash_check::{CrashCheck, CrashVerdict};
use carawayseam_dispatch::engine::PromptPart;
use carawayseam_dispatch::poison_parts::{Admission, BlockedPart, CrashId, OrganisationKey, PartId};
use carawayseam_types::{Digest, Millis};
use compact_str::ToCompactString;
use tokio::time::sleep;

use super::exchange::Exchange;
use super::response::{Reason, Refusal};
use super::stream::EVENTS_OF_BEGUN_ANSWER;
use crate::request_log::join;
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
    fn clear_suspicion(&self) {
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
        let crash = CrashId::new(&assignment.engine, assignment.started);
        let content = self.content();
        let parts = self.prompt_parts().to_vec();
        let organisation = self.organisation_key();
        let id = self.head.id.clone();
        tokio::spawn(async move {
            if !has_crashed(address).await {
                shared.metrics.count("engine_crash_checks", "server-alive");
                log::info!(request = id.as_deref(), engine:% = engine; "backend server lost a response and still accepts connections");
                return;
            }
            shared.metrics.count("engine_crash_checks", "crashed");
            let now = shared.now();
            let crashes = lock(&shared.poison).record_crash(now, content, &engine);
            if events < EVENTS_OF_BEGUN_ANSWER {
                lock(&shared.poison_parts).record_crash(now, crash, organisation, &parts);
            }
            log::info!(
                request = id.as_deref(), engine:% = engine, crash:% = crash, content:% = content, crashes = crashes,
                parts = join(parts.iter().map(PartId::from)).as_str(), events = events;
                "backend server crashed while it ran a request"
            );
        });
    }

    fn prompt_parts(&self) -> &[PromptPart] {
        self.head.prompt.as_ref().map_or(&[], |prompt| &prompt.parts)
    }

    fn organisation_key(&self) -> Option<OrganisationKey> {
        self.organisation_name().map(OrganisationKey::from)
    }

    /// Refuses the request if a part of its prompt is blocked, unless this is the part's trial.
    pub(super) fn admit_parts(&mut self) -> Result<(), Refusal> {
        let shared = Arc::clone(&self.shared);
        let mut parts = lock(&shared.poison_parts);
        if parts.is_empty() {
            return Ok(());
        }
        let owns = |part: PartId| shared.peers.owner(&part.to_compact_string()).is_none();
        let admission = parts.admit(shared.now(), self.organisation_key(), self.prompt_parts(), owns);
        drop(parts);
        match admission {
            Admission::Allowed => Ok(()),
            Admission::Trial(part) => {
                self.is_part_trial = true;
                shared.metrics.count("prompt_parts", "trial");
                log::info!(request = self.head.id.as_deref(), part:% = part; "a request tries a blocked part of prompts");
                Ok(())
            }
            Admission::Blocked(blocked) => Err(self.refuse_part(blocked)),
        }
    }

    /// Refuses the request if a part of its prompt was blocked after the request was admitted.
    pub(super) fn check_parts(&self) -> Result<(), Refusal> {
        let parts = lock(&self.shared.poison_parts);
        if self.is_part_trial || parts.is_empty() {
            return Ok(());
        }
        match parts.blocked_part(self.shared.now(), self.organisation_key(), self.prompt_parts()) {
            Some(blocked) => Err(self.refuse_part(blocked)),
            None => Ok(()),
        }
    }

    fn refuse_part(&self, blocked: BlockedPart) -> Refusal {
        self.shared.metrics.count("prompt_parts", "refused");
        log::info!(request = self.head.id.as_deref(), part:% = blocked.part; "request refused for a blocked part of its prompt");
        if self.may_have_run {
            return Refusal::new(Reason::ResponseLost);
        }
        Refusal::with_retry_after(Reason::PoisonPart, blocked.retry_after)
    }

    /// Waits until a part of the request's prompt is blocked.
    pub(super) async fn part_blocked(&self) -> Refusal {
        let mut blocks = self.shared.part_blocks.subscribe();
        loop {
            if let Err(refusal) = self.check_parts() {
                return refusal;
            }
            if blocks.changed().await.is_err() {
                // The sender lives as long as the process.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns whether another attempt might crash another server.
    pub(super) fn has_suspected_part(&self) -> bool {
        lock(&self.shared.poison_parts).is_suspected(self.prompt_parts())
    }

    /// Records that a server began to answer the request.
    pub(super) fn record_begun(&self) {
        if !self.prompt_parts().is_empty() {
            lock(&self.shared.poison_parts).record_begun(self.shared.now(), self.prompt_parts());
        }
    }

    /// Records that a server completed an answer; `begun_at` is when it was recorded as begun, if it was.
    pub(super) fn record_complete(&self, begun_at: Option<Millis>) {
        if begun_at.is_none() {
            self.record_begun();
        }
        if !self.prompt_parts().is_empty() {
            let now = self.shared.now();
            let begun_at = begun_at.unwrap_or(now);
            lock(&self.shared.poison_parts).record_complete(now, begun_at, self.prompt_parts());
        }
        self.clear_suspicion();
    }
}

/// Returns whether a server that lost a response has crashed.
async fn has_crashed(address: SocketAddr) -> bool {
    let mut check = CrashCheck::default();
    loop {
        sleep(check.pause().to_duration()).await;
        let connected = sockets::connect(address, CRASH_CHECK_TIMEOUT, CRASH_CHECK_TIMEOUT).await;
        match check.record(connected.is_ok()) {
            CrashVerdict::Crashed => return true,
            CrashVerdict::Alive => return false,
            CrashVerdict::Undecided => {}
        }
    }
}
