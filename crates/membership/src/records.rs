//! The newest known records, and the pulls of newer ones.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use carawayseam_types::{Digest, Millis, Revision};
use carawayseam_wire::{Head, Record, RecordKey};

use crate::limits::{
    MAX_PULL_BACKOFF, MAX_PULL_FAILURES, MAX_PULLS, MAX_SOURCES, MIN_PULL_BACKOFF, PULL_TIMEOUT,
};
use crate::{Action, Refusal};

/// A newer record that is known to exist but has not been pulled yet.
#[derive(Debug)]
struct Want {
    head: Head,
    sources: VecDeque<SocketAddr>,
    /// The source and start time of the pull in flight.
    request: Option<(SocketAddr, Millis)>,
    failures: u32,
    /// The earliest time of the next pull.
    not_before: Millis,
}

/// The result of learning a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LearnOutcome {
    /// The record is newer than the known one and replaces it.
    Newer {
        /// Whether a peer had announced it or a newer one before.
        was_announced: bool,
    },
    /// The record was already known.
    Known,
    /// The record was refused.
    Refusal(Refusal),
}

/// The newest records: under each key the one with the highest revision, then the highest digest.
#[derive(Debug, Default)]
pub(crate) struct Records {
    records: BTreeMap<RecordKey, Record>,
    missing_records: BTreeMap<RecordKey, Want>,
}

impl Records {
    /// Stores a record from any source if it is newer than the known one.
    pub(crate) fn learn(&mut self, now: Millis, record: &Record) -> LearnOutcome {
        let head = &record.head;
        if Digest::of(record.body.as_bytes()) != head.digest {
            self.fail_pull(now, &head.key);
            return LearnOutcome::Refusal(Refusal::Digest {
                key: head.key.clone(),
            });
        }
        let known = self.records.get(&head.key).map(|known| &known.head);
        if let Some(refused) = known.and_then(|known| refusal(known, head)) {
            self.fail_pull(now, &head.key);
            return LearnOutcome::Refusal(refused);
        }
        if known == Some(head) {
            self.fail_pull(now, &head.key);
            return LearnOutcome::Known;
        }
        let was_announced = self.missing_records.contains_key(&head.key);
        self.records.insert(head.key.clone(), record.clone());
        self.resolve(now, head);
        LearnOutcome::Newer { was_announced }
    }

    /// Records that `source` has the record with this head, and schedules a pull if it is newer.
    pub(crate) fn observe_head(&mut self, now: Millis, head: &Head, source: SocketAddr) -> Option<Refusal> {
        let known = self.records.get(&head.key).map(|known| &known.head);
        match known {
            // Peers often lag behind; only two bodies under one revision are reported.
            Some(known) if head.revision < known.revision => return None,
            Some(known) if precedence(head) <= precedence(known) => return refusal(known, head),
            _ => {}
        }
        let want = self
            .missing_records
            .entry(head.key.clone())
            .or_insert_with(|| Want {
                head: head.clone(),
                sources: VecDeque::new(),
                request: None,
                failures: 0,
                not_before: now,
            });
        if precedence(head) > precedence(&want.head) {
            want.head = head.clone();
            want.sources.clear();
            want.not_before = now;
        }
        if want.head == *head && !want.sources.contains(&source) {
            want.sources.push_front(source);
            want.sources.truncate(MAX_SOURCES);
            // A peer that has just announced the record is likely to answer, so the wait is cut short.
            want.not_before = want.not_before.min(now + MIN_PULL_BACKOFF);
        }
        None
    }

    /// Records that a pull from `from` failed, if that pull is in flight.
    pub(crate) fn pull_failed(&mut self, now: Millis, key: &RecordKey, from: SocketAddr) {
        let request = self.missing_records.get(key).and_then(|want| want.request);
        if request.is_some_and(|(source, _)| source == from) {
            self.fail_pull(now, key);
        }
    }

    /// Starts the pulls that are due, each from its next source, or `fallback` if it has none.
    pub(crate) fn pull(&mut self, now: Millis, fallback: Option<SocketAddr>, actions: &mut Vec<Action>) {
        self.fail_timed_out(now);
        // No source could deliver these records; the next announcement starts over.
        self.missing_records
            .retain(|_, want| want.failures < MAX_PULL_FAILURES);
        let mut running = self
            .missing_records
            .values()
            .filter(|want| want.request.is_some())
            .count();
        for (key, want) in &mut self.missing_records {
            if running >= MAX_PULLS {
                return;
            }
            if want.request.is_some() || now < want.not_before {
                continue;
            }
            let Some(source) = want.sources.pop_front().or(fallback) else {
                continue;
            };
            want.request = Some((source, now));
            running += 1;
            let key = key.clone();
            actions.push(Action::Pull { from: source, key });
        }
    }

    fn fail_timed_out(&mut self, now: Millis) {
        let late = |want: &Want| want.request.is_some_and(|(_, at)| now.since(at) >= PULL_TIMEOUT);
        for want in self.missing_records.values_mut().filter(|want| late(want)) {
            want.fail(now);
        }
    }

    fn fail_pull(&mut self, now: Millis, key: &RecordKey) {
        if let Some(want) = self
            .missing_records
            .get_mut(key)
            .filter(|want| want.request.is_some())
        {
            want.fail(now);
        }
    }

    fn resolve(&mut self, now: Millis, head: &Head) {
        let Some(want) = self.missing_records.get_mut(&head.key) else {
            return;
        };
        if precedence(head) >= precedence(&want.head) {
            self.missing_records.remove(&head.key);
        } else {
            // The pulled record is newer than the known one, but older than the announced one;
            // pull again.
            want.request = None;
            want.not_before = now;
        }
    }

    pub(crate) fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    pub(crate) fn heads(&self) -> impl Iterator<Item = &Head> {
        self.records.values().map(|record| &record.head)
    }

    pub(crate) fn missing_count(&self) -> usize {
        self.missing_records.len()
    }

    /// Returns the head after `cursor` in key order, wrapping around at the end.
    pub(crate) fn next_after(&self, cursor: Option<&RecordKey>) -> Option<&Head> {
        use std::ops::Bound::{Excluded, Unbounded};
        let rest = cursor.and_then(|key| self.records.range((Excluded(key), Unbounded)).next());
        rest.or_else(|| self.records.iter().next())
            .map(|(_, record)| &record.head)
    }
}

impl Want {
    /// Ends the pull in flight and doubles the delay before the next one.
    fn fail(&mut self, now: Millis) {
        self.request = None;
        let factor = 1 << self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures += 1;
        self.not_before = now + MIN_PULL_BACKOFF.times(factor).min(MAX_PULL_BACKOFF);
    }
}

/// Maximum exponent of the backoff; the delay reaches [`MAX_PULL_BACKOFF`] before it.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// Returns the key by which records replace each other, the same on every process.
const fn precedence(head: &Head) -> (Revision, Digest) {
    (head.revision, head.digest)
}

/// Returns why a head is refused, or none if it is newer than the known one or equal to it.
fn refusal(known: &Head, head: &Head) -> Option<Refusal> {
    let key = head.key.clone();
    match head.revision.cmp(&known.revision) {
        std::cmp::Ordering::Less => Some(Refusal::OldRevision {
            key,
            found: head.revision,
            known: known.revision,
        }),
        std::cmp::Ordering::Equal if head.digest < known.digest => Some(Refusal::Fork { head: head.clone() }),
        _ => None,
    }
}
