//! Token buckets that hosts share.
//!
//! One of the hosts that can reach each other owns the shared account of a resource, and the
//! others ask it for tokens. An account covers the fraction of its resource that corresponds to
//! these hosts among all known hosts, so that however a partition groups the hosts, their accounts
//! never sum to more than the resource. An account that a host takes over starts empty.

use std::collections::HashMap;
use std::hash::Hash;

use carawayseam_types::{HostId, Millis};

use crate::group::Group;

/// Fraction of its capacity at which a bucket counts as full.
const FULL_FRACTION: f64 = 0.9;

/// A token bucket that refills at a constant rate.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    level: f64,
    refilled_at: Millis,
    /// Whether the initial tokens have been added.
    is_initialised: bool,
}

/// The parameters of a bucket for a fraction of a resource.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BucketParams {
    /// Refill rate in tokens per second.
    pub(crate) rate: f64,
    /// Maximum number of tokens.
    pub(crate) capacity: f64,
    /// Tokens that are added at the first use.
    pub(crate) initial: f64,
}

impl Bucket {
    /// Returns an empty bucket.
    pub(crate) const fn since(now: Millis) -> Self {
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

    pub(crate) fn refund(&mut self, tokens: f64) {
        self.level += tokens;
    }

    /// Takes tokens if they are available now; returns whether they were taken.
    pub(crate) fn try_take(&mut self, now: Millis, params: BucketParams, tokens: f64) -> bool {
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
    pub(crate) fn take(
        &mut self,
        now: Millis,
        params: BucketParams,
        tokens: f64,
        max_wait: Millis,
    ) -> Result<Millis, Millis> {
        self.refill(now, params);
        // A request larger than the bucket's capacity is admitted when the bucket is nearly full.
        let needed = tokens.min(params.capacity * FULL_FRACTION);
        let wait = self.wait_for(params, needed);
        if wait > max_wait {
            return Err(wait);
        }
        self.level -= tokens;
        Ok(wait)
    }

    /// Returns the time until the refilled bucket holds `tokens`.
    pub(crate) fn wait_for(&self, params: BucketParams, tokens: f64) -> Millis {
        let missing = (tokens - self.level).max(0.0);
        Millis((missing / params.rate * 1_000.0).ceil() as u64)
    }
}

/// The shared accounts that a host owns, by the name of their resource.
#[derive(Debug)]
pub(crate) struct Accounts<K> {
    me: HostId,
    group: Group,
    buckets: HashMap<K, Bucket>,
}

impl<K: AsRef<str> + Clone + Eq + Hash> Accounts<K> {
    /// Creates the accounts of a host without peers.
    pub(crate) fn new(me: HostId) -> Self {
        Self {
            group: Group::alone(me.clone()),
            me,
            buckets: HashMap::new(),
        }
    }

    /// Opens an account; a new account is empty.
    pub(crate) fn open(&mut self, now: Millis, name: &K) {
        self.bucket_mut(now, name);
    }

    /// Updates the group of known hosts; accounts that this host newly owns start empty.
    pub(crate) fn set_group(&mut self, now: Millis, group: Group) {
        if group.reachable != self.group.reachable {
            for (name, bucket) in &mut self.buckets {
                let was_owner = self.group.owner(name.as_ref()) == Some(&self.me);
                let is_owner = group.owner(name.as_ref()) == Some(&self.me);
                if is_owner && !was_owner {
                    *bucket = Bucket::since(now);
                    bucket.is_initialised = true;
                }
            }
        }
        self.group = group;
    }

    pub(crate) const fn group(&self) -> &Group {
        &self.group
    }

    /// Returns the remote owner of an account; `None` if this host owns it.
    pub(crate) fn remote_owner(&self, name: &K) -> Option<&HostId> {
        self.group.owner_other_than(&self.me, name.as_ref())
    }

    /// Returns the bucket of an account, or `None` if another host owns the account.
    pub(crate) fn owned(&mut self, now: Millis, name: &K) -> Option<&mut Bucket> {
        if self.remote_owner(name).is_some() {
            return None;
        }
        Some(self.bucket_mut(now, name))
    }

    /// Returns tokens that were taken from an account to it, if it is still open.
    pub(crate) fn refund(&mut self, name: &K, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.refund(tokens);
        }
    }

    /// Returns the fraction of a resource in the account of the hosts that can reach each other.
    pub(crate) fn fraction(&self) -> f64 {
        self.group.reachable.len().max(1) as f64 / f64::from(self.group.all())
    }

    fn bucket_mut(&mut self, now: Millis, name: &K) -> &mut Bucket {
        bucket_mut(&mut self.buckets, now, name)
    }
}

/// Returns the bucket of a resource, which is empty if it is new.
pub(crate) fn bucket_mut<'a, K: Clone + Eq + Hash>(
    buckets: &'a mut HashMap<K, Bucket>,
    now: Millis,
    name: &K,
) -> &'a mut Bucket {
    buckets.entry(name.clone()).or_insert_with(|| Bucket::since(now))
}
