//! The crashes in which one part was, and their weight as evidence against it.

use carawayseam_types::{Digest, EngineId, Millis, OrganisationId};

use crate::engine::PromptPart;

/// Servers that crash within this time of each other may share a cause outside of the requests, such as a loss
/// of power, so they count once.
const SAME_MOMENT: Millis = Millis(30);
/// Number of crashes without which no part is blocked.
const MIN_CRASHES: usize = 3;
/// Sum of weights at which a part is blocked: one other part in a thousand reaches it by chance.
const BLOCKING_WEIGHT: Weight = Weight(691);
/// Bounds the weight of one crash, so that even the rarest one does not count as much as two.
const MAX_WEIGHT: Weight = Weight(240);
/// Time in which past outcomes lose half of their influence on the weight of a crash.
const OUTCOMES_HALF_LIFE_MS: f64 = 2_000.0;
/// Outcomes that are assumed before any is known: one request in twenty is lost.
const ASSUMED_LOST: f64 = 1.0;
const ASSUMED_OUTCOMES: f64 = 20.0;
/// Number of crashes kept for one part; beyond it the oldest is dropped.
const MAX_CRASHES: usize = 12;

/// The id of a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{_0:x}")]
pub struct PartId(pub u64);

impl From<&PromptPart> for PartId {
    fn from(part: &PromptPart) -> Self {
        Self(part.id)
    }
}

/// A 32-bit digest of an organisation's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
#[display("{_0:08x}")]
pub struct OrganisationKey(pub u32);

impl From<&OrganisationId> for OrganisationKey {
    fn from(organisation: &OrganisationId) -> Self {
        Self(Digest::of(organisation.as_str().as_bytes()).low_bits())
    }
}

/// Identifies a crash by the start of the server that ended with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{_0:08x}")]
pub struct CrashId(pub u32);

impl CrashId {
    /// Returns the id of the crash of a server that started at `started`.
    ///
    /// Without the start time, all crashes of the server have one id.
    #[must_use]
    pub fn new(server: &EngineId, started: Option<u64>) -> Self {
        let mut buf = server.as_str().as_bytes().to_vec();
        buf.extend_from_slice(&started.unwrap_or_default().to_le_bytes());
        Self(Digest::of(&buf).low_bits())
    }
}

/// How unlikely it is that a request is lost in a crash that it did not cause.
///
/// This is the negative logarithm of the share of requests that were lost, in hundredths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub struct Weight(pub u16);

/// A crash of a server under a request with a part, before an answer to it had begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The id of the crash, which is the same under all requests and at all hosts.
    pub id: CrashId,
    /// When the crash was observed.
    pub at: Millis,
    /// The organisation of the request, if it had one.
    pub organisation: Option<OrganisationKey>,
    /// The weight of the crash as evidence.
    pub weight: Weight,
}

/// The share of requests whose answers began lately, among those that had an outcome.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    begun: f64,
    lost: f64,
    at: Millis,
}

impl Outcomes {
    pub(super) fn record_begun(&mut self, now: Millis) {
        self.decay(now);
        self.begun += 1.0;
    }

    /// Records a request that was lost in a crash; returns the weight of the crash.
    pub(super) fn record_lost(&mut self, now: Millis) -> Weight {
        self.decay(now);
        let share = (self.lost + ASSUMED_LOST) / (self.begun + self.lost + ASSUMED_OUTCOMES);
        self.lost += 1.0;
        Weight((-share.ln() * 100.0) as u16).min(MAX_WEIGHT)
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = now.since(self.at).0 as f64;
        let factor = (-elapsed / OUTCOMES_HALF_LIFE_MS).exp2();
        self.begun *= factor;
        self.lost *= factor;
        self.at = now;
    }
}

/// The crashes in which one part was, in the order of their times.
#[derive(Debug, Default)]
pub(super) struct Crashes(Vec<Crash>);

impl Crashes {
    /// Adds a crash; returns whether it was not known.
    ///
    /// Of two reports of one crash, the lower weight and the earlier time are kept: a report that a host could
    /// not read at once appears to be of a later crash.
    pub(super) fn insert(&mut self, crash: Crash) -> bool {
        let known = self.0.iter_mut().find(|known| known.id == crash.id);
        let is_new = known.is_none();
        match known {
            Some(known) => {
                known.weight = known.weight.min(crash.weight);
                known.at = known.at.min(crash.at);
            }
            None => self.0.push(crash),
        }
        self.0.sort_by_key(|known| known.at);
        if self.0.len() > MAX_CRASHES {
            self.0.remove(0);
        }
        is_new
    }

    /// Drops the crashes up to a time.
    pub(super) fn drop_until(&mut self, at: Millis) {
        self.0.retain(|crash| crash.at > at);
    }

    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &Crash> {
        self.0.iter()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the crashes that no other part explains, counting crashes at the same moment once.
    pub(super) fn counted(&self, explained: &[Crash]) -> Vec<Crash> {
        let is_explained = |crash: &Crash| explained.iter().any(|other| other.id == crash.id);
        let mut counted: Vec<Crash> = Vec::new();
        for crash in self.0.iter().filter(|crash| !is_explained(crash)) {
            let is_new_moment = counted
                .last()
                .is_none_or(|last| crash.at.since(last.at) >= SAME_MOMENT);
            if is_new_moment {
                counted.push(*crash);
            }
        }
        counted
    }
}

/// Returns whether the crashes suffice to block their part.
pub(super) fn is_sufficient(counted: &[Crash]) -> bool {
    let weight: u32 = counted.iter().map(|crash| u32::from(crash.weight.0)).sum();
    counted.len() >= MIN_CRASHES && weight >= u32::from(BLOCKING_WEIGHT.0)
}
