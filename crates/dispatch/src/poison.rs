//! Requests that crash the servers that run them.
//!
//! Such a request is recognised by its content, since it comes again under another id and
//! at any host. A crash is blamed on all that ran on the server, so one crash says little; a
//! content that was there at several crashes is blocked, unless it was answered whole since.

use std::collections::{BTreeMap, HashMap};

use carawayseam_types::{Digest, EngineId, HostId, Millis};

/// Crashes after which a content is blocked.
const MOST_CRASHES: u32 = 3;
/// Connections of one server that break within this time broke in one crash.
const SAME_CRASH: Millis = Millis(1_000);
/// A content is remembered for so long after its last crash.
const MEMORY: Millis = Millis::from_secs(60);
/// Contents that a host tells its peers of, those of the latest crashes.
const MOST_TOLD: usize = 12;
/// Contents remembered at most.
const MOST_KEPT: usize = 512;

/// What one peer saw.
#[derive(Debug, Default)]
struct PeerCrashes {
    seen: u32,
    /// Those that came before a whole answer here.
    cleared: u32,
}

#[derive(Debug, Default)]
struct Suspect {
    /// The crashes that this host saw.
    own: u32,
    last: Option<(EngineId, Millis)>,
    /// The crashes that each peer saw.
    peers: HashMap<HostId, PeerCrashes>,
    at: Millis,
}

impl Suspect {
    /// The crashes of all hosts; a request runs at one host at a time, so none counts twice.
    fn crashes(&self) -> u32 {
        let peers = self.peers.values().map(|peer| peer.seen - peer.cleared);
        self.own + peers.sum::<u32>()
    }
}

/// The contents under suspicion.
#[derive(Debug, Default)]
pub struct PoisonTracker(BTreeMap<Digest, Suspect>);

impl PoisonTracker {
    /// A server crashed while it ran a content; gives how many crashes that makes.
    pub fn record_crash(&mut self, now: Millis, content: Digest, engine: &EngineId) -> u32 {
        self.forget(now);
        let suspect = self.0.entry(content).or_default();
        let is_same = suspect
            .last
            .as_ref()
            .is_some_and(|(other, at)| other == engine && now.since(*at) <= SAME_CRASH);
        suspect.last = Some((engine.clone(), now));
        suspect.at = now;
        suspect.own += u32::from(!is_same);
        suspect.crashes()
    }

    /// A peer told how many crashes it saw under a content.
    pub fn record_peer_crashes(&mut self, now: Millis, host: &HostId, content: Digest, crashes: u32) {
        self.forget(now);
        let suspect = self.0.entry(content).or_default();
        let known = suspect.peers.entry(host.clone()).or_default();
        if crashes > known.seen {
            known.seen = crashes;
            suspect.at = now;
        }
    }

    /// A content was answered whole, so the servers that crashed before were to blame.
    pub fn clear(&mut self, content: Digest) {
        let Some(suspect) = self.0.get_mut(&content) else {
            return;
        };
        suspect.own = 0;
        for peer in suspect.peers.values_mut() {
            peer.cleared = peer.seen;
        }
    }

    /// Whether nothing is under suspicion.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a content must not run again.
    #[must_use]
    pub fn is_blocked(&self, now: Millis, content: Digest) -> bool {
        self.0
            .get(&content)
            .is_some_and(|suspect| suspect.crashes() >= MOST_CRASHES && now.since(suspect.at) <= MEMORY)
    }

    /// What this host tells its peers: contents, and the crashes that it saw itself.
    #[must_use]
    pub fn gossip_updates(&self, now: Millis) -> Vec<(Digest, u32)> {
        let own = self.0.iter().filter(|(_, suspect)| suspect.own > 0);
        let mut fresh: Vec<_> = own
            .filter(|(_, suspect)| now.since(suspect.at) <= MEMORY)
            .collect();
        fresh.sort_by_key(|(_, suspect)| std::cmp::Reverse((suspect.own, suspect.at)));
        let told = fresh.into_iter().take(MOST_TOLD);
        told.map(|(content, suspect)| (*content, suspect.own)).collect()
    }

    fn forget(&mut self, now: Millis) {
        self.0.retain(|_, suspect| now.since(suspect.at) <= MEMORY);
        while self.0.len() > MOST_KEPT {
            let oldest = self.0.iter().min_by_key(|(_, suspect)| suspect.at);
            let Some(content) = oldest.map(|(content, _)| *content) else {
                return;
            };
            self.0.remove(&content);
        }
    }
}
