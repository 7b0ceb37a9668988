//! An organisation's quota in tokens, shared by all hosts.
//!
//! Callers are distributed unevenly over the hosts, and one host's even share of a small quota
//! may be less than one request. Therefore each host has a local account for only a small part
//! of the quota. Hosts that can reach each other pool the rest in a shared account: one of them
//! owns it, and the others send it a request for tokens per request. Each part is divided by
//! the number of all known hosts, so that however a partition groups the hosts, their parts
//! never sum to more than the quota.

use std::collections::HashMap;

use carawayseam_types::{HostId, Millis, OrganisationId};

use crate::accounts::{Accounts, Bucket, BucketParams, bucket_mut};
use crate::catalog::TokenQuota;
use crate::group::Group;

/// Fraction of a quota that goes to the local accounts, divided evenly among the hosts.
pub(crate) const LOCAL_FRACTION: f64 = 0.15;
/// Lower bound of a bucket's rate, in tokens per second, and of its capacity, in tokens.
///
/// A wait is computed by dividing by the rate.
pub(crate) const MIN_RATE: f64 = 1.0;
/// Fraction of the tolerance that covers the delay with which hosts detect each other's state.
const TOLERANCE_FRACTION: f64 = 0.75;
/// Fraction of the tolerance that hosts hold at start.
///
/// All hosts may start at once, and twice within one window.
const INITIAL_TOLERANCE_FRACTION: f64 = 0.2;
/// The account that a request's tokens were taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccountKind {
    /// This host's local account.
    Local,
    /// The group's shared account, at its owner.
    Shared,
}

/// This host's local account for each organisation, and the shared accounts that it owns.
#[derive(Debug)]
pub struct Quotas {
    /// Number of tokens by which all hosts together may exceed a quota in one window.
    tolerance: f64,
    local: HashMap<OrganisationId, Bucket>,
    shared: Accounts<OrganisationId>,
}

impl Quotas {
    /// Creates the quotas of a host without peers.
    ///
    /// All hosts together may exceed a quota by `tolerance` tokens.
    #[must_use]
    pub fn new(me: HostId, tolerance: f64) -> Self {
        Self {
            tolerance,
            local: HashMap::new(),
            shared: Accounts::new(me),
        }
    }

    /// Opens the accounts of organisations; a new account is empty.
    pub fn open_accounts<'a>(
        &mut self,
        now: Millis,
        organisations: impl Iterator<Item = &'a OrganisationId>,
    ) {
        for organisation in organisations {
            bucket_mut(&mut self.local, now, organisation);
            self.shared.open(now, organisation);
        }
    }

    /// Updates the group of known hosts; shared accounts that this host newly owns start empty.
    pub fn set_group(&mut self, now: Millis, group: Group) {
        self.shared.set_group(now, group);
    }

    /// Returns the remote owner of the shared account; `None` if this host owns it.
    #[must_use]
    pub fn remote_owner(&self, organisation: &OrganisationId) -> Option<&HostId> {
        self.shared.remote_owner(organisation)
    }

    /// Takes tokens from this host's local account if they are available now.
    pub fn take_local(
        &mut self,
        now: Millis,
        organisation: &OrganisationId,
        quota: TokenQuota,
        tokens: f64,
    ) -> bool {
        let params = self.params(quota, self.local_fraction());
        bucket_mut(&mut self.local, now, organisation).try_take(now, params, tokens)
    }

    /// Takes tokens from this host's local account when the owner of the shared account does not respond.
    ///
    /// Returns the time that the request has to wait for them.
    ///
    /// # Errors
    ///
    /// Returns the time until this host could admit the request if it exceeds `max_wait`.
    pub fn take_local_or_wait(
        &mut self,
        now: Millis,
        organisation: &OrganisationId,
        quota: TokenQuota,
        tokens: f64,
        max_wait: Millis,
    ) -> Result<Millis, Millis> {
        let params = self.params(quota, self.local_fraction());
        bucket_mut(&mut self.local, now, organisation).take(now, params, tokens, max_wait)
    }

    /// Takes tokens from the group's shared account if this host owns it.
    ///
    /// Returns the time that the request has to wait for the tokens.
    ///
    /// # Errors
    ///
    /// Returns the time until the request could be admitted, or `None` if another host owns the account.
    pub fn take_shared(
        &mut self,
        now: Millis,
        organisation: &OrganisationId,
        quota: TokenQuota,
        tokens: f64,
        max_wait: Millis,
    ) -> Result<Millis, Option<Millis>> {
        let fraction = (1.0 - LOCAL_FRACTION) * self.shared.fraction();
        let params = self.params(quota, fraction);
        let bucket = self.shared.owned(now, organisation).ok_or(None)?;
        bucket.take(now, params, tokens, max_wait).map_err(Some)
    }

    /// Returns the tokens of a request that was not sent to their account.
    pub fn refund(&mut self, organisation: &OrganisationId, source: AccountKind, tokens: f64) {
        match source {
            AccountKind::Local => {
                if let Some(bucket) = self.local.get_mut(organisation) {
                    bucket.refund(tokens);
                }
            }
            AccountKind::Shared => self.shared.refund(organisation, tokens),
        }
    }

    /// Returns the fraction of a quota in each host's local account.
    fn local_fraction(&self) -> f64 {
        LOCAL_FRACTION / f64::from(self.shared.group().all())
    }

    fn params(&self, quota: TokenQuota, fraction: f64) -> BucketParams {
        BucketParams {
            rate: (quota.per_second * fraction).max(MIN_RATE),
            capacity: ((quota.burst + self.tolerance * TOLERANCE_FRACTION) * fraction).max(MIN_RATE),
            initial: self.tolerance * INITIAL_TOLERANCE_FRACTION * fraction,
        }
    }
}
