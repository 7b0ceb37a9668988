//! The steps of a promotion, without I/O.
//!
//! A promotion says "accepted" only once it knows that its write took
//! effect. Each write carries the same nonce and expects the same revision
//! of the store, so it can be repeated after a lost answer: at most one of
//! the repeats takes effect, and the nonce in the store tells whose it was.

use carawayseam_external::kv::{Entry, PutRequest};
use carawayseam_node::{CurrentDocument, current_document_key};
use carawayseam_types::{Digest, EnvironmentId, Millis, Nonce, Revision};
use derive_more::{Display, Error};
use serde_json::Error as JsonError;

use crate::records::{Trial, trial_key};

/// What is to be promoted.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// The environment.
    pub environment: EnvironmentId,
    /// The digest of the document's text.
    pub digest: Digest,
    /// The document's text.
    pub yaml: String,
    /// Drawn for this promotion.
    pub nonce: Nonce,
    /// When it is promoted.
    pub at: Millis,
    /// Who promotes it.
    pub operator: String,
}

/// What has to be done next.
#[derive(Debug)]
pub enum Step {
    /// Read this key.
    Read(String),
    /// Write by compare-and-swap.
    Put(PutRequest),
    /// Nothing; the promotion is over.
    Done(Result<Accepted, Refused>),
}

/// What came of the last step.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The key's entry, if it exists.
    Found(Option<Entry>),
    /// The write took effect.
    Written,
    /// The key has another revision; this is its entry.
    Conflict(Option<Entry>),
    /// The step certainly had no effect.
    NotSent,
    /// No answer came; the step may have had its effect.
    Lost,
}

/// The configuration is known to be in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Its revision.
    pub revision: Revision,
    /// Whether it was in force before, promoted by someone else or earlier.
    pub was_in_force: bool,
}

/// Why a promotion was not accepted.
#[derive(Debug, Display, Error)]
pub enum Refused {
    /// This very document has passed no trial.
    #[display("no trial was passed by the document with digest {digest}")]
    NoTrial {
        /// The document's digest.
        digest: Digest,
    },
    /// Another promotion came first.
    #[display("revision {} by {} came first", winner.revision, winner.operator)]
    LostRace {
        /// The configuration in force instead.
        winner: Box<CurrentDocument>,
    },
    /// The configuration was removed from the store meanwhile.
    #[display("the environment's configuration was removed from the store meanwhile")]
    Removed,
    /// The store holds something else under the key.
    #[display("the store's entry `{key}` cannot be read: {source}")]
    Corrupt {
        /// The key.
        key: String,
        /// What is wrong with it.
        source: JsonError,
    },
    /// The store did not answer, and nothing was written.
    #[display("the store does not answer; nothing was written")]
    Unreachable,
    /// A write was sent, and the store tells nothing of its effect.
    #[display("the store does not tell whether the write took effect")]
    Unknown,
}

#[derive(Debug)]
enum State {
    CheckTrial,
    ReadCurrent,
    Write(Base),
    ReadBack(Base),
    Done(Option<Result<Accepted, Refused>>),
}

/// What the write replaces.
#[derive(Debug, Clone, Copy)]
struct Base {
    /// The store's revision of the entry, 0 for none.
    entry: u64,
    /// The configuration's revision, 0 for none.
    revision: Revision,
}

/// A promotion on its way.
#[derive(Debug)]
pub struct Promotion {
    proposal: Proposal,
    state: State,
    /// Whether a write without an answer may have taken effect.
    may_be_written: bool,
    failures_left: u32,
}

impl Promotion {
    /// Begins; `attempts` bounds the steps that may fail before it gives up.
    #[must_use]
    pub const fn new(proposal: Proposal, attempts: u32) -> Self {
        Self {
            proposal,
            state: State::CheckTrial,
            may_be_written: false,
            failures_left: attempts,
        }
    }

    /// What has to be done next.
    pub fn step(&mut self) -> Step {
        let environment = &self.proposal.environment;
        match &mut self.state {
            State::CheckTrial => Step::Read(trial_key(environment, self.proposal.digest)),
            State::ReadCurrent | State::ReadBack(_) => Step::Read(current_document_key(environment)),
            State::Write(base) => {
                let base = *base;
                Step::Put(PutRequest::swap(
                    current_document_key(environment),
                    self.value(base),
                    base.entry,
                ))
            }
            State::Done(result) => Step::Done(result.take().unwrap_or(Err(Refused::Unknown))),
        }
    }

    /// Takes what came of the last step.
    pub fn handle(&mut self, reply: Reply) {
        let state = std::mem::replace(&mut self.state, State::Done(None));
        self.state = match (state, reply) {
            (State::Done(result), _) => State::Done(result),
            (State::CheckTrial, Reply::Found(found)) => self.check_trial(found),
            (State::ReadCurrent, Reply::Found(found)) => self.read_current(found),
            (State::Write(base), Reply::Written) => accepted(base.revision.next(), false),
            (State::Write(_), Reply::Conflict(current)) => self.judge(current),
            (State::ReadBack(base), Reply::Found(found)) => self.read_back(base, found),
            (State::Write(base), Reply::Lost) => {
                self.may_be_written = true;
                self.failed(State::ReadBack(base))
            }
            (same, _) => self.failed(same),
        };
    }

    /// Goes on with `next`, unless the steps that may fail are used up.
    fn failed(&mut self, next: State) -> State {
        self.failures_left = self.failures_left.saturating_sub(1);
        match self.failures_left {
            0 if self.may_be_written => refused(Refused::Unknown),
            0 => refused(Refused::Unreachable),
            _ => next,
        }
    }

    fn check_trial(&self, found: Option<Entry>) -> State {
        let digest = self.proposal.digest;
        match found.map(|entry| read::<Trial>(&entry)) {
            Some(Ok(trial)) if trial.digest == digest => State::ReadCurrent,
            Some(Err(corrupt)) => refused(corrupt),
            _ => refused(Refused::NoTrial { digest }),
        }
    }

    fn read_current(&self, found: Option<Entry>) -> State {
        let Some(entry) = found else {
            return State::Write(Base {
                entry: 0,
                revision: Revision(0),
            });
        };
        match read::<CurrentDocument>(&entry) {
            Ok(current) if current.digest == self.proposal.digest => accepted(current.revision, true),
            Ok(current) => State::Write(Base {
                entry: entry.revision,
                revision: current.revision,
            }),
            Err(corrupt) => refused(corrupt),
        }
    }

    /// Judges the entry that stands in place of the one that was to be replaced.
    fn judge(&self, current: Option<Entry>) -> State {
        let Some(entry) = current else {
            return refused(Refused::Removed);
        };
        match read::<CurrentDocument>(&entry) {
            Ok(current) if current.nonce == self.proposal.nonce => accepted(current.revision, false),
            Ok(current) if current.digest == self.proposal.digest => accepted(current.revision, true),
            Ok(current) => refused(Refused::LostRace {
                winner: Box::new(current),
            }),
            Err(corrupt) => refused(corrupt),
        }
    }

    fn read_back(&mut self, base: Base, found: Option<Entry>) -> State {
        match found.as_ref().map_or(0, |entry| entry.revision) {
            // Either the write never arrived, or this answer is older than
            // the write. Writing again settles both.
            unchanged if unchanged <= base.entry => State::Write(base),
            _ => self.judge(found),
        }
    }

    fn value(&self, base: Base) -> String {
        let current = CurrentDocument {
            revision: base.revision.next(),
            digest: self.proposal.digest,
            yaml: self.proposal.yaml.clone(),
            nonce: self.proposal.nonce,
            promoted_at: self.proposal.at,
            operator: self.proposal.operator.clone(),
        };
        serde_json::to_string(&current).expect("a record of texts and numbers is always JSON")
    }
}

const fn accepted(revision: Revision, was_in_force: bool) -> State {
    State::Done(Some(Ok(Accepted {
        revision,
        was_in_force,
    })))
}

const fn refused(refused: Refused) -> State {
    State::Done(Some(Err(refused)))
}

fn read<T: serde::de::DeserializeOwned>(entry: &Entry) -> Result<T, Refused> {
    serde_json::from_str(&entry.value).map_err(|source| Refused::Corrupt {
        key: entry.key.clone(),
        source,
    })
}
