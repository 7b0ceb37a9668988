//! Blocks requests that crash the backend servers that run them.
//!
//! Such a request is identified by the digest of its content, since it is sent again under
//! another id and to any host. A crash is attributed to all requests that ran on the server, so
//! a single crash is weak evidence; a content that ran at several crashes is blocked, unless
//! it has had a complete response since.
//!
//! Each crash is a record with the host that observed it. Hosts tell each other all records that they know, so
//! that the end of the process that observed a crash loses nothing, and a record that comes twice counts once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use carawayseam_types::{Digest, EngineId, HostId, Millis};

use crate::rotation::Rotation;

/// Number of crashes at which a content is blocked.
const CRASH_LIMIT: u32 = 3;
/// Connections of one server that break within this time of each other count as one crash.
const SAME_CRASH_WINDOW: Millis = Millis(1_000);
/// Time for which a content is kept after its last crash.
const MAX_AGE: Millis = Millis::from_secs(60);
/// Maximum number of contents whose crashes at this host are counted in a heartbeat, ordered by that count and then
/// by the time of the last crash.
const MAX_REPORTED_CONTENTS: usize = 12;
/// Maximum number of contents that are kept.
const MAX_CONTENTS: usize = 512;
/// Maximum number of crashes that are kept for one content, the latest ones.
const MAX_CRASHES: usize = 8;
/// How long a crash is announced after it became known or was cleared.
const GOSSIP_PERIOD: Millis = Millis(600);
/// Maximum number of crashes in one announcement, which has to fit a datagram.
const MAX_ANNOUNCED_CRASHES: usize = 16;

/// Identifies a crash under a content.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ContentCrashId {
    /// The host that observed it.
    pub host: HostId,
    /// Distinguishes the crashes that the host observed, also before it started anew.
    pub number: u32,
}

/// A crash under a content, as sent to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContentCrash {
    /// The content.
    pub content: Digest,
    /// The crash.
    pub id: ContentCrashId,
    /// The time since the crash.
    pub age: Millis,
    /// Whether the content has had a complete response since.
    pub is_cleared: bool,
}

/// A crash that this host knows.
#[derive(Debug, Clone, Copy)]
struct Crash {
    at: Millis,
    is_cleared: bool,
    /// When this host learned of the crash, or that it is cleared.
    changed_at: Millis,
}

/// The number of crashes that a peer reported in its heartbeats.
#[derive(Debug, Default)]
struct ReportedCrashes {
    seen: u32,
    /// The crashes that preceded a complete response.
    cleared: u32,
}

#[derive(Debug, Default)]
struct Suspect {
    crashes: BTreeMap<ContentCrashId, Crash>,
    /// The engine, time and id of the last crash that this host observed.
    last_local_crash: Option<(EngineId, Millis, ContentCrashId)>,
    /// The crashes that each peer reported, which include those whose records have arrived.
    reported: HashMap<HostId, ReportedCrashes>,
    /// When the last crash was recorded.
    last_at: Millis,
}

impl Suspect {
    /// Returns the crashes at all hosts; a request runs at one host at a time, so none counts twice.
    fn crashes(&self) -> u32 {
        let recorded = self.crashes.keys().map(|id| &id.host);
        let hosts: BTreeSet<&HostId> = recorded.chain(self.reported.keys()).collect();
        hosts.into_iter().map(|host| self.crashes_at(host)).sum()
    }

    fn crashes_at(&self, host: &HostId) -> u32 {
        let reported = self.reported.get(host);
        let reported = reported.map_or(0, |reported| reported.seen - reported.cleared);
        reported.max(self.recorded_at(host, false))
    }

    fn recorded_at(&self, host: &HostId, is_cleared: bool) -> u32 {
        let crashes = self.crashes.iter();
        let at_host = crashes.filter(|(id, crash)| id.host == *host && crash.is_cleared == is_cleared);
        at_host.count() as u32
    }

    /// Adds a record, or what it says of a known crash.
    fn merge(&mut self, now: Millis, id: &ContentCrashId, at: Millis, is_cleared: bool) {
        // A crash that a heartbeat reported may have been cleared before its record arrived.
        let cleared = self.reported.get(&id.host).map_or(0, |reported| reported.cleared);
        let was_cleared = !self.crashes.contains_key(id) && self.recorded_at(&id.host, true) < cleared;
        let is_cleared = is_cleared || was_cleared;
        match self.crashes.get_mut(id) {
            Some(known) if known.is_cleared || !is_cleared => return,
            Some(known) => {
                known.is_cleared = true;
                known.changed_at = now;
            }
            None => {
                let crash = Crash {
                    at,
                    is_cleared,
                    changed_at: now,
                };
                self.crashes.insert(id.clone(), crash);
                self.last_at = self.last_at.max(at);
            }
        }
        let cleared = self.recorded_at(&id.host, true);
        if let Some(reported) = self.reported.get_mut(&id.host) {
            reported.cleared = reported.cleared.max(cleared).min(reported.seen);
        }
        self.evict_oldest();
    }

    fn clear(&mut self, now: Millis) {
        for crash in self.crashes.values_mut().filter(|crash| !crash.is_cleared) {
            crash.is_cleared = true;
            crash.changed_at = now;
        }
        for reported in self.reported.values_mut() {
            reported.cleared = reported.seen;
        }
    }

    fn evict_oldest(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.crashes.remove(&id);
        }
    }
}

/// The contents that ran on servers that crashed.
#[derive(Debug)]
pub struct PoisonTracker {
    host: HostId,
    suspects: BTreeMap<Digest, Suspect>,
    announced: Rotation,
}

impl PoisonTracker {
    /// Creates the tracker of a host.
    #[must_use]
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            suspects: BTreeMap::new(),
            announced: Rotation::default(),
        }
    }

    /// Records that a server crashed while it ran a content; returns the content's crashes at all hosts.
    pub fn record_crash(&mut self, now: Millis, content: Digest, engine: &EngineId) -> u32 {
        self.evict(now);
        let suspect = self.suspects.entry(content).or_default();
        let last = suspect.last_local_crash.take();
        let same =
            last.filter(|(other, last_at, _)| other == engine && now.since(*last_at) <= SAME_CRASH_WINDOW);
        let id = if let Some((_, _, id)) = same {
            id
        } else {
            let id = ContentCrashId {
                host: self.host.clone(),
                number: crash_number(engine, now),
            };
            suspect.merge(now, &id, now, false);
            id
        };
        suspect.last_local_crash = Some((engine.clone(), now, id));
        suspect.last_at = now;
        suspect.crashes()
    }

    /// Records the number of crashes that a peer observed for a content.
    pub fn record_peer_crashes(&mut self, now: Millis, host: &HostId, content: Digest, crashes: u32) {
        self.evict(now);
        let suspect = self.suspects.entry(content).or_default();
        let recorded = suspect.recorded_at(host, true) + suspect.recorded_at(host, false);
        let reported = suspect.reported.entry(host.clone()).or_default();
        if crashes > reported.seen {
            reported.seen = crashes;
            // The age of a crash is known from its record.
            if crashes > recorded {
                suspect.last_at = now;
            }
        }
    }

    /// Records crashes that a peer observed or learned of.
    pub fn record_peer_update(&mut self, now: Millis, crashes: &[ContentCrash]) {
        self.evict(now);
        for crash in crashes.iter().filter(|crash| crash.age <= MAX_AGE) {
            let suspect = self.suspects.entry(crash.content).or_default();
            suspect.merge(now, &crash.id, now - crash.age, crash.is_cleared);
        }
    }

    /// Clears the crashes of a content that had a complete response, since it did not cause them.
    pub fn clear(&mut self, now: Millis, content: Digest) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.clear(now);
        }
    }

    /// Returns whether no content is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a content must not run again.
    #[must_use]
    pub fn is_blocked(&self, now: Millis, content: Digest) -> bool {
        self.suspects
            .get(&content)
            .is_some_and(|suspect| suspect.crashes() >= CRASH_LIMIT && now.since(suspect.last_at) <= MAX_AGE)
    }

    /// Returns the contents to count in a heartbeat, with their crashes at this host that are not cleared.
    #[must_use]
    pub fn gossip_updates(&self, now: Millis) -> Vec<(Digest, u32)> {
        let suspects = self.suspects.iter();
        let recent = suspects.filter(|(_, suspect)| now.since(suspect.last_at) <= MAX_AGE);
        let local = recent.map(|(content, suspect)| {
            let count = suspect.recorded_at(&self.host, false);
            (*content, count, suspect.last_at)
        });
        let mut local: Vec<_> = local.filter(|(_, count, _)| *count > 0).collect();
        local.sort_by_key(|(_, count, last_at)| Reverse((*count, *last_at)));
        let reported = local.into_iter().take(MAX_REPORTED_CONTENTS);
        reported.map(|(content, count, _)| (content, count)).collect()
    }

    /// Returns the crashes to announce to peers: what this host has learned within `GOSSIP_PERIOD`.
    ///
    /// A peer that has just started or was partitioned may know nothing, so while there is one, all crashes are
    /// announced, whoever observed them. What does not fit one announcement is in a later one.
    pub fn crash_updates(&mut self, now: Millis, has_new_peer: bool) -> Vec<ContentCrash> {
        let is_due = |crash: &Crash| {
            let is_recent = now.since(crash.changed_at) <= GOSSIP_PERIOD;
            now.since(crash.at) <= MAX_AGE && (is_recent || has_new_peer)
        };
        let crashes = self.suspects.iter().flat_map(|(content, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(move |(id, crash)| (*content, id, crash))
        });
        let due = crashes.filter(|(_, _, crash)| is_due(crash));
        let due: Vec<ContentCrash> = due
            .map(|(content, id, crash)| ContentCrash {
                content,
                id: id.clone(),
                age: now.since(crash.at),
                is_cleared: crash.is_cleared,
            })
            .collect();
        self.announced.take(&due, MAX_ANNOUNCED_CRASHES)
    }

    fn evict(&mut self, now: Millis) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_at) <= MAX_AGE);
        while self.suspects.len() > MAX_CONTENTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_at);
            let Some(content) = oldest.map(|(content, _)| *content) else {
                return;
            };
            self.suspects.remove(&content);
        }
    }
}

/// Returns the number of a crash, which differs between the processes of a host by the time since its machine's start.
fn crash_number(engine: &EngineId, now: Millis) -> u32 {
    let mut buf = engine.as_str().as_bytes().to_vec();
    buf.extend_from_slice(&now.0.to_le_bytes());
    Digest::of(&buf).low_bits()
}
