//! Limits that backend servers report in their responses, and that hosts tell each other of.
//!
//! A limit holds from the first response that reports it until a response that no longer does.
//! Responses arrive out of order, so only the response to a request that was sent after this host
//! learned of the limit can end it.
//!
//! Each change of a server's limit has a version, which the host that observes the change derives from
//! the latest version that it knows; a later version supersedes an earlier one.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use carawayseam_types::{EngineId, Millis, RequestRate};

use crate::rotation::Rotation;

/// How long a change is announced to peers.
const GOSSIP_PERIOD: Millis = Millis::from_secs(3);
/// Limit of servers announced in one update.
const MAX_GOSSIP_UPDATES: usize = 16;
/// Limit of servers kept; beyond it the least recently changed are evicted.
const MAX_SERVERS: usize = 4_096;

/// A server's limit, as sent to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLimit<V = RequestRate> {
    /// The server.
    pub engine: EngineId,
    /// The version of the limit, which increases with each change.
    pub version: u64,
    /// The limit; `None` after it ended.
    pub limit: Option<V>,
}

/// What is known of one server's limit.
#[derive(Debug, Clone, Copy)]
struct Entry<V> {
    version: u64,
    limit: Option<V>,
    changed_at: Millis,
}

impl<V: Copy + Ord> Entry<V> {
    /// Returns whether `other` supersedes this entry; of two changes of one version, the lower limit does.
    fn is_superseded_by(&self, other: &ServerLimit<V>) -> bool {
        let strictness = |limit: Option<V>| limit.map(Reverse);
        (other.version, strictness(other.limit)) > (self.version, strictness(self.limit))
    }
}

/// The known limits of one kind.
#[derive(Debug)]
pub(crate) struct ReportedLimits<V> {
    entries: BTreeMap<EngineId, Entry<V>>,
    announced: Rotation,
}

impl<V> Default for ReportedLimits<V> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            announced: Rotation::default(),
        }
    }
}

impl<V: Copy + Ord> ReportedLimits<V> {
    /// Records the limit in the response to a request that was sent at `sent_at`.
    ///
    /// Returns whether the known limit changed.
    pub(crate) fn record_response(
        &mut self,
        now: Millis,
        engine: &EngineId,
        sent_at: Millis,
        reported: Option<V>,
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
    pub(crate) fn record_peer_update(&mut self, now: Millis, update: ServerLimit<V>) -> bool {
        let known = self.entries.get(&update.engine);
        let known_limit = known.and_then(|known| known.limit);
        if known.is_some_and(|known| !known.is_superseded_by(&update)) {
            return false;
        }
        self.set(now, update.engine, update.version, update.limit);
        known_limit != update.limit
    }

    fn set(&mut self, now: Millis, engine: EngineId, version: u64, limit: Option<V>) {
        let entry = Entry {
            version,
            limit,
            changed_at: now,
        };
        self.entries.insert(engine, entry);
        self.evict_oldest();
    }

    /// Returns the limit of a server, if it has one.
    pub(crate) fn get(&self, engine: &EngineId) -> Option<V> {
        self.entries.get(engine)?.limit
    }

    /// Returns the updates to announce to peers: the changes within `GOSSIP_PERIOD`.
    ///
    /// A peer that has just started or was partitioned may know none, so while there is one, all entries are
    /// announced. If they do not fit one update, later updates contain the others.
    pub(crate) fn gossip_updates(&mut self, now: Millis, has_new_peer: bool) -> Vec<ServerLimit<V>> {
        let is_due = |entry: &Entry<V>| has_new_peer || now.since(entry.changed_at) <= GOSSIP_PERIOD;
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
