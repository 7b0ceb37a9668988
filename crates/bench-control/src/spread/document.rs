//! Documents that operators promote in the bench.

use carawayseam_types::Revision;
use carawayseam_wire::{Record, RecordKey};

use super::store::Store;

/// A document's size in bytes; the examples have about half of it.
const DOCUMENT_BYTES: usize = 6_000;

/// The key of an environment's document.
pub(super) fn key(environment: usize) -> RecordKey {
    let name = format!("environment-{environment}");
    RecordKey::Configuration(name.parse().expect("it is a name"))
}

/// A document at a revision, as one operator wrote it.
pub(super) fn document(environment: usize, revision: Revision, operator: usize) -> Record {
    let line = format!("# environment {environment}, revision {revision}, operator {operator}\n");
    let lines = DOCUMENT_BYTES / line.len();
    Record::new(key(environment), revision, line.repeat(lines))
}

/// Promotes the next revision of an environment's document, and gives it if it won.
pub(super) fn promote(store: &mut Store, environment: usize, operator: usize) -> Option<Revision> {
    let read = store.newest(&key(environment)).unwrap_or_default();
    promote_over(store, environment, operator, read)
}

/// Promotes over a revision that the operator read some time ago.
pub(super) fn promote_over(
    store: &mut Store,
    environment: usize,
    operator: usize,
    read: Revision,
) -> Option<Revision> {
    let record = document(environment, read.next(), operator);
    store.swap(read, &record).then_some(record.head.revision)
}
