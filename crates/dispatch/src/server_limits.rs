//! Rate limits that backend servers report, kept by all hosts together.
//!
//! A limit holds from the first response that reports it until a response that no longer does.
//! Responses arrive out of order, so only the response to a request that was sent after this host
//! learned of the limit can end it.
//!
//! Hosts tell each other of limits. Each change of a server's limit has a version, which the host
//! that observes the change derives from the latest version that it knows; a later version
//! supersedes an earlier one.
//!
//! A request to a limited server needs a permit from the account that the hosts share.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use carawayseam_types::{EngineId, HostId, Millis, RequestRate};

use crate::accounts::{Accounts, BucketParams};
use crate::group::Group;
use crate::rotation::Rotation;

/// Lower bound of the rate at which requests are sent to a limited server, also if it reports zero: only
/// the response to a request can end a limit.
const MIN_LIMIT: RequestRate = RequestRate { per_1000_s: 250 };
/// Time over which unused permits accumulate.
const BURST_TIME_S: f64 = 1.5;
/// Number of permits that accumulate beyond this time, so that a group of a few hosts can hold one.
const EXTRA_BURST: f64 = 3.0;
/// Wait for a permit that the account of a small group can never hold.
const NO_PERMIT_WAIT: Millis = Millis::from_secs(1);
/// How long a change is announced to peers.
const GOSSIP_PERIOD: Millis = Millis::from_secs(3);
/// Limit of servers announced in one update.
const MAX_GOSSIP_UPDATES: usize = 16;
/// Limit of servers kept; beyond it the least recently changed are evicted.
const MAX_SERVERS: usize = 4_096;

/// A server's limit, as sent to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLimit {
    /// The server.
    pub engine: EngineId,
    /// The version of the limit, which increases with each change.
    pub version: u64,
    /// The limit; `None` after it ended.
    pub limit: Option<RequestRate>,
}

/// What is known of one server's limit.
#[derive(Debug, Clone, Copy)]
struct Entry {
    version: u64,
    limit: Option<RequestRate>,
    changed_at: Millis,
}

impl Entry {
    /// Returns whether `other` supersedes this entry; of two changes of one version, the lower limit does.
    fn is_superseded_by(&self, other: &ServerLimit) -> bool {
        let strictness = |limit: Option<RequestRate>| limit.map(Reverse);
        (other.version, strictness(other.limit)) > (self.version, strictness(self.limit))
    }
}

/// The rate limits of backend servers, and the accounts of those that this host owns.
#[derive(Debug)]
pub struct ServerLimits {
    entries: BTreeMap<EngineId, Entry>,
    accounts: Accounts<EngineId>,
    announced: Rotation,
}

impl ServerLimits {
    /// Creates the limits of a host without peers.
    #[must_use]
    pub fn new(me: HostId) -> Self {
        Self {
            entries: BTreeMap::new(),
            accounts: Accounts::new(me),
            announced: Rotation::default(),
        }
    }

    /// Records the limit in the response to a request that was sent at `sent_at`.
    ///
    /// Returns whether the known limit changed.
    pub fn record_response(
        &mut self,
        now: Millis,
        engine: &EngineId,
        sent_at: Millis,
        reported: Option<RequestRate>,
    ) -> bool {
        let known = self.entries.get(engine);
        let is_change = match (known, reported) {
            (None, reported) => reported.is_some(),
            (Some(known), Some(_)) => known.limit != reported,
            (Some(known), None) => known.limit.is_some() && sent_at >= known.changed_at,
        };
        if is_change {
            let version = known.map_or(0, |known| known.version) + 1;
            self.set(now, engine.clone(), version, reported);
        }
        is_change
    }

    /// Records a limit that a peer announced; returns whether the known limit changed.
    pub fn record_peer_update(&mut self, now: Millis, update: ServerLimit) -> bool {
        let known = self.entries.get(&update.engine);
        let known_limit = known.and_then(|known| known.limit);
        if known.is_some_and(|known| !known.is_superseded_by(&update)) {
            return false;
        }
        self.set(now, update.engine, update.version, update.limit);
        known_limit != update.limit
    }

    fn set(&mut self, now: Millis, engine: EngineId, version: u64, limit: Option<RequestRate>) {
        let entry = Entry {
            version,
            limit,
            changed_at: now,
        };
        self.entries.insert(engine, entry);
        self.evict_oldest();
    }

    /// Returns the limit of a server, if it has one.
    #[must_use]
    pub fn get(&self, engine: &EngineId) -> Option<RequestRate> {
        self.entries.get(engine)?.limit
    }

    /// Returns the updates to announce to peers: the changes within `GOSSIP_PERIOD`.
    ///
    /// A peer that has just started or was partitioned may know none, so while there is one, all entries are
    /// announced. If they do not fit one update, later updates contain the others.
    pub fn gossip_updates(&mut self, now: Millis, has_new_peer: bool) -> Vec<ServerLimit> {
        let is_due = |entry: &Entry| has_new_peer || now.since(entry.changed_at) <= GOSSIP_PERIOD;
        let due: Vec<_> = self.entries.iter().filter(|(_, entry)| is_due(entry)).collect();
        let updates = self.announced.take(&due, MAX_GOSSIP_UPDATES).into_iter();
        updates
            .map(|(engine, entry)| ServerLimit {
                engine: engine.clone(),
                version: entry.version,
                limit: entry.limit,
            })
            .collect()
    }

    /// Updates the group of known hosts; accounts that this host newly owns start empty.
    pub fn set_group(&mut self, now: Millis, group: Group) {
        self.accounts.set_group(now, group);
    }

    /// Returns the remote owner of a server's permits; `None` if this host owns them.
    #[must_use]
    pub fn remote_owner(&self, engine: &EngineId) -> Option<&HostId> {
        self.accounts.remote_owner(engine)
    }

    /// Takes a permit to send a request to a limited server, if this host owns the server's permits.
    ///
    /// `limit` is the limit that the requesting host knows; the lower of it and this host's is kept.
    ///
    /// # Errors
    ///
    /// Returns the time until a permit could be available, or `None` if another host owns the permits.
    pub fn take_permit(
        &mut self,
        now: Millis,
        engine: &EngineId,
        limit: RequestRate,
    ) -> Result<(), Option<Millis>> {
        let limit = self.get(engine).map_or(limit, |known| known.min(limit));
        let params = bucket_params(limit, self.accounts.fraction());
        let bucket = self.accounts.owned(now, engine).ok_or(None)?;
        match bucket.try_take(now, params, 1.0) {
            true => Ok(()),
            false if params.capacity < 1.0 => Err(Some(NO_PERMIT_WAIT)),
            false => Err(Some(bucket.wait_for(params, 1.0))),
        }
    }

    /// Returns the permit of a request that was not sent.
    pub fn refund_permit(&mut self, engine: &EngineId) {
        self.accounts.refund(engine, 1.0);
    }

    fn evict_oldest(&mut self) {
        while self.entries.len() > MAX_SERVERS {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.changed_at);
            let Some(engine) = oldest.map(|(engine, _)| engine.clone()) else {
                return;
            };
            self.entries.remove(&engine);
        }
    }
}

fn bucket_params(limit: RequestRate, fraction: f64) -> BucketParams {
    let per_second = limit.max(MIN_LIMIT).per_second();
    BucketParams {
        rate: per_second * fraction,
        capacity: per_second.mul_add(BURST_TIME_S, EXTRA_BURST) * fraction,
        initial: 0.0,
    }
}
