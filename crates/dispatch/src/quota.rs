//! An organisation's quota in tokens, shared by all hosts.
//!
//! Callers fall on hosts unevenly, and a host that is cut off cannot ask what the
//! others admitted. A part of each quota is divided evenly by the number of known hosts.
//! The rest is divided the same way into parts, of which a group of
//! hosts that hear each other pools its own and lends it by demand. However the hosts
//! are cut into groups, the parts sum to the whole.

use std::collections::HashMap;

use carawayseam_types::{Millis, OrganisationId};

use crate::catalog::TokenQuota;

/// The part of a quota that is divided evenly; the rest follows demand.
const EVEN_PART: f64 = 0.3;
/// The time over which demand is averaged, in milliseconds.
const DEMAND_SPAN_MS: f64 = 2_000.0;
/// Demand below which a host is counted with this much, in tokens a second.
const LEAST_DEMAND: f64 = 1.0;
/// The part of the tolerance that is used for what hosts know late of each other.
const TOLERANCE_PART: f64 = 0.75;
/// The part of the tolerance that hosts have at their start: all may start at once, and twice in one window.
const FIRST_TOLERANCE_PART: f64 = 0.2;
/// The part of a bucket that counts as full.
const NEARLY_FULL: f64 = 0.9;

/// How the hosts stand to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hosts {
    /// All hosts that may admit requests, this one among them.
    pub known: u32,
    /// Those heard lately, this one among them.
    pub heard: u32,
}

impl Hosts {
    /// This host alone.
    pub const ALONE: Self = Self { known: 1, heard: 1 };
}

#[derive(Debug, Default)]
struct Account {
    level: f64,
    filled_at: Millis,
    opened: bool,
    used: bool,
    demand: f64,
    peers_demand: f64,
}

/// This host's part of each organisation's quota.
#[derive(Debug)]
pub struct Quotas {
    hosts: Hosts,
    /// Tokens by which all hosts together may exceed a quota in one window.
    tolerance: f64,
    accounts: HashMap<OrganisationId, Account>,
}

impl Quotas {
    /// Makes the quotas of a host that is alone; all hosts together may exceed a quota by `tolerance` tokens.
    #[must_use]
    pub fn new(tolerance: f64) -> Self {
        Self {
            hosts: Hosts::ALONE,
            tolerance,
            accounts: HashMap::new(),
        }
    }

    /// Opens the accounts of organisations; an account is empty at first.
    pub fn open<'a>(&mut self, now: Millis, organisations: impl Iterator<Item = &'a OrganisationId>) {
        for organisation in organisations {
            let account = self.accounts.entry(organisation.clone()).or_default();
            if !account.opened {
                account.opened = true;
                account.filled_at = now;
            }
        }
    }

    /// Takes how many hosts there are and how many were heard lately.
    pub const fn set_hosts(&mut self, hosts: Hosts) {
        self.hosts = hosts;
    }

    /// Takes what the peers that were heard lately are asked for, in tokens a second.
    pub fn set_peer_demand(&mut self, organisation: &OrganisationId, per_second: f64) {
        self.account(organisation).peers_demand = per_second;
    }

    /// This host's own demand, in tokens a second.
    pub fn demands(&self) -> impl Iterator<Item = (&OrganisationId, f64)> {
        self.accounts.iter().map(|(name, account)| (name, account.demand))
    }

    /// Takes the tokens of one request, if they are there within `patience`.
    ///
    /// Gives the time that the request has to wait for them.
    ///
    /// # Errors
    ///
    /// The time until this host could admit it.
    pub fn take(
        &mut self,
        now: Millis,
        organisation: &OrganisationId,
        quota: TokenQuota,
        tokens: f64,
        patience: Millis,
    ) -> Result<Millis, Millis> {
        let (hosts, tolerance) = (self.hosts, self.tolerance * TOLERANCE_PART);
        let first = self.tolerance * FIRST_TOLERANCE_PART;
        let account = self.accounts.entry(organisation.clone()).or_default();
        let share = share(hosts, account.demand, account.peers_demand);
        if !std::mem::replace(&mut account.used, true) {
            account.level += first * share;
        }
        let most = most(quota, tolerance, share);
        account.refill(now, quota, share, most, tokens);
        // A request larger than the host's whole bucket is admitted from a nearly full one.
        let needed = tokens.min(most * NEARLY_FULL);
        let missing = (needed - account.level).max(0.0);
        let rate = (quota.per_second * share).max(LEAST_DEMAND);
        let wait = Millis((missing / rate * 1_000.0).ceil() as u64);
        if wait > patience {
            return Err(wait);
        }
        account.level -= tokens;
        Ok(wait)
    }

    /// Gives back the tokens of a request that was not sent.
    pub fn give_back(&mut self, organisation: &OrganisationId, tokens: f64) {
        self.account(organisation).level += tokens;
    }

    fn account(&mut self, organisation: &OrganisationId) -> &mut Account {
        self.accounts.entry(organisation.clone()).or_default()
    }
}

impl Account {
    fn refill(&mut self, now: Millis, quota: TokenQuota, share: f64, most: f64, asked: f64) {
        let elapsed_ms = now.since(self.filled_at).0 as f64;
        if self.opened {
            self.level += quota.per_second * share * elapsed_ms / 1_000.0;
            let keep = (-elapsed_ms / DEMAND_SPAN_MS).exp();
            self.demand *= keep;
        }
        self.opened = true;
        self.demand += asked * 1_000.0 / DEMAND_SPAN_MS;
        self.level = self.level.min(most);
        self.filled_at = now;
    }
}

/// The most tokens that this host may admit at once.
fn most(quota: TokenQuota, tolerance: f64, share: f64) -> f64 {
    ((quota.burst + tolerance) * share).max(LEAST_DEMAND)
}

/// The part of a quota that this host may use.
fn share(hosts: Hosts, own: f64, peers: f64) -> f64 {
    let known = f64::from(hosts.known.max(hosts.heard).max(1));
    let own = own.max(LEAST_DEMAND);
    let lent = (1.0 - EVEN_PART) * f64::from(hosts.heard.max(1)) / known;
    EVEN_PART / known + lent * own / (own + peers)
}
