//! The life cycle of a lease; each state has only the steps that lead out of it.
//!
//! A [`Follower`] stands for election and becomes a [`Candidate`], which wins
//! and becomes a [`Holder`] or goes back. A holder whose lease ran out is
//! [`Lapsed`] until it follows again.

use carawayseam_external::kv::{Lease, LeaseRequest};
use carawayseam_types::{FencingToken, Millis, Nonce};
use serde::Serialize;

use crate::config::RENEWALS_PER_TTL;

/// Why a holder holds no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum LapseCause {
    /// It was not renewed in time, by this host's own clock.
    #[display("not renewed in time")]
    Expired,
    /// The store does not know the lease any more.
    #[display("the store has ended the lease")]
    Gone,
    /// The clock went back, so that the lease's end cannot be judged.
    #[display("the clock stepped back")]
    ClockBack,
    /// This host gave it back.
    #[display("given back")]
    Resigned,
}

/// A lease that the store granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) token: FencingToken,
    /// Past this the lease may have lapsed.
    pub(crate) valid_until: Millis,
}

impl Grant {
    /// The store counts from the receipt of the request, which was after `sent_at`.
    pub(crate) fn new(lease: Lease, sent_at: Millis, safe_ttl: Millis) -> Self {
        Self {
            token: FencingToken(lease.lease),
            valid_until: sent_at + safe_ttl.min(Millis(lease.ttl_ms)),
        }
    }

    pub(crate) const fn request(self) -> LeaseRequest {
        LeaseRequest { lease: self.token.0 }
    }
}

/// Looks for a holder now and then.
#[derive(Debug)]
pub(crate) struct Follower {
    pub(crate) look_at: Millis,
}

#[expect(clippy::unused_self, reason = "a step uses up the state that it leaves")]
impl Follower {
    pub(crate) const fn stand(self, nonce: Nonce) -> Candidate {
        Candidate { nonce, grant: None }
    }
}

/// Has asked for a lease and tries to write its entry.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) nonce: Nonce,
    pub(crate) grant: Option<Grant>,
}

#[expect(clippy::unused_self, reason = "a step uses up the state that it leaves")]
impl Candidate {
    pub(crate) fn win(self, grant: Grant, now: Millis, ttl: Millis) -> Holder {
        Holder {
            grant,
            renew_at: now + Millis(ttl.0 / RENEWALS_PER_TTL),
            is_doubted: false,
        }
    }

    pub(crate) const fn lose(self, look_at: Millis) -> Follower {
        Follower { look_at }
    }
}

/// Holds the lease.
#[derive(Debug)]
pub(crate) struct Holder {
    pub(crate) grant: Grant,
    pub(crate) renew_at: Millis,
    /// Whether the entry is to be read, because it was said to be gone.
    pub(crate) is_doubted: bool,
}

impl Holder {
    pub(crate) fn renewed(&mut self, grant: Grant, now: Millis, ttl: Millis) {
        self.grant.valid_until = self.grant.valid_until.max(grant.valid_until);
        self.renew_at = now + Millis(ttl.0 / RENEWALS_PER_TTL);
    }

    pub(crate) const fn lapse(self, cause: LapseCause) -> Lapsed {
        Lapsed {
            token: self.grant.token,
            cause,
        }
    }
}

/// Held the lease once.
#[derive(Debug)]
pub(crate) struct Lapsed {
    pub(crate) token: FencingToken,
    pub(crate) cause: LapseCause,
}

#[expect(clippy::unused_self, reason = "a step uses up the state that it leaves")]
impl Lapsed {
    pub(crate) const fn follow(self, look_at: Millis) -> Follower {
        Follower { look_at }
    }
}

/// Any state of a lease.
#[derive(Debug)]
pub(crate) enum State {
    Follower(Follower),
    Candidate(Candidate),
    Holder(Holder),
    Lapsed(Lapsed),
}

impl State {
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Follower(_) => "follower",
            Self::Candidate(_) => "candidate",
            Self::Holder(_) => "holder",
            Self::Lapsed(_) => "lapsed",
        }
    }
}
