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

use crate::catalog::TokenQuota;
use crate::group::Group;

/// Fraction of a quota that goes to the local accounts, divided evenly among the hosts.
const LOCAL_FRACTION: f64 = 0.15;
/// Lower bound of a bucket's rate, in tokens per second, and of its capacity, in tokens.
///
/// A wait is computed by dividing by the rate.
const MIN_RATE: f64 = 1.0;
/// Fraction of the tolerance that covers the delay with which hosts detect each other's state.
const TOLERANCE_FRACTION: f64 = 0.75;
/// Fraction of the tolerance that hosts hold at start.
///
/// All hosts may start at once, and twice within one window.
const INITIAL_TOLERANCE_FRACTION: f64 = 0.2;
/// Fraction of its capacity at which a bucket counts as full.
const FULL_FRACTION: f64 = 0.9;

/// A token bucket that refills at a fraction of an organisation's rate.
#[derive(Debug, Default)]
struct Bucket {
    level: f64,
    refilled_at: Millis,
    /// Whether the initial tokens have been added.
    is_initialised: bool,
}

/// The parameters of a bucket for a fraction of a quota.
#[derive(Debug, Clone, Copy)]
struct BucketParams {
    /// Refill rate in tokens per second.
    rate: f64,
    /// Maximum number of tokens.
    capacity: f64,
    /// Tokens that are added at the first use.
    initial: f64,
}

impl BucketParams {
    fn new(quota: TokenQuota, tolerance: f64, fraction: f64) -> Self {
        Self {
            rate: (quota.per_second * fraction).max(MIN_RATE),
            capacity: ((quota.burst + tolerance * TOLERANCE_FRACTION) * fraction).max(MIN_RATE),
            initial: tolerance * INITIAL_TOLERANCE_FRACTION * fraction,
        }
    }
}

impl Bucket {
    /// Returns an empty bucket.
    const fn since(now: Millis) -> Self {
        Self {
            level: 0.0,
            refilled_at: now,
            is_initialised: false,
        }
    }

    fn refill(&mut self, now: Millis, params: BucketParams) {
        if !std::mem::replace(&mut self.is_initialised, true) {
            self.level += params.initial;
        }
        let elapsed_ms = now.since(self.refilled_at).0 as f64;
        self.level = params
            .rate
            .mul_add(elapsed_ms / 1_000.0, self.level)
            .min(params.capacity);
        self.refilled_at = now;
    }

    /// Takes tokens if they are available now; returns whether they were taken.
    fn try_take(&mut self, now: Millis, params: BucketParams, tokens: f64) -> bool {
        self.refill(now, params);
        let is_available = self.level >= tokens;
        if is_available {
            self.level -= tokens;
        }
        is_available
    }

    /// Takes tokens that become available within `max_wait`, and returns the wait.
    ///
    /// If the wait is longer, no tokens are taken and the wait is returned as an error.
    fn take(
        &mut self,
        now: Millis,
        params: BucketParams,
        tokens: f64,
        max_wait: Millis,
    ) -> Result<Millis, Millis> {
        self.refill(now, params);
        // A request larger than the bucket's capacity is admitted when the bucket is nearly full.
        let needed = tokens.min(params.capacity * FULL_FRACTION);
        let missing = (needed - self.level).max(0.0);
        let wait = Millis((missing / params.rate * 1_000.0).ceil() as u64);
        if wait > max_wait {
            return Err(wait);
        }
        self.level -= tokens;
        Ok(wait)
    }
}

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
    me: HostId,
    group: Group,
    /// Number of tokens by which all hosts together may exceed a quota in one window.
    tolerance: f64,
    local: HashMap<OrganisationId, Bucket>,
    shared: HashMap<OrganisationId, Bucket>,
}

impl Quotas {
    /// Creates the quotas of a host without peers.
    ///
    /// All hosts together may exceed a quota by `tolerance` tokens.
    #[must_use]
    pub fn new(me: HostId, tolerance: f64) -> Self {
        Self {
            group: Group::alone(me.clone()),
            me,
            tolerance,
            local: HashMap::new(),
            shared: HashMap::new(),
        }
    }

    /// Opens the accounts of organisations; a new account is empty.
    pub fn open_accounts<'a>(
        &mut self,
        now: Millis,
        organisations: impl Iterator<Item = &'a OrganisationId>,
    ) {
        for organisation in organisations {
            for buckets in [&mut self.local, &mut self.shared] {
                let bucket = || Bucket::since(now);
                buckets.entry(organisation.clone()).or_insert_with(bucket);
            }
        }
    }

    /// Updates the group of known hosts; shared accounts that this host newly owns start empty.
    pub fn set_group(&mut self, now: Millis, group: Group) {
        if group.reachable != self.group.reachable {
            for (organisation, bucket) in &mut self.shared {
                let was_owner = self.group.owner(organisation.as_str()) == Some(&self.me);
                let is_owner = group.owner(organisation.as_str()) == Some(&self.me);
                if is_owner && !was_owner {
                    *bucket = Bucket::since(now);
                    bucket.is_initialised = true;
                }
            }
        }
        self.group = group;
    }

    /// Returns the remote owner of the shared account; `None` if this host owns it.
    #[must_use]
    pub fn remote_owner(&self, organisation: &OrganisationId) -> Option<&HostId> {
        self.group.owner_other_than(&self.me, organisation.as_str())
    }

    /// Takes tokens from this host's local account if they are available now.
    pub fn take_local(
        &mut self,
        now: Millis,
        organisation: &OrganisationId,
        quota: TokenQuota,
        tokens: f64,
    ) -> bool {
        let params = BucketParams::new(quota, self.tolerance, local_fraction(&self.group));
        bucket(&mut self.local, now, organisation).try_take(now, params, tokens)
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
        let params = BucketParams::new(quota, self.tolerance, local_fraction(&self.group));
        bucket(&mut self.local, now, organisation).take(now, params, tokens, max_wait)
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
        if self.remote_owner(organisation).is_some() {
            return Err(None);
        }
        let params = BucketParams::new(quota, self.tolerance, shared_fraction(&self.group));
        let taken = bucket(&mut self.shared, now, organisation).take(now, params, tokens, max_wait);
        taken.map_err(Some)
    }

    /// Returns the tokens of a request that was not sent to their account.
    pub fn refund(&mut self, organisation: &OrganisationId, source: AccountKind, tokens: f64) {
        let buckets = match source {
            AccountKind::Local => &mut self.local,
            AccountKind::Shared => &mut self.shared,
        };
        if let Some(bucket) = buckets.get_mut(organisation) {
            bucket.level += tokens;
        }
    }
}

/// Returns the fraction of a quota in each host's local account.
fn local_fraction(group: &Group) -> f64 {
    LOCAL_FRACTION / f64::from(group.all())
}

/// Returns the fraction of a quota in the shared account of the hosts that can reach each other.
fn shared_fraction(group: &Group) -> f64 {
    (1.0 - LOCAL_FRACTION) * group.reachable.len().max(1) as f64 / f64::from(group.all())
}

fn bucket<'a>(
    buckets: &'a mut HashMap<OrganisationId, Bucket>,
    now: Millis,
    organisation: &OrganisationId,
) -> &'a mut Bucket {
    buckets
        .entry(organisation.clone())
        .or_insert_with(|| Bucket::since(now))
}
