//! An organisation's quota in tokens, shared by all hosts.
//!
//! Callers fall on hosts unevenly, and a host that is cut off cannot ask what the
//! others admitted. Half of each quota is divided evenly by the number of known hosts.
//! The other half is divided the same way into parts, of which a group of
//! hosts that hear each other pools its own and lends it by demand. However the hosts
//! are cut into groups, the parts sum to the whole.

use std::collections::HashMap;

use carawayseam_types::{Millis, OrganisationId};

use crate::catalog::TokenQuota;

/// The part of a quota that is divided evenly; the rest follows demand.
const EVEN_PART: f64 = 0.5;
/// The time over which demand is averaged, in milliseconds.
const DEMAND_SPAN_MS: f64 = 2_000.0;
/// Demand below which a host is counted with this much, in tokens a second.
const LEAST_DEMAND: f64 = 1.0;
/// The part of its share that a host may use at once after its start.
const FIRST_LEVEL: f64 = 0.1;
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
    demand: f64,
    peers_demand: f64,
}

/// This host's part of each organisation's quota.
#[derive(Debug)]
pub struct Quotas {
    hosts: Hosts,
    accounts: HashMap<OrganisationId, Account>,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            hosts: Hosts::ALONE,
            accounts: HashMap::new(),
        }
    }
}

impl Quotas {
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

    /// Takes the tokens of one request.
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
    ) -> Result<(), Millis> {
        let hosts = self.hosts;
        let account = self.account(organisation);
        let share = share(hosts, account.demand, account.peers_demand);
        account.refill(now, quota, share, tokens);
        // A request larger than the host's whole bucket is admitted from a nearly full one.
        let needed = tokens.min(most(quota, share) * NEARLY_FULL);
        if account.level >= needed {
            account.level -= tokens;
            return Ok(());
        }
        let missing = needed - account.level;
        let rate = (quota.per_second * share).max(LEAST_DEMAND);
        Err(Millis((missing / rate * 1_000.0).ceil() as u64))
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
    fn refill(&mut self, now: Millis, quota: TokenQuota, share: f64, asked: f64) {
        let elapsed_ms = now.since(self.filled_at).0 as f64;
        let most = most(quota, share);
        if self.opened {
            self.level += quota.per_second * share * elapsed_ms / 1_000.0;
            let keep = (-elapsed_ms / DEMAND_SPAN_MS).exp();
            self.demand *= keep;
        } else {
            self.opened = true;
            self.level = most * FIRST_LEVEL;
        }
        self.demand += asked * 1_000.0 / DEMAND_SPAN_MS;
        self.level = self.level.min(most);
        self.filled_at = now;
    }
}

/// The most tokens that this host may admit at once.
fn most(quota: TokenQuota, share: f64) -> f64 {
    (quota.burst.max(quota.per_second) * share).max(LEAST_DEMAND)
}

/// The part of a quota that this host may use.
fn share(hosts: Hosts, own: f64, peers: f64) -> f64 {
    let known = f64::from(hosts.known.max(hosts.heard).max(1));
    let own = own.max(LEAST_DEMAND);
    let lent = (1.0 - EVEN_PART) * f64::from(hosts.heard.max(1)) / known;
    EVEN_PART / known + lent * own / (own + peers)
}
