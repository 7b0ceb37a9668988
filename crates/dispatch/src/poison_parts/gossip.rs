//! The records of crashes and answers that hosts send each other.

use carawayseam_types::Millis;

use super::{Crash, CrashId, OrganisationKey, PartId, PoisonParts, Suspect, Weight};

/// How long a crash or an answer is announced after it was observed.
const GOSSIP_PERIOD: Millis = Millis(600);
/// Limits of one update, which has to fit a datagram.
const MAX_CRASHES: usize = 26;
const MAX_ANSWERS: usize = 26;
/// Crashes of one part that are announced, the latest ones.
const MAX_CRASHES_OF_PART: usize = 6;

/// A crash under a request with a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartCrash {
    /// The part.
    pub part: PartId,
    /// The part's position in the prompt.
    pub depth: u8,
    /// The id of the crash.
    pub id: CrashId,
    /// Time since the crash.
    pub age: Millis,
    /// The organisation of the request, if it had one.
    pub organisation: Option<OrganisationKey>,
    /// The weight of the crash as evidence.
    pub weight: Weight,
}

/// An answer on a part after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartAnswer {
    /// The part.
    pub part: PartId,
    /// Time since the last answer began.
    pub begun: Millis,
    /// Time since the last complete answer began; `None` if none was complete.
    pub complete: Option<Millis>,
}

/// Crashes and answers that a host announces to its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartsUpdate {
    /// The crashes.
    pub crashes: Vec<PartCrash>,
    /// The answers.
    pub answers: Vec<PartAnswer>,
}

impl PartsUpdate {
    /// Returns whether there is nothing to announce.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty()
    }
}

impl PoisonParts {
    /// Returns what to announce to peers: what this host observed within `GOSSIP_PERIOD`.
    ///
    /// A peer that has just started or was partitioned may know nothing, so while there is one, all parts are
    /// announced, whoever observed them: the host that observed a crash may have ended. What does not fit one
    /// update is in a later one.
    pub fn gossip_update(&mut self, now: Millis, has_new_peer: bool) -> PartsUpdate {
        self.update_of(now, |suspect| {
            let observed_at = suspect.observed_at;
            let is_recent = observed_at.is_some_and(|at| now.since(at) <= GOSSIP_PERIOD);
            is_recent || has_new_peer
        })
    }

    /// Returns what to pass on in a gossip round: what became known to this host within `GOSSIP_PERIOD`, by its own
    /// observation or from a peer.
    pub fn forwarded_update(&mut self, now: Millis) -> PartsUpdate {
        self.update_of(now, |suspect| now.since(suspect.changed_at) <= GOSSIP_PERIOD)
    }

    /// Returns an update on the parts that are due; what does not fit is in a later one.
    fn update_of(&mut self, now: Millis, is_due: impl Fn(&Suspect) -> bool) -> PartsUpdate {
        let due: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_due(suspect))
            .collect();
        let crashes: Vec<PartCrash> = due
            .iter()
            .flat_map(|(part, suspect)| announced_crashes(now, **part, suspect))
            .collect();
        let answers: Vec<PartAnswer> = due
            .iter()
            .filter_map(|(part, suspect)| announced_answer(now, **part, suspect))
            .collect();
        PartsUpdate {
            crashes: self.announced_crashes.take(&crashes, MAX_CRASHES),
            answers: self.announced_answers.take(&answers, MAX_ANSWERS),
        }
    }

    /// Records what a peer announced.
    pub fn record_peer_update(&mut self, now: Millis, update: &PartsUpdate) {
        for crash in &update.crashes {
            let observed = Crash {
                id: crash.id,
                at: now - crash.age,
                organisation: crash.organisation,
                weight: crash.weight,
            };
            self.insert_crash(now, crash.part, crash.depth, observed);
        }
        for answer in &update.answers {
            let begun_at = now - answer.begun;
            let known = self.begun.entry(answer.part).or_default();
            *known = begun_at.max(*known);
            self.clear_by_begun(now, answer.part, begun_at);
            if let Some(age) = answer.complete {
                self.clear_by_complete(now, answer.part, now - age);
            }
        }
    }
}

fn announced_crashes(now: Millis, part: PartId, suspect: &Suspect) -> Vec<PartCrash> {
    let latest = suspect.crashes.iter().rev().take(MAX_CRASHES_OF_PART);
    latest
        .map(|crash| PartCrash {
            part,
            depth: suspect.depth,
            id: crash.id,
            age: now.since(crash.at),
            organisation: crash.organisation,
            weight: crash.weight,
        })
        .collect()
}

fn announced_answer(now: Millis, part: PartId, suspect: &Suspect) -> Option<PartAnswer> {
    let begun_at = suspect.begun_at.max(suspect.complete_at);
    (begun_at > Millis::ZERO).then(|| PartAnswer {
        part,
        begun: now.since(begun_at),
        complete: (suspect.complete_at > Millis::ZERO).then(|| now.since(suspect.complete_at)),
    })
}
