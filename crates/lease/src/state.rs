//! The states of a lease; each state has only the transitions that lead out of it.
//!
//! A [`Follower`] becomes a [`Candidate`], which becomes a [`Holder`] if it
//! acquires the lease and a follower again if not. A holder that loses its
//! lease is [`Lapsed`] until it becomes a follower again.

use carawayseam_external::kv::{Lease, LeaseRequest};
use carawayseam_types::{FencingToken, Millis, Nonce};
use serde::Serialize;

use crate::config::RENEWALS_PER_TTL;

/// Why a holder lost its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum LapseCause {
    /// It was not renewed in time according to this host's clock.
    #[display("not renewed in time")]
    Expired,
    /// The lease no longer exists in the store, or the entry is not this host's.
    #[display("the store has ended the lease")]
    Gone,
    /// The clock stepped back, so it cannot be used to determine when the lease ends.
    #[display("the clock stepped back")]
    ClockBack,
    /// This host resigned.
    #[display("given back")]
    Resigned,
}

/// A lease that the store granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) token: FencingToken,
    /// From this time on, the lease may have expired in the store.
    pub(crate) valid_until: Millis,
}

impl Grant {
    /// Counts the validity from `sent_at`. The store counts from its later receipt of the request,
    /// so the lease never expires there before `valid_until`.
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

/// Reads the holder's entry periodically.
#[derive(Debug)]
pub(crate) struct Follower {
    pub(crate) read_at: Millis,
}

#[expect(clippy::unused_self, reason = "a transition consumes the old state")]
impl Follower {
    pub(crate) const fn into_candidate(self, nonce: Nonce) -> Candidate {
        Candidate { nonce, grant: None }
    }
}

/// Has requested a lease and tries to create the holder's entry.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) nonce: Nonce,
    pub(crate) grant: Option<Grant>,
}

#[expect(clippy::unused_self, reason = "a transition consumes the old state")]
impl Candidate {
    pub(crate) fn into_holder(self, grant: Grant, now: Millis, ttl: Millis) -> Holder {
        Holder {
            grant,
            renew_at: now + Millis(ttl.0 / RENEWALS_PER_TTL),
            needs_check: false,
        }
    }

    pub(crate) const fn withdraw(self, read_at: Millis) -> Follower {
        Follower { read_at }
    }
}

/// Holds the lease and renews it.
#[derive(Debug)]
pub(crate) struct Holder {
    pub(crate) grant: Grant,
    pub(crate) renew_at: Millis,
    /// Whether the entry must be read, because a watch reported its deletion.
    pub(crate) needs_check: bool,
}

impl Holder {
    pub(crate) fn extend(&mut self, grant: Grant, now: Millis, ttl: Millis) {
        self.grant.valid_until = self.grant.valid_until.max(grant.valid_until);
        self.renew_at = now + Millis(ttl.0 / RENEWALS_PER_TTL);
    }

    pub(crate) const fn into_lapsed(self, cause: LapseCause) -> Lapsed {
        Lapsed {
            token: self.grant.token,
            cause,
        }
    }
}

/// Has lost the lease and not yet become a follower.
#[derive(Debug)]
pub(crate) struct Lapsed {
    pub(crate) token: FencingToken,
    pub(crate) cause: LapseCause,
}

#[expect(clippy::unused_self, reason = "a transition consumes the old state")]
impl Lapsed {
    pub(crate) const fn into_follower(self, read_at: Millis) -> Follower {
        Follower { read_at }
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
