//! The life cycle of one claim, as a typestate.

use carawayseam_types::{Digest, Nonce};

use crate::{ClaimState, ClaimValue, HostIncarnation, StoredClaim};

/// Creates tried before a claim counts as unprovable.
const MAX_CREATES: u8 = 3;

/// A claim that is not known to be ours yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pending {
    creates: u8,
}

/// A claim that is known to be ours; only this state allows a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    revision: u64,
}

/// One host's claim on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim<S> {
    key: String,
    owner: HostIncarnation,
    nonce: Nonce,
    body: Digest,
    state: S,
}

/// The store's answer to a create or take-over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed {
        /// The key's revision since.
        revision: u64,
    },
    /// The key stands as it was; none where it is gone again.
    Conflict(Option<StoredClaim>),
    /// No answer came, so the write may have taken effect.
    Unknown,
}

/// The store's answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The key as it stands; none where it is absent.
    Read(Option<StoredClaim>),
    /// No answer came.
    Failed,
}

/// What follows from an answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// The claim is ours: dispatch.
    Held(Claim<Held>),
    /// Create the key, which must be absent.
    Create(Claim<Pending>),
    /// Read the key, since the last write's answer was lost.
    Read(Claim<Pending>),
    /// Replace a released claim at this revision.
    TakeOver(Claim<Pending>, u64),
    /// Someone else's claim settles the request.
    Settled(ExistingClaim),
    /// Nothing can be proved: do not dispatch.
    Unconfirmed,
}

/// What someone else's claim says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExistingClaim {
    /// The request ran, with this answer.
    Completed(serde_json::Value),
    /// Its owner may be running it, or died; the answer may still come.
    Claimed(HostIncarnation),
    /// The request id was used with another body.
    Conflict,
}

impl Claim<Pending> {
    /// Begins a claim; the next step is to create its key.
    #[must_use]
    pub const fn new(key: String, owner: HostIncarnation, nonce: Nonce, body: Digest) -> Self {
        Self {
            key,
            owner,
            nonce,
            body,
            state: Pending { creates: 0 },
        }
    }

    /// The value to write.
    #[must_use]
    pub fn claimed_value(&self) -> ClaimValue {
        self.value_in(ClaimState::Claimed)
    }

    /// Takes the answer to a create or take-over.
    #[must_use]
    pub fn on_write(mut self, reply: WriteOutcome) -> NextStep {
        self.state.creates += 1;
        match reply {
            WriteOutcome::Committed { revision } => NextStep::Held(self.hold(revision)),
            WriteOutcome::Conflict(Some(found)) => self.judge(found),
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => NextStep::Read(self),
        }
    }

    /// Takes the answer to a read after a lost write.
    ///
    /// An absent key does not prove that the write failed, since it may still
    /// be on its way; creating again with the same nonce is safe either way.
    #[must_use]
    pub fn on_read(self, reply: ReadOutcome) -> NextStep {
        match reply {
            ReadOutcome::Read(Some(found)) => self.judge(found),
            ReadOutcome::Read(None) | ReadOutcome::Failed if self.state.creates < MAX_CREATES => {
                NextStep::Create(self)
            }
            ReadOutcome::Read(None) | ReadOutcome::Failed => NextStep::Unconfirmed,
        }
    }

    fn judge(self, found: StoredClaim) -> NextStep {
        let value = found.value;
        match value.state {
            _ if value.body != self.body => NextStep::Settled(ExistingClaim::Conflict),
            ClaimState::Claimed if value.nonce == self.nonce && value.owner == self.owner => {
                NextStep::Held(self.hold(found.revision))
            }
            ClaimState::Claimed => NextStep::Settled(ExistingClaim::Claimed(value.owner)),
            ClaimState::Completed { response: answer } => NextStep::Settled(ExistingClaim::Completed(answer)),
            ClaimState::Released if self.state.creates < MAX_CREATES => {
                NextStep::TakeOver(self, found.revision)
            }
            ClaimState::Released => NextStep::Unconfirmed,
        }
    }

    fn hold(self, revision: u64) -> Claim<Held> {
        let Self {
            key,
            owner,
            nonce,
            body,
            ..
        } = self;
        Claim {
            key,
            owner,
            nonce,
            body,
            state: Held { revision },
        }
    }
}

impl Claim<Held> {
    /// The key's revision since the claim was made.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.state.revision
    }

    /// The value that records the service's answer.
    #[must_use]
    pub fn completed_value(&self, answer: serde_json::Value) -> ClaimValue {
        self.value_in(ClaimState::Completed { response: answer })
    }

    /// The value that gives the request up; only true if no byte of it has left.
    #[must_use]
    pub fn released_value(&self) -> ClaimValue {
        self.value_in(ClaimState::Released)
    }
}

impl<S> Claim<S> {
    /// The key in the store.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    fn value_in(&self, state: ClaimState) -> ClaimValue {
        ClaimValue {
            nonce: self.nonce,
            owner: self.owner.clone(),
            body: self.body,
            state,
        }
    }
}
