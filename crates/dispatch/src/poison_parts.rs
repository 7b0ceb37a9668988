//! Blocks parts of prompts that crash the backend servers that begin to answer them.
//!
//! A crash interrupts all requests on its server, and requests share parts, so a single crash is weak evidence
//! against any part. The part that causes crashes is told from those of concurrent requests as follows:
//!
//! - No answer begins on the part that causes crashes. A request whose answer had begun is not suspected, and an
//!   answer that begins on a part clears its earlier crashes.
//! - Any other part is rarely in several crashes in a row. How rarely depends on the share of requests that are
//!   lost in crashes at the time, so each crash has a lower weight while many servers crash.
//! - A crash has one cause. A crash that a blocked part explains is not counted for other parts.
//!
//! Hosts send each other the crashes and the answers. Such a record may arrive twice, late, or from a third
//! host. Each host decides on its own, and with the same records all decide alike.
//!
//! The last part of a prompt is the request's own and never a suspect.
//!
//! A blocked part is tried again after a while by a single request at the host that owns the part. A complete
//! answer ends the block. The crashes of one organisation's requests block the part for that organisation
//! only.

mod evidence;
mod gossip;

use std::collections::{BTreeMap, HashMap};

use carawayseam_types::Millis;

use crate::engine::PromptPart;
use crate::rotation::Rotation;
use evidence::{Crashes, Outcomes, is_sufficient};

pub use evidence::{Crash, CrashId, OrganisationKey, PartId, Weight};
pub use gossip::{PartAnswer, PartCrash, PartsUpdate};

/// Time for which answers at other hosts may still become known before a part is blocked.
const DECISION_DELAY: Millis = Millis(250);
/// Number of crashes in a row from which a part is reported as suspected.
const REPORTED_CRASHES: usize = 2;
/// Time after the last crash until one request may try a blocked part again; it doubles with each failed trial.
const BLOCK_TIME: Millis = Millis::from_secs(20);
/// Bounds the number of times that [`BLOCK_TIME`] doubles.
const MAX_DOUBLINGS: u32 = 5;
/// Time after which a trial without a result is followed by another.
const TRIAL_TIMEOUT: Millis = Millis::from_secs(15);
/// The retry delay while the trial of a part is due, which only the host that owns the part may send.
const MIN_RETRY_DELAY: Millis = Millis(1_000);
/// Time after the last crash for which a part is tracked while it is not blocked.
const SUSPICION_TTL: Millis = Millis::from_secs(60);
/// Time after the last crash or refusal for which a blocked part is tracked.
const BLOCK_TTL: Millis = Millis::from_secs(900);
/// Limit of the parts that are tracked.
const MAX_PARTS: usize = 512;
/// Time for which it is kept when an answer on a part began, and the limit of parts for which it is.
const ANSWER_TTL: Millis = Millis(2_000);
const MAX_ANSWERS: usize = 8_192;

/// A part that has been in a crash.
#[derive(Debug, Default)]
struct Suspect {
    /// Position in the prompt; later parts are shared by fewer requests.
    depth: u8,
    crashes: Crashes,
    /// When the crashes became sufficient to block the part.
    sufficient_since: Option<Millis>,
    is_reported: bool,
    block: Option<Block>,
    /// When an answer on the part last began, as far as it cleared crashes.
    begun_at: Millis,
    /// When the latest complete answer on the part began, as far as it cleared crashes.
    complete_at: Millis,
    /// When this host last observed a crash or an answer, which is announced for a while.
    observed_at: Option<Millis>,
    /// The last time that a crash or an answer became known.
    changed_at: Millis,
}

/// The block of a part.
#[derive(Debug)]
struct Block {
    /// The only organisation whose requests are blocked; `None` for all.
    organisation: Option<OrganisationKey>,
    last_crash_at: Millis,
    failed_trials: u32,
    trial_at: Option<Millis>,
    /// When a request was last refused.
    refused_at: Millis,
}

impl Block {
    /// Returns the time at which a request may try the part again.
    fn ends_at(&self) -> Millis {
        let doublings = self.failed_trials.min(MAX_DOUBLINGS);
        let after_trial = self
            .trial_at
            .map_or(Millis::ZERO, |trial_at| trial_at + TRIAL_TIMEOUT);
        (self.last_crash_at + BLOCK_TIME.times(1 << doublings)).max(after_trial)
    }

    /// Returns the retry delay of a request that is refused.
    fn retry_after(&self, now: Millis) -> Millis {
        self.ends_at().since(now).max(MIN_RETRY_DELAY)
    }

    /// Records another crash of the part.
    fn record_crash(&mut self, crash: &Crash) {
        let is_trial = crash.at.since(self.last_crash_at) >= BLOCK_TIME;
        self.failed_trials += u32::from(is_trial);
        self.last_crash_at = self.last_crash_at.max(crash.at);
        if self.organisation != crash.organisation {
            self.organisation = None;
        }
    }

    fn applies_to(&self, organisation: Option<OrganisationKey>) -> bool {
        self.organisation.is_none() || self.organisation == organisation
    }
}

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent.
    Allowed,
    /// The request may be sent once, to find out whether its blocked part still crashes servers.
    Trial(PartId),
    /// The request must not be sent.
    Blocked(BlockedPart),
}

/// The part for which a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedPart {
    /// The part.
    pub part: PartId,
    /// Time until the part is tried again.
    pub retry_after: Millis,
}

/// A change in what is known of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartEvent {
    /// Several servers crashed in a row under requests with the part.
    Suspected {
        /// The part.
        part: PartId,
        /// The crashes.
        crashes: Vec<CrashId>,
    },
    /// Requests with the part are refused from now on.
    Blocked {
        /// The part.
        part: PartId,
        /// The crashes that decided it.
        crashes: Vec<CrashId>,
        /// The only organisation whose requests are refused; `None` for all.
        organisation: Option<OrganisationKey>,
    },
    /// An answer showed that the part does not crash servers.
    Cleared {
        /// The part.
        part: PartId,
        /// Whether it was blocked, not only suspected.
        was_blocked: bool,
    },
}

/// The parts of prompts that were in crashes.
#[derive(Debug, Default)]
pub struct PoisonParts {
    suspects: BTreeMap<PartId, Suspect>,
    /// When an answer last began on a part, as observed by this host or reported by a peer.
    begun: HashMap<PartId, Millis>,
    outcomes: Outcomes,
    events: Vec<PartEvent>,
    announced_crashes: Rotation,
    announced_answers: Rotation,
}

impl PoisonParts {
    /// Records that a server crashed under a request before an answer to it had begun.
    pub fn record_crash(
        &mut self,
        now: Millis,
        id: CrashId,
        organisation: Option<OrganisationKey>,
        parts: &[PromptPart],
    ) {
        let crash = Crash {
            id,
            at: now,
            organisation,
            weight: self.outcomes.record_lost(now),
        };
        let blocked = shared_parts(parts).any(|(_, part)| self.block(part).is_some());
        for (depth, part) in shared_parts(parts) {
            // A blocked part explains the crash.
            if !blocked || self.block(part).is_some() {
                self.insert_crash(now, part, depth, crash);
                self.mark_observed(now, part);
            }
        }
    }

    /// Records that a server began to answer a request.
    pub fn record_begun(&mut self, now: Millis, parts: &[PromptPart]) {
        self.outcomes.record_begun(now);
        for (_, part) in shared_parts(parts) {
            self.begun.insert(part, now);
            self.clear_by_begun(now, part, now);
            self.mark_observed(now, part);
        }
        self.evict_answers(now);
    }

    /// Records that a server completed an answer that it had begun at `begun_at`.
    pub fn record_complete(&mut self, now: Millis, begun_at: Millis, parts: &[PromptPart]) {
        for (_, part) in shared_parts(parts) {
            self.clear_by_complete(now, part, begun_at);
            self.mark_observed(now, part);
        }
    }

    /// Returns whether a request may be sent; `owns` tells whether this host owns the trials of a part.
    pub fn admit(
        &mut self,
        now: Millis,
        organisation: Option<OrganisationKey>,
        parts: &[PromptPart],
        owns: impl Fn(PartId) -> bool,
    ) -> Admission {
        let mut trial = None;
        for (_, part) in shared_parts(parts) {
            let Some(block) = self
                .block_mut(part)
                .filter(|block| block.applies_to(organisation))
            else {
                continue;
            };
            block.refused_at = now;
            if now < block.ends_at() || !owns(part) || trial.is_some() {
                let retry_after = block.retry_after(now);
                return Admission::Blocked(BlockedPart { part, retry_after });
            }
            trial = Some(part);
        }
        let Some(part) = trial else {
            return Admission::Allowed;
        };
        if let Some(block) = self.block_mut(part) {
            block.trial_at = Some(now);
        }
        Admission::Trial(part)
    }

    /// Returns the part for which a request is refused that was admitted earlier.
    #[must_use]
    pub fn blocked_part(
        &self,
        now: Millis,
        organisation: Option<OrganisationKey>,
        parts: &[PromptPart],
    ) -> Option<BlockedPart> {
        shared_parts(parts).find_map(|(_, part)| {
            let block = self.block(part).filter(|block| block.applies_to(organisation))?;
            let retry_after = block.retry_after(now);
            Some(BlockedPart { part, retry_after })
        })
    }

    /// Returns whether no part is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a server crashed under a request with one of these parts, and no answer on the part has
    /// begun since.
    #[must_use]
    pub fn is_suspected(&self, parts: &[PromptPart]) -> bool {
        shared_parts(parts).any(|(_, part)| {
            let suspect = self.suspects.get(&part);
            suspect.is_some_and(|suspect| !suspect.crashes.is_empty())
        })
    }

    /// Blocks the parts whose crashes suffice, and forgets old ones; returns what changed since the last call.
    pub fn tick(&mut self, now: Millis) -> Vec<PartEvent> {
        self.decide(now);
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        std::mem::take(&mut self.events)
    }

    /// Decides on the suspects, those that fewer requests share first.
    ///
    /// The parts before the one that causes crashes are in the same crashes, so a part whose crashes suffice
    /// explains them.
    fn decide(&mut self, now: Millis) {
        let blocked = self.suspects.values().filter(|suspect| suspect.block.is_some());
        let mut explained: Vec<Crash> = blocked
            .flat_map(|suspect| suspect.crashes.iter().copied())
            .collect();
        let mut open: Vec<(&PartId, &mut Suspect)> = self
            .suspects
            .iter_mut()
            .filter(|(_, suspect)| suspect.block.is_none() && !suspect.crashes.is_empty())
            .collect();
        open.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.depth));
        for (part, suspect) in open {
            let counted = suspect.crashes.counted(&explained);
            let ids = || counted.iter().map(|crash| crash.id).collect();
            if counted.len() >= REPORTED_CRASHES && !suspect.is_reported {
                suspect.is_reported = true;
                self.events.push(PartEvent::Suspected {
                    part: *part,
                    crashes: ids(),
                });
            }
            if !is_sufficient(&counted) {
                suspect.sufficient_since = None;
                continue;
            }
            explained.extend(suspect.crashes.iter());
            let since = *suspect.sufficient_since.get_or_insert(now);
            if now.since(since) >= DECISION_DELAY {
                let block = Block::new(now, &counted);
                self.events.push(PartEvent::Blocked {
                    part: *part,
                    crashes: ids(),
                    organisation: block.organisation,
                });
                suspect.block = Some(block);
            }
        }
    }

    /// Announces what this host has observed of a part, if it was in a crash.
    fn mark_observed(&mut self, now: Millis, part: PartId) {
        if let Some(suspect) = self
            .suspects
            .get_mut(&part)
            .filter(|suspect| suspect.changed_at == now)
        {
            suspect.observed_at = Some(now);
        }
    }

    fn insert_crash(&mut self, now: Millis, part: PartId, depth: u8, crash: Crash) {
        let begun_at = self.begun.get(&part).copied().unwrap_or_default();
        let cleared_until = match self.suspects.get(&part) {
            Some(suspect) if suspect.block.is_some() => suspect.complete_at,
            Some(suspect) => suspect.complete_at.max(suspect.begun_at).max(begun_at),
            None => begun_at,
        };
        if crash.at <= cleared_until {
            return;
        }
        let suspect = self.suspects.entry(part).or_default();
        suspect.depth = suspect.depth.max(depth);
        if !suspect.crashes.insert(crash) {
            return;
        }
        suspect.changed_at = now;
        if let Some(block) = &mut suspect.block {
            block.record_crash(&crash);
        }
        self.evict_suspects();
    }

    /// Clears a part that is not blocked by an answer that began at `at`.
    fn clear_by_begun(&mut self, now: Millis, part: PartId, at: Millis) {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return;
        };
        if suspect.block.is_some() || suspect.crashes.is_empty() || at <= suspect.begun_at {
            return;
        }
        suspect.begun_at = at;
        suspect.clear_until(now, at);
        if suspect.crashes.is_empty() && std::mem::take(&mut suspect.is_reported) {
            self.events.push(PartEvent::Cleared {
                part,
                was_blocked: false,
            });
        }
    }

    /// Clears a part by an answer that began at `at` and was completed.
    fn clear_by_complete(&mut self, now: Millis, part: PartId, at: Millis) {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return;
        };
        if at <= suspect.complete_at || (suspect.crashes.is_empty() && suspect.block.is_none()) {
            return;
        }
        suspect.complete_at = at;
        suspect.clear_until(now, at);
        if suspect.crashes.is_empty() {
            let was_blocked = suspect.block.take().is_some();
            let was_reported = std::mem::take(&mut suspect.is_reported);
            if was_blocked || was_reported {
                self.events.push(PartEvent::Cleared { part, was_blocked });
            }
        }
    }

    fn block(&self, part: PartId) -> Option<&Block> {
        self.suspects.get(&part)?.block.as_ref()
    }

    fn block_mut(&mut self, part: PartId) -> Option<&mut Block> {
        self.suspects.get_mut(&part)?.block.as_mut()
    }

    fn evict_suspects(&mut self) {
        while self.suspects.len() > MAX_PARTS {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.block.is_some(), suspect.changed_at));
            let Some(part) = least.map(|(part, _)| *part) else {
                return;
            };
            self.suspects.remove(&part);
        }
    }

    fn evict_answers(&mut self, now: Millis) {
        if self.begun.len() > MAX_ANSWERS {
            self.begun.retain(|_, at| now.since(*at) <= ANSWER_TTL);
        }
    }
}

impl Suspect {
    /// Drops the crashes up to `at`, which an answer has shown to have another cause.
    fn clear_until(&mut self, now: Millis, at: Millis) {
        self.crashes.drop_until(at);
        self.sufficient_since = None;
        self.changed_at = now;
    }

    fn is_expired(&self, now: Millis) -> bool {
        match &self.block {
            Some(block) => now.since(block.refused_at.max(block.last_crash_at)) > BLOCK_TTL,
            None => now.since(self.changed_at) > SUSPICION_TTL,
        }
    }
}

impl Block {
    fn new(now: Millis, counted: &[Crash]) -> Self {
        let first = counted.first().and_then(|crash| crash.organisation);
        let is_of_one = counted.iter().all(|crash| crash.organisation == first);
        Self {
            organisation: first.filter(|_| is_of_one),
            last_crash_at: counted.last().map_or(now, |crash| crash.at),
            failed_trials: 0,
            trial_at: None,
            refused_at: now,
        }
    }
}

/// Iterates over the parts that other requests may share, each with its position.
fn shared_parts(parts: &[PromptPart]) -> impl Iterator<Item = (u8, PartId)> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared
        .iter()
        .enumerate()
        .map(|(ix, part)| (u8::try_from(ix).unwrap_or(u8::MAX), part.into()))
}
