//! The backend servers that the store lists, and how long those are kept that it no longer does.
//!
//! Entries expire while the store is unavailable and are written again, so a missing entry is kept for a
//! while after an outage. A store that was restored from a copy lists servers that have drained or left since;
//! they get no new requests until they write their entry again.

use std::collections::BTreeMap;

use carawayseam_types::{EngineId, Millis};

use crate::engine::EngineEntry;

/// How long the removal of a server is remembered; longer than the age of a copy of the store.
const REMOVED_TTL: Millis = Millis::from_secs(120);

/// A server that the store lists, or listed before an outage.
#[derive(Debug)]
struct KnownServer {
    entry: EngineEntry,
    /// The time until which the server is kept although its entry is missing.
    missing_until: Option<Millis>,
    /// Whether the entry is from a copy of the store, and the server had been removed before.
    is_outdated: bool,
}

/// One start of a server whose entry was removed.
#[derive(Debug, Clone, Copy)]
struct RemovedServer {
    started: Option<u64>,
    at: Millis,
}

/// What a complete list of the servers is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListSource {
    /// The store's latest state.
    Latest,
    /// A copy of an earlier state, from which the store was restored.
    Copy,
}

/// The backend servers that are known.
#[derive(Debug, Default)]
pub struct KnownServers {
    servers: BTreeMap<EngineId, KnownServer>,
    removed: BTreeMap<EngineId, RemovedServer>,
}

impl KnownServers {
    /// Replaces the servers by a complete list.
    ///
    /// Servers that are not listed stay until `keep_until`; without it they are removed at once.
    pub fn replace(
        &mut self,
        now: Millis,
        listed: Vec<EngineEntry>,
        source: ListSource,
        keep_until: Option<Millis>,
    ) {
        for known in self.servers.values_mut() {
            known.missing_until.get_or_insert(keep_until.unwrap_or(now));
        }
        for entry in listed {
            let entry = self.keep_draining(entry);
            let is_outdated = self.is_outdated(&entry, source);
            self.insert(entry, is_outdated);
        }
        self.remove_expired(now);
    }

    /// Applies an entry that its server has written; returns the entry in force if anything changed.
    pub fn update(&mut self, entry: EngineEntry) -> Option<&EngineEntry> {
        let entry = self.keep_draining(entry);
        let before = self.servers.get(&entry.id);
        let is_same = before.is_some_and(|known| {
            let is_listed = known.missing_until.is_none() && !known.is_outdated;
            is_listed && known.entry == entry
        });
        if is_same {
            return None;
        }
        self.removed.remove(&entry.id);
        Some(self.insert(entry, false))
    }

    /// Removes a server whose entry was removed, or keeps it until `keep_until`; returns whether it was removed.
    pub fn remove(&mut self, now: Millis, server: &EngineId, keep_until: Option<Millis>) -> bool {
        match self.servers.get_mut(server) {
            Some(known) if keep_until.is_some() => {
                known.missing_until = known.missing_until.or(keep_until);
                false
            }
            _ => {
                self.forget(now, server);
                true
            }
        }
    }

    /// Removes the servers whose entries were missing for too long, and returns their ids.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<EngineId> {
        let is_expired = |known: &KnownServer| known.missing_until.is_some_and(|until| now >= until);
        let expired = self.servers.iter().filter(|(_, known)| is_expired(known));
        let expired: Vec<EngineId> = expired.map(|(id, _)| id.clone()).collect();
        for server in &expired {
            self.forget(now, server);
        }
        self.removed
            .retain(|_, removed| now.since(removed.at) <= REMOVED_TTL);
        expired
    }

    /// Returns the entries of all servers; those that must not get new requests are draining.
    #[must_use]
    pub fn entries(&self) -> Vec<EngineEntry> {
        let entry = |known: &KnownServer| EngineEntry {
            is_draining: known.entry.is_draining || known.is_outdated,
            ..known.entry.clone()
        };
        self.servers.values().map(entry).collect()
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no servers are known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns whether a server is known.
    #[must_use]
    pub fn contains(&self, server: &EngineId) -> bool {
        self.servers.contains_key(server)
    }

    fn is_outdated(&self, entry: &EngineEntry, source: ListSource) -> bool {
        let was_outdated = self
            .servers
            .get(&entry.id)
            .is_some_and(|known| known.is_outdated && known.entry == *entry);
        let removed = self.removed.get(&entry.id);
        let was_removed = removed.is_some_and(|removed| removed.started >= entry.started);
        was_outdated || (source == ListSource::Copy && was_removed)
    }

    /// Marks an entry as draining if its server already was; only another start ends that.
    fn keep_draining(&self, mut entry: EngineEntry) -> EngineEntry {
        let known = self.servers.get(&entry.id);
        entry.is_draining |=
            known.is_some_and(|known| known.entry.is_draining && known.entry.started >= entry.started);
        entry
    }

    fn insert(&mut self, entry: EngineEntry, is_outdated: bool) -> &EngineEntry {
        let id = entry.id.clone();
        let known = KnownServer {
            entry,
            missing_until: None,
            is_outdated,
        };
        let slot = self.servers.entry(id).insert_entry(known);
        &slot.into_mut().entry
    }

    fn forget(&mut self, now: Millis, server: &EngineId) {
        if let Some(known) = self.servers.remove(server) {
            let removed = RemovedServer {
                started: known.entry.started,
                at: now,
            };
            self.removed.insert(server.clone(), removed);
        }
    }
}
