//! The life cycle of a claim, as a typestate.

use carawayseam_types::{Digest, Nonce};

use crate::{ClaimState, ClaimValue, HostIncarnation, StoredClaim};

/// Maximum number of writes (creates and take-overs) before the claim is abandoned as unconfirmed.
const MAX_WRITE_ATTEMPTS: u8 = 3;

/// State of a claim that this host has not yet confirmed as its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pending {
    write_attempts: u8,
}

/// State of a claim that this host has confirmed as its own; only this state allows a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    revision: u64,
}

/// A host's claim on a request, in state `S`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim<S> {
    key: String,
    owner: HostIncarnation,
    nonce: Nonce,
    body: Digest,
    state: S,
}

/// The outcome of a create or take-over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed {
        /// Revision of the key after the write.
        revision: u64,
    },
    /// The write was rejected because the key has another revision. Contains the current
    /// claim, or `None` if the key no longer exists.
    Conflict(Option<StoredClaim>),
    /// No response was received, so the write may have taken effect.
    Unknown,
}

/// The outcome of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The current claim, or `None` if the key does not exist.
    Read(Option<StoredClaim>),
    /// No response was received.
    Failed,
}

/// The next step after a response of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// This host holds the claim: dispatch the request.
    Held(Claim<Held>),
    /// Create the key, which must be absent.
    Create(Claim<Pending>),
    /// Read the key: the last write was not confirmed, or the key it conflicted with is gone.
    Read(Claim<Pending>),
    /// Replace a released claim, which has this revision.
    TakeOver(Claim<Pending>, u64),
    /// Another claim on the request decides its result.
    Settled(ExistingClaim),
    /// The claim could not be confirmed: do not dispatch.
    Unconfirmed,
}

/// An existing claim on the request, which rules out a dispatch by this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExistingClaim {
    /// The request was executed, with this response.
    Completed(serde_json::Value),
    /// The owner may be executing the request or may have crashed; a response may still be
    /// recorded.
    Claimed(HostIncarnation),
    /// The request id was used with a different body.
    Conflict,
}

impl Claim<Pending> {
    /// Creates a claim that is not stored yet; the next step is to create its key.
    #[must_use]
    pub const fn new(key: String, owner: HostIncarnation, nonce: Nonce, body: Digest) -> Self {
        Self {
            key,
            owner,
            nonce,
            body,
            state: Pending { write_attempts: 0 },
        }
    }

    /// Returns the value for a create or take-over.
    #[must_use]
    pub fn claimed_value(&self) -> ClaimValue {
        self.value_with_state(ClaimState::Claimed)
    }

    /// Returns the next step after a create or take-over.
    #[must_use]
    pub fn on_write(mut self, outcome: WriteOutcome) -> NextStep {
        self.state.write_attempts += 1;
        match outcome {
            WriteOutcome::Committed { revision } => NextStep::Held(self.into_held(revision)),
            WriteOutcome::Conflict(Some(found)) => self.resolve_existing(found),
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => NextStep::Read(self),
        }
    }

    /// Returns the next step after the read that follows an unconfirmed write.
    ///
    /// An absent key does not prove that the write failed, since the write may still be in
    /// transit. In both cases it is safe to create the key again with the same nonce.
    #[must_use]
    pub fn on_read(self, outcome: ReadOutcome) -> NextStep {
        match outcome {
            ReadOutcome::Read(Some(found)) => self.resolve_existing(found),
            ReadOutcome::Read(None) | ReadOutcome::Failed
                if self.state.write_attempts < MAX_WRITE_ATTEMPTS =>
            {
                NextStep::Create(self)
            }
            ReadOutcome::Read(None) | ReadOutcome::Failed => NextStep::Unconfirmed,
        }
    }

    fn resolve_existing(self, found: StoredClaim) -> NextStep {
        let value = found.value;
        match value.state {
            _ if value.body != self.body => NextStep::Settled(ExistingClaim::Conflict),
            ClaimState::Claimed if value.nonce == self.nonce && value.owner == self.owner => {
                NextStep::Held(self.into_held(found.revision))
            }
            ClaimState::Claimed => NextStep::Settled(ExistingClaim::Claimed(value.owner)),
            ClaimState::Completed { response } => NextStep::Settled(ExistingClaim::Completed(response)),
            ClaimState::Released if self.state.write_attempts < MAX_WRITE_ATTEMPTS => {
                NextStep::TakeOver(self, found.revision)
            }
            ClaimState::Released => NextStep::Unconfirmed,
        }
    }

    fn into_held(self, revision: u64) -> Claim<Held> {
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
    /// Returns the revision of the key after the claim was written.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.state.revision
    }

    /// Returns the value that records the response of the service.
    #[must_use]
    pub fn completed_value(&self, response: serde_json::Value) -> ClaimValue {
        self.value_with_state(ClaimState::Completed { response })
    }

    /// Returns the value that releases the claim. It may be written only if no byte of the
    /// request was sent.
    #[must_use]
    pub fn released_value(&self) -> ClaimValue {
        self.value_with_state(ClaimState::Released)
    }
}

impl<S> Claim<S> {
    /// Returns the key in the store.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    fn value_with_state(&self, state: ClaimState) -> ClaimValue {
        ClaimValue {
            nonce: self.nonce,
            owner: self.owner.clone(),
            body: self.body,
            state,
        }
    }
}
