//! The entries, leases and their rules, without I/O or a clock.

use std::collections::{BTreeMap, BTreeSet};

use carawayseam_external::kv::{Conflict, DeleteRequest, Entry, Lease, PutReply, PutRequest, Range};
use carawayseam_types::Millis;

/// The store; each call passes the time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Store {
    entries: BTreeMap<String, Stored>,
    /// Keys deleted, with the revision of the deletion.
    deleted: BTreeMap<String, u64>,
    leases: BTreeMap<u64, Granted>,
    revision: u64,
    next_lease: u64,
}

#[derive(Debug, Clone)]
struct Stored {
    value: String,
    revision: u64,
    lease: Option<u64>,
    expires_at: Millis,
}

#[derive(Debug, Clone)]
struct Granted {
    ttl: Millis,
    lapses_at: Millis,
}

/// Why a write was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The key has another revision.
    Conflict(Conflict),
    /// The lease does not exist.
    NoLease,
}

impl Store {
    /// Removes what has lapsed; true if an entry went.
    pub(crate) fn expire(&mut self, now: Millis) -> bool {
        self.leases.retain(|_, lease| lease.lapses_at > now);
        let leases: BTreeSet<u64> = self.leases.keys().copied().collect();
        let lapsed = |stored: &Stored| {
            stored.expires_at <= now || stored.lease.is_some_and(|lease| !leases.contains(&lease))
        };
        let gone = self.entries.iter().filter(|(_, stored)| lapsed(stored));
        let gone: Vec<String> = gone.map(|(key, _)| key.clone()).collect();
        for key in &gone {
            self.remove(key);
        }
        !gone.is_empty()
    }

    pub(crate) fn get(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| entry(key, stored))
    }

    pub(crate) fn put(&mut self, now: Millis, put: PutRequest) -> Result<PutReply, Refused> {
        self.expire(now);
        self.expect(&put.key, put.expect)?;
        if put.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(Refused::NoLease);
        }
        self.revision += 1;
        self.deleted.remove(&put.key);
        let stored = Stored {
            value: put.value,
            revision: self.revision,
            lease: put.lease,
            expires_at: put.ttl_ms.map_or(Millis::MAX, |ttl| now + Millis(ttl)),
        };
        self.entries.insert(put.key, stored);
        Ok(PutReply {
            revision: self.revision,
        })
    }

    pub(crate) fn delete(&mut self, now: Millis, delete: &DeleteRequest) -> Result<PutReply, Refused> {
        self.expire(now);
        self.expect(&delete.key, delete.expect)?;
        if self.entries.contains_key(&delete.key) {
            self.remove(&delete.key);
        }
        Ok(PutReply {
            revision: self.revision,
        })
    }

    /// Entries below `prefix` changed past `after`, and keys deleted past it.
    pub(crate) fn range(&self, prefix: &str, after: u64) -> Range {
        let below = self.entries.range(prefix.to_owned()..);
        let entries = below
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, stored)| stored.revision > after)
            .map(|(key, stored)| entry(key, stored));
        let deleted = self.deleted.range(prefix.to_owned()..);
        let deleted = deleted
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, revision)| **revision > after)
            .map(|(key, _)| key.clone());
        Range {
            entries: entries.collect(),
            deleted: deleted.collect(),
            revision: self.revision,
        }
    }

    pub(crate) fn grant(&mut self, now: Millis, ttl: Millis) -> Lease {
        self.next_lease += 1;
        let lapses_at = now + ttl;
        self.leases.insert(self.next_lease, Granted { ttl, lapses_at });
        Lease {
            lease: self.next_lease,
            ttl_ms: ttl.0,
        }
    }

    pub(crate) fn renew(&mut self, now: Millis, lease: u64) -> Option<Lease> {
        self.expire(now);
        let granted = self.leases.get_mut(&lease)?;
        granted.lapses_at = now + granted.ttl;
        Some(Lease {
            lease,
            ttl_ms: granted.ttl.0,
        })
    }

    pub(crate) fn revoke(&mut self, now: Millis, lease: u64) {
        self.leases.remove(&lease);
        self.expire(now);
    }

    fn expect(&self, key: &str, expect: Option<u64>) -> Result<(), Refused> {
        let current = self.get(key);
        let found = current.as_ref().map_or(0, |entry| entry.revision);
        match expect {
            Some(wanted) if wanted != found => Err(Refused::Conflict(Conflict { current })),
            _ => Ok(()),
        }
    }

    fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.entries.remove(key);
        self.deleted.insert(key.to_owned(), self.revision);
    }
}

fn entry(key: &str, stored: &Stored) -> Entry {
    Entry {
        key: key.to_owned(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}
