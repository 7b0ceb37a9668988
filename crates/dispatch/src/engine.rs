//! One backend server as this host knows it.

use std::collections::HashMap;
use std::net::SocketAddr;

use carawayseam_types::{BackendName, EngineId, EngineKey, Millis, VersionId, ZoneId};

use crate::speed::Speed;

/// The weight of one outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Without outcomes for this long, half of the share of failures is forgotten.
const FAILURES_HALF_LIFE_MS: f64 = 2_500.0;
/// A server that could not be reached is connected to this often, until it can be.
const PROBE_INTERVAL: Millis = Millis(350);
/// How long a server is passed over whose address another server has.
const MISDIRECTED_PAUSE: Millis = Millis::from_secs(2);
/// How long a server is passed over whose slots are all taken, as their keeper says.
const TAKEN_PAUSE: Millis = Millis(40);
/// How long a server is passed over that said it takes no more.
const FULL_PAUSE: Millis = Millis(100);
/// Shared beginnings remembered for one server.
const MOST_PARTS: usize = 4_096;

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEntry {
    /// Its id.
    pub id: EngineId,
    /// The backend that it serves.
    pub backend: BackendName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The version of its software.
    pub version: VersionId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// When it started; another start under the same id is another server.
    pub started: Option<u64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum AttemptEnd {
    /// The whole answer came.
    #[display("complete")]
    Complete,
    /// No connection could be made; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// The server said that it did not run the request.
    #[display("rejected")]
    Rejected,
    /// The keeper of the server's slots has none to give; nothing was sent.
    #[display("no slot left")]
    NoSlot,
    /// Another server has the address; nothing ran.
    #[display("misdirected")]
    Misdirected,
    /// The connection broke after the request may have left.
    #[display("connection lost")]
    ConnectionLost,
    /// The server answered with a failure of its own.
    #[display("failed")]
    Failed,
    /// The server went silent.
    #[display("silent")]
    Unresponsive,
    /// The caller left or its time was over.
    #[display("cancelled")]
    Cancelled,
}

impl AttemptEnd {
    const fn is_failure(self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::ConnectionLost | Self::Failed | Self::Unresponsive
        )
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's id.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a peer has running on a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests.
    pub running: u32,
    /// Prompt tokens sent whose first event has not come.
    pub prompt_ahead: u32,
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) entry: EngineEntry,
    pub(crate) key: EngineKey,
    pub(crate) running: u32,
    pub(crate) prompt_ahead: f64,
    pub(crate) speed: Speed,
    failures: f64,
    judged_at: Millis,
    paused_until: Millis,
    /// Until when the server wants nothing from this host, as it said itself.
    closed_until: Millis,
    /// When to connect again to see whether it can be reached; none while it can.
    probe_at: Option<Millis>,
    /// Parts that were read here, with the time of their last use.
    parts: HashMap<u64, Millis>,
}

impl Engine {
    pub(crate) fn new(entry: EngineEntry) -> Self {
        Self {
            key: EngineKey::from(&entry.id),
            entry,
            running: 0,
            prompt_ahead: 0.0,
            speed: Speed::default(),
            failures: 0.0,
            judged_at: Millis::ZERO,
            paused_until: Millis::ZERO,
            closed_until: Millis::ZERO,
            probe_at: None,
            parts: HashMap::new(),
        }
    }

    pub(crate) fn takes_work(&self, now: Millis) -> bool {
        self.can_work() && now >= self.paused_until && now >= self.closed_until
    }

    /// Whether the server stays and can be reached, though it may take nothing just now.
    pub(crate) const fn can_work(&self) -> bool {
        !self.entry.is_draining && self.probe_at.is_none()
    }

    /// The server wants nothing from this host for a while.
    pub(crate) fn close(&mut self, until: Millis) {
        self.closed_until = self.closed_until.max(until);
    }

    /// Until when the server is closed to this host; none if it is not.
    pub(crate) fn closed_until(&self, now: Millis) -> Option<Millis> {
        Some(self.closed_until).filter(|until| now < *until)
    }

    /// Whether it is time to connect again to a server that could not be reached.
    pub(crate) fn take_probe(&mut self, now: Millis) -> bool {
        let is_due = self.probe_at.is_some_and(|at| now >= at);
        if is_due {
            self.probe_at = Some(now + PROBE_INTERVAL);
        }
        is_due
    }

    /// A connection could be made again.
    pub(crate) const fn mark_reachable(&mut self) {
        self.probe_at = None;
    }

    pub(crate) fn on_end(&mut self, now: Millis, end: AttemptEnd) {
        match end {
            AttemptEnd::NoSlot => self.paused_until = now + TAKEN_PAUSE,
            AttemptEnd::Rejected => self.paused_until = now + FULL_PAUSE,
            AttemptEnd::Misdirected => self.paused_until = now + MISDIRECTED_PAUSE,
            AttemptEnd::Unreachable | AttemptEnd::Unresponsive => self.probe_at = Some(now),
            _ => {}
        }
        if !matches!(end, AttemptEnd::Cancelled | AttemptEnd::NoSlot) {
            let outcome = if end.is_failure() { 1.0 } else { 0.0 };
            self.failures = self.failure_share(now) * (1.0 - OUTCOME_WEIGHT) + outcome * OUTCOME_WEIGHT;
            self.judged_at = now;
        }
    }

    /// The share of attempts that failed lately.
    pub(crate) fn failure_share(&self, now: Millis) -> f64 {
        self.failures * 0.5_f64.powf(now.since(self.judged_at).0 as f64 / FAILURES_HALF_LIFE_MS)
    }

    /// Prompt tokens that need not be read again: those of the parts before the first unknown one.
    pub(crate) fn kept_tokens(&self, parts: &[PromptPart]) -> u32 {
        let kept = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        kept.map(|part| part.tokens).sum()
    }

    pub(crate) fn keep_parts(&mut self, now: Millis, parts: &[PromptPart]) {
        for part in parts {
            self.parts.insert(part.id, now);
        }
        if self.parts.len() > MOST_PARTS {
            let oldest = self.parts.values().min().copied().unwrap_or_default();
            let cut = oldest + Millis(now.since(oldest).0 / 4);
            self.parts.retain(|_, at| *at > cut);
        }
    }

    /// Forgets what a server holds and how it did: it started anew.
    ///
    /// What it said of its load holds on: its entry may be known here before its words are over.
    pub(crate) fn restart(&mut self) {
        self.parts.clear();
        self.failures = 0.0;
        self.paused_until = Millis::ZERO;
        self.probe_at = None;
    }
}
