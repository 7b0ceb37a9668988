//! The platform's store as the bench needs it: documents, watches and a count of calls.

use carawayseam_types::{Digest, Millis, Revision};
use carawayseam_wire::{Record, RecordKey};
use std::collections::BTreeMap;

/// How long a watch waits before it answers with nothing.
pub(super) const WATCH_WAIT: Millis = Millis(5_000);

/// Calls by kind; each answer of a watch is one.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Calls {
    pub(super) watches: u64,
    pub(super) reads: u64,
    pub(super) writes: u64,
}

impl Calls {
    pub(super) const fn all(self) -> u64 {
        self.watches + self.reads + self.writes
    }
}

/// The store.
#[derive(Debug, Default)]
pub(super) struct Store {
    /// Grows with every write.
    pub(super) revision: u64,
    pub(super) calls: Calls,
    documents: BTreeMap<RecordKey, (u64, Record)>,
    /// The digest that won each revision.
    winners: BTreeMap<(RecordKey, Revision), Digest>,
}

impl Store {
    /// The document under a key; one read.
    pub(super) fn read(&mut self, key: &RecordKey) -> Option<Record> {
        self.calls.reads += 1;
        self.documents.get(key).map(|(_, record)| record.clone())
    }

    /// Replaces the document if it still has the revision `expect`; one write.
    pub(super) fn swap(&mut self, expect: Revision, record: &Record) -> bool {
        self.calls.writes += 1;
        let key = &record.head.key;
        let known = self.documents.get(key).map(|(_, known)| known.head.revision);
        if known.unwrap_or_default() != expect {
            return false;
        }
        self.revision += 1;
        let head = &record.head;
        self.winners.insert((key.clone(), head.revision), head.digest);
        self.documents
            .insert(key.clone(), (self.revision, record.clone()));
        true
    }

    /// The documents changed past a revision, as a watch tells them.
    pub(super) fn changed(&self, after: u64) -> Vec<Record> {
        let changed = self.documents.values().filter(|(revision, _)| *revision > after);
        changed.map(|(_, record)| record.clone()).collect()
    }

    /// The newest revision of a document.
    pub(super) fn newest(&self, key: &RecordKey) -> Option<Revision> {
        self.documents.get(key).map(|(_, record)| record.head.revision)
    }

    /// Whether this record is the one that the store accepted at its revision.
    pub(super) fn accepted(&self, record: &Record) -> bool {
        let head = &record.head;
        self.winners.get(&(head.key.clone(), head.revision)) == Some(&head.digest)
    }
}
