//! An organisation's quota in tokens, shared by all hosts.
//!
//! Callers fall on hosts unevenly, and one host's even part of a small quota may be less than
//! one request. So a host uses only a small part of its own without asking. Hosts
//! that hear each other put the rest together: one of them keeps the account of an
//! organisation, and the others ask it request by request. A part is always divided by
//! the number of all known hosts; however these are cut into groups, the parts sum to the whole.

use std::collections::HashMap;

use carawayseam_types::{HostId, Millis, OrganisationId};

use crate::catalog::TokenQuota;
use crate::group::Group;

/// The part of a quota that hosts use without asking, divided evenly.
const EVEN_PART: f64 = 0.15;
/// The least rate that a wait is computed with, in tokens a second.
const LEAST_RATE: f64 = 1.0;
/// The part of the tolerance that is used for what hosts know late of each other.
const TOLERANCE_PART: f64 = 0.75;
/// The part of the tolerance that hosts have at their start: all may start at once, and twice in one window.
const FIRST_TOLERANCE_PART: f64 = 0.2;
/// The part of a bucket that counts as full.
const NEARLY_FULL: f64 = 0.9;

/// Tokens that fill up at a part of an organisation's rate.
#[derive(Debug, Default)]
struct Bucket {
    level: f64,
    filled_at: Millis,
    used: bool,
}

/// What a bucket holds of a quota.
#[derive(Debug, Clone, Copy)]
struct Terms {
    /// Tokens a second.
    rate: f64,
    /// Tokens at most.
    most: f64,
    /// Tokens that are there at the first use.
    first: f64,
}

impl Terms {
    fn new(quota: TokenQuota, tolerance: f64, share: f64) -> Self {
        Self {
            rate: (quota.per_second * share).max(LEAST_RATE),
            most: ((quota.burst + tolerance * TOLERANCE_PART) * share).max(LEAST_RATE),
            first: tolerance * FIRST_TOLERANCE_PART * share,
        }
    }
}

impl Bucket {
    /// An empty bucket.
    const fn since(now: Millis) -> Self {
        Self {
            level: 0.0,
            filled_at: now,
            used: false,
        }
    }

    fn refill(&mut self, now: Millis, terms: Terms) {
        if !std::mem::replace(&mut self.used, true) {
            self.level += terms.first;
        }
        let elapsed_ms = now.since(self.filled_at).0 as f64;
        self.level = terms
            .rate
            .mul_add(elapsed_ms / 1_000.0, self.level)
            .min(terms.most);
        self.filled_at = now;
    }

    /// Takes tokens that are there; false if they are not.
    fn take_at_once(&mut self, now: Millis, terms: Terms, tokens: f64) -> bool {
        self.refill(now, terms);
        let there = self.level >= tokens;
        if there {
            self.level -= tokens;
        }
        there
    }

    /// Takes tokens that are there within `patience`, or gives the time until they are.
    fn take(&mut self, now: Millis, terms: Terms, tokens: f64, patience: Millis) -> Result<Millis, Millis> {
        self.refill(now, terms);
        // A request larger than the whole bucket is admitted from a nearly full one.
        let needed = tokens.min(terms.most * NEARLY_FULL);
        let missing = (needed - self.level).max(0.0);
        let wait = Millis((missing / terms.rate * 1_000.0).ceil() as u64);
        if wait > patience {
            return Err(wait);
        }
        self.level -= tokens;
        Ok(wait)
    }
}

/// Where a request's tokens were taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccountKind {
    /// This host's own part.
    Local,
    /// The group's account, at its keeper.
    Shared,
}

/// This host's part of each organisation's quota, and the accounts that it keeps for its group.
#[derive(Debug)]
pub struct Quotas {
    me: HostId,
    group: Group,
    /// Tokens by which all hosts together may exceed a quota in one window.
    tolerance: f64,
    own: HashMap<OrganisationId, Bucket>,
    pooled: HashMap<OrganisationId, Bucket>,
}

impl Quotas {
    /// Makes the quotas of a host that is alone; all hosts together may exceed a quota by `tolerance` tokens.
    #[must_use]
    pub fn new(me: HostId, tolerance: f64) -> Self {
        Self {
            group: Group::alone(me.clone()),
            me,
            tolerance,
            own: HashMap::new(),
            pooled: HashMap::new(),
        }
    }

    /// Opens the accounts of organisations; an account is empty at first.
    pub fn open_accounts<'a>(
        &mut self,
        now: Millis,
        organisations: impl Iterator<Item = &'a OrganisationId>,
    ) {
        for organisation in organisations {
            for buckets in [&mut self.own, &mut self.pooled] {
                let bucket = || Bucket::since(now);
                buckets.entry(organisation.clone()).or_insert_with(bucket);
            }
        }
    }

    /// Takes which hosts there are; accounts that this host keeps from now on begin empty.
    pub fn set_group(&mut self, now: Millis, group: Group) {
        if group.reachable != self.group.reachable {
            for (organisation, bucket) in &mut self.pooled {
                let kept = self.group.owner(organisation.as_str()) == Some(&self.me);
                let keeps = group.owner(organisation.as_str()) == Some(&self.me);
                if keeps && !kept {
                    *bucket = Bucket::since(now);
                    bucket.used = true;
                }
            }
        }
        self.group = group;
    }

    /// The other host to ask for tokens; none if this host keeps the account itself.
    #[must_use]
    pub fn remote_owner(&self, organisation: &OrganisationId) -> Option<&HostId> {
        self.group.owner_other_than(&self.me, organisation.as_str())
    }

    /// Takes tokens from this host's own part, if they are there.
    pub fn take_local(
        &mut self,
        now: Millis,
        organisation: &OrganisationId,
        quota: TokenQuota,
        tokens: f64,
    ) -> bool {
        let terms = Terms::new(quota, self.tolerance, even_share(&self.group));
        bucket(&mut self.own, now, organisation).take_at_once(now, terms, tokens)
    }

    /// Takes tokens from this host's own part, for want of an answer from the account's keeper.
    ///
    /// # Errors
    ///
    /// The time until this host could admit the request.
    pub fn take_local_or_wait(
        &mut self,
        now: Millis,
        organisation: &OrganisationId,
        quota: TokenQuota,
        tokens: f64,
        patience: Millis,
    ) -> Result<Millis, Millis> {
        let terms = Terms::new(quota, self.tolerance, even_share(&self.group));
        bucket(&mut self.own, now, organisation).take(now, terms, tokens, patience)
    }

    /// Takes tokens from the group's account, if this host keeps it.
    ///
    /// Gives the time that the request has to wait for them.
    ///
    /// # Errors
    ///
    /// The time until the request could be admitted; none if another host keeps the account.
    pub fn take_shared(
        &mut self,
        now: Millis,
        organisation: &OrganisationId,
        quota: TokenQuota,
        tokens: f64,
        patience: Millis,
    ) -> Result<Millis, Option<Millis>> {
        if self.remote_owner(organisation).is_some() {
            return Err(None);
        }
        let terms = Terms::new(quota, self.tolerance, pooled_share(&self.group));
        let taken = bucket(&mut self.pooled, now, organisation).take(now, terms, tokens, patience);
        taken.map_err(Some)
    }

    /// Gives back the tokens of a request that was not sent.
    pub fn refund(&mut self, organisation: &OrganisationId, source: AccountKind, tokens: f64) {
        let buckets = match source {
            AccountKind::Local => &mut self.own,
            AccountKind::Shared => &mut self.pooled,
        };
        if let Some(bucket) = buckets.get_mut(organisation) {
            bucket.level += tokens;
        }
    }
}

/// The part of a quota that each host uses without asking.
fn even_share(group: &Group) -> f64 {
    EVEN_PART / f64::from(group.all())
}

/// The part of a quota that the hosts which can ask each other have put together.
fn pooled_share(group: &Group) -> f64 {
    (1.0 - EVEN_PART) * group.reachable.len().max(1) as f64 / f64::from(group.all())
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
