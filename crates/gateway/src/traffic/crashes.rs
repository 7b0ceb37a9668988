//! Detects and rejects requests, and parts of prompts, that crash the servers that run them.

use std::net::SocketAddr;
use std::sync::Arc;

use carawayseam_dispatch::AttemptEnd;
use carawayseam_dispatch::crash_check::{CrashCheck, CrashVerdict};
use carawayseam_dispatch::engine::PromptPart;
use carawayseam_dispatch::poison_parts::{Admission, BlockedPart, CrashId, OrganisationKey, PartId};
use carawayseam_types::{Digest, Millis};
use compact_str::{CompactString, ToCompactString};
use tokio::time::sleep;

use super::exchange::Exchange;
use super::reservation::Slot;
use super::response::{Reason, Refusal};
use super::stream::EVENTS_OF_BEGUN_ANSWER;
use crate::relay::{self, RelayError};
use crate::request_log::join;
use crate::shared::{Assignment, Shared, lock};
use crate::sockets;

/// The retry delay for a request that crashes servers; an early retry would be rejected again.
const RETRY_AFTER_POISON: Millis = Millis(5_000);
/// A server that lost a response and accepts no connection within this time is considered crashed.
const CRASH_CHECK_TIMEOUT: Millis = Millis(250);
/// Estimated size of the hashed content in addition to the body.
const CONTENT_OVERHEAD_BYTES: usize = 256;
/// The maximum number of peers that are asked to connect to a server that may have crashed.
const MAX_CRASH_WITNESSES: usize = 3;
/// The maximum time for a peer to connect to a server that may have crashed.
const RELAY_CHECK_TIMEOUT: Millis = Millis(300);

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
        lock(&self.shared.poison).clear(self.shared.now(), content);
    }

    /// Ends an attempt whose connection was lost, after checking whether the server or this host's link failed.
    ///
    /// A crash is recorded as caused by this request; `events` is the number of events that the server sent before.
    pub(super) fn end_lost(&self, slot: Slot, assignment: &Assignment, events: u32) {
        let shared = Arc::clone(&self.shared);
        let assignment = assignment.clone();
        lock(&shared.dispatch).dispatcher.begin_loss_check(slot.ticket());
        let request = LostRequest {
            id: self.head.id.clone(),
            content: self.content(),
            parts: self.prompt_parts().to_vec(),
            organisation: self.organisation_key(),
            events,
        };
        tokio::spawn(async move {
            let cause = find_cause(&shared, &assignment).await;
            shared.metrics.count("engine_crash_checks", cause.label());
            let end = match cause {
                LossCause::Crash => {
                    record_crash(&shared, &assignment, &request);
                    AttemptEnd::ConnectionLost
                }
                LossCause::Connection => AttemptEnd::ConnectionLost,
                LossCause::Link => AttemptEnd::LinkLost,
            };
            if cause != LossCause::Crash {
                log::info!(request = request.id.as_deref(), engine:% = assignment.engine, cause = cause.label(); "a response was lost without a crash of its backend server");
            }
            slot.end(end);
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

/// A request whose response was lost.
#[derive(Debug)]
struct LostRequest {
    id: Option<CompactString>,
    content: Digest,
    parts: Vec<PromptPart>,
    organisation: Option<OrganisationKey>,
    /// The number of events that the server had sent.
    events: u32,
}

/// Why a response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossCause {
    /// The server crashed.
    Crash,
    /// The server lost the connection and lives.
    Connection,
    /// This host does not reach the server, which lives.
    Link,
}

impl LossCause {
    const fn label(self) -> &'static str {
        match self {
            Self::Crash => "crashed",
            Self::Connection => "server-alive",
            Self::Link => "link-lost",
        }
    }
}

fn record_crash(shared: &Shared, assignment: &Assignment, request: &LostRequest) {
    let now = shared.now();
    let engine = &assignment.engine;
    let crash = CrashId::new(engine, assignment.started);
    let crashes = lock(&shared.poison).record_crash(now, request.content, engine);
    if request.events < EVENTS_OF_BEGUN_ANSWER {
        let mut parts = lock(&shared.poison_parts);
        parts.record_crash(now, crash, request.organisation, &request.parts);
    }
    log::info!(
        request = request.id.as_deref(), engine:% = engine, crash:% = crash, content:% = request.content, crashes = crashes,
        parts = join(request.parts.iter().map(PartId::from)).as_str(), events = request.events;
        "backend server crashed while it ran a request"
    );
}

/// Returns why a server's response was lost.
///
/// A server that this host cannot connect to has crashed only if its peers cannot connect to it either.
async fn find_cause(shared: &Shared, assignment: &Assignment) -> LossCause {
    match assignment.via {
        None if !has_crashed(assignment.address).await => return LossCause::Connection,
        _ => {}
    }
    let peers = shared.peers.reachable_peers(MAX_CRASH_WITNESSES);
    for peer in &peers {
        match relay::connect(shared, peer, &assignment.engine, RELAY_CHECK_TIMEOUT).await {
            Ok(_connection) => return LossCause::Link,
            Err(RelayError::ServerUnreachable) => return LossCause::Crash,
            Err(e) => {
                log::debug!(engine:% = assignment.engine, peer:% = peer; "a peer could not check a server: {e}");
            }
        }
    }
    // Without a peer that could check it, a host that has peers may have lost its own links.
    if peers.is_empty() {
        LossCause::Crash
    } else {
        LossCause::Link
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
