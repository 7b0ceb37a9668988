//! Blocks requests that crash the backend servers that run them.
//!
//! Such a request is identified by the digest of its content, since it is sent again under
//! another id and to any host. A crash is attributed to all requests that ran on the server, so
//! a single crash is weak evidence; a content that ran at several crashes is blocked, unless
//! it has had a complete response since.

use std::collections::{BTreeMap, HashMap};

use carawayseam_types::{Digest, EngineId, HostId, Millis};

/// Number of crashes at which a content is blocked.
const CRASH_LIMIT: u32 = 3;
/// Connections of one server that break within this time of each other count as one crash.
const SAME_CRASH_WINDOW: Millis = Millis(1_000);
/// Time for which a content is kept after its last crash.
const MAX_AGE: Millis = Millis::from_secs(60);
/// Maximum number of contents that a host reports to its peers, ordered by its own crash count and then by
/// the time of the last crash.
const MAX_REPORTED_CONTENTS: usize = 12;
/// Maximum number of contents that are kept.
const MAX_CONTENTS: usize = 512;

/// The crashes that one peer reported for a content.
#[derive(Debug, Default)]
struct PeerCrashes {
    seen: u32,
    /// The crashes that preceded a complete response at this host.
    cleared: u32,
}

#[derive(Debug, Default)]
struct Suspect {
    /// The number of crashes that this host observed.
    local: u32,
    /// The engine and time of the last crash that this host observed.
    last_local_crash: Option<(EngineId, Millis)>,
    /// The crashes that each peer reported.
    peers: HashMap<HostId, PeerCrashes>,
    /// When the last crash was recorded.
    last_at: Millis,
}

impl Suspect {
    /// Returns the crashes at all hosts; a request runs at one host at a time, so none counts twice.
    fn crashes(&self) -> u32 {
        let peers = self.peers.values().map(|peer| peer.seen - peer.cleared);
        self.local + peers.sum::<u32>()
    }
}

/// The contents that ran on servers that crashed.
#[derive(Debug, Default)]
pub struct PoisonTracker(BTreeMap<Digest, Suspect>);

impl PoisonTracker {
    /// Records that a server crashed while it ran a content; returns the content's crashes at all hosts.
    pub fn record_crash(&mut self, now: Millis, content: Digest, engine: &EngineId) -> u32 {
        self.evict(now);
        let suspect = self.0.entry(content).or_default();
        let is_same_crash = suspect
            .last_local_crash
            .as_ref()
            .is_some_and(|(other, last_at)| other == engine && now.since(*last_at) <= SAME_CRASH_WINDOW);
        suspect.last_local_crash = Some((engine.clone(), now));
        suspect.last_at = now;
        suspect.local += u32::from(!is_same_crash);
        suspect.crashes()
    }

    /// Records the number of crashes that a peer observed for a content.
    pub fn record_peer_crashes(&mut self, now: Millis, host: &HostId, content: Digest, crashes: u32) {
        self.evict(now);
        let suspect = self.0.entry(content).or_default();
        let reports = suspect.peers.entry(host.clone()).or_default();
        if crashes > reports.seen {
            reports.seen = crashes;
            suspect.last_at = now;
        }
    }

    /// Clears the crashes of a content that had a complete response, since it did not cause them.
    pub fn clear(&mut self, content: Digest) {
        let Some(suspect) = self.0.get_mut(&content) else {
            return;
        };
        suspect.local = 0;
        for peer in suspect.peers.values_mut() {
            peer.cleared = peer.seen;
        }
    }

    /// Returns whether no content is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a content must not run again.
    #[must_use]
    pub fn is_blocked(&self, now: Millis, content: Digest) -> bool {
        self.0
            .get(&content)
            .is_some_and(|suspect| suspect.crashes() >= CRASH_LIMIT && now.since(suspect.last_at) <= MAX_AGE)
    }

    /// Returns the contents to report to the peers, with the crashes that this host observed itself.
    #[must_use]
    pub fn gossip_updates(&self, now: Millis) -> Vec<(Digest, u32)> {
        let local = self.0.iter().filter(|(_, suspect)| suspect.local > 0);
        let mut recent: Vec<_> = local
            .filter(|(_, suspect)| now.since(suspect.last_at) <= MAX_AGE)
            .collect();
        recent.sort_by_key(|(_, suspect)| std::cmp::Reverse((suspect.local, suspect.last_at)));
        let reported = recent.into_iter().take(MAX_REPORTED_CONTENTS);
        reported
            .map(|(content, suspect)| (*content, suspect.local))
            .collect()
    }

    fn evict(&mut self, now: Millis) {
        self.0.retain(|_, suspect| now.since(suspect.last_at) <= MAX_AGE);
        while self.0.len() > MAX_CONTENTS {
            let oldest = self.0.iter().min_by_key(|(_, suspect)| suspect.last_at);
            let Some(content) = oldest.map(|(content, _)| *content) else {
                return;
            };
            self.0.remove(&content);
        }
    }
}
