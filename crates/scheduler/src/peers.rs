//! The other entry hosts: who owns which pool, and what they announced.

use std::collections::{BTreeMap, BTreeSet};

use carawayseam_types::{Digest, HostId, Millis, ZoneId};

use crate::pool::{PoolKey, RemoteLoad};
use crate::scheduler::Scheduler;
use crate::{Action, Coordination, Member, PoolLoadAnnouncement, SchedulerConfig};

/// Loads are announced at most this often.
const ANNOUNCE_INTERVAL: Millis = Millis(100);
/// Unchanged loads are announced again after this time, so that peers know they still hold.
const ANNOUNCE_AGAIN: Millis = Millis::from_secs(1);
/// A host that counts from the start again was restarted; its last word is this old by then.
const RESTARTED_AFTER: Millis = Millis::from_secs(3);

/// What is known of the other entry hosts.
#[derive(Debug)]
pub(crate) struct Peers {
    /// The live hosts by zone, this one among them.
    by_zone: BTreeMap<ZoneId, BTreeSet<HostId>>,
    /// The newest announcement of each host.
    heard: BTreeMap<HostId, (u64, Millis)>,
    announced_at: Millis,
    announced: Vec<crate::PoolLoad>,
    seq: u64,
}

impl Peers {
    pub(crate) fn new(config: &SchedulerConfig) -> Self {
        let me = BTreeSet::from([config.host.clone()]);
        Self {
            by_zone: BTreeMap::from([(config.zone.clone(), me)]),
            heard: BTreeMap::new(),
            announced_at: Millis::ZERO,
            announced: Vec::new(),
            seq: 0,
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.by_zone.values().map(BTreeSet::len).sum()
    }

    pub(crate) fn is_live(&self, host: &HostId) -> bool {
        self.by_zone.values().any(|hosts| hosts.contains(host))
    }

    /// The host that admits for a pool: the highest hash among its zone's hosts.
    ///
    /// A zone without hosts is served by the hosts of all zones.
    fn owner(&self, key: &PoolKey, except: Option<&HostId>) -> Option<&HostId> {
        let eligible = |host: &&HostId| Some(*host) != except;
        let near = self.by_zone.get(&key.zone).into_iter().flatten();
        let highest = near.filter(eligible).max_by_key(|host| weight(host, key));
        let all = self.by_zone.values().flatten();
        highest.or_else(|| all.filter(eligible).max_by_key(|host| weight(host, key)))
    }

    fn is_news(&self, now: Millis, announcement: &PoolLoadAnnouncement) -> bool {
        match self.heard.get(&announcement.host) {
            Some((seq, at)) => announcement.seq > *seq || now.since(*at) > RESTARTED_AFTER,
            None => true,
        }
    }
}

fn weight(host: &HostId, key: &PoolKey) -> Digest {
    let mut buf = Vec::with_capacity(96);
    for part in [
        host.as_str(),
        key.zone.as_str(),
        key.backend.as_str(),
        key.version.as_str(),
    ] {
        buf.extend_from_slice(part.as_bytes());
        buf.push(0);
    }
    Digest::of(&buf)
}

impl Scheduler {
    pub(crate) fn members(&mut self, members: Vec<Member>, actions: &mut Vec<Action>) {
        let mut by_zone: BTreeMap<ZoneId, BTreeSet<HostId>> = BTreeMap::new();
        for member in members {
            by_zone.entry(member.zone).or_default().insert(member.host);
        }
        let mine = by_zone.entry(self.config.zone.clone()).or_default();
        mine.insert(self.config.host.clone());
        self.peers.by_zone = by_zone;
        let gone: Vec<HostId> = self
            .peers
            .heard
            .keys()
            .filter(|host| !self.peers.is_live(host))
            .cloned()
            .collect();
        for host in gone {
            self.peers.heard.remove(&host);
            self.fleet.pools.iter_mut().for_each(|pool| {
                pool.remote.remove(&host);
            });
        }
        self.assign_owners(actions);
    }

    /// Works out the owner of each pool, and hands on what this host no longer owns.
    pub(crate) fn assign_owners(&mut self, actions: &mut Vec<Action>) {
        let except = self.draining.then(|| self.config.host.clone());
        let mut lost = Vec::new();
        for ix in self.fleet.pool_indices() {
            let pool = self.fleet.pool(ix);
            let alone = pool.is_service || self.config.coordination == Coordination::Announced;
            let owner = self.peers.owner(&pool.key, except.as_ref());
            let owner = owner.filter(|host| !alone && **host != self.config.host).cloned();
            if owner.is_some() && pool.owner != owner {
                lost.push(ix);
            }
            self.fleet.pool_mut(ix).owner = owner;
        }
        for ix in lost {
            self.replace_queued(ix, actions);
        }
    }

    pub(crate) fn peer_load(&mut self, announcement: PoolLoadAnnouncement, actions: &mut Vec<Action>) {
        let is_own = announcement.host == self.config.host;
        if is_own || !self.peers.is_news(self.now, &announcement) {
            return;
        }
        let PoolLoadAnnouncement { host, seq, pools } = announcement;
        self.peers.heard.insert(host.clone(), (seq, self.now));
        for load in pools {
            let key = PoolKey {
                zone: load.zone.clone(),
                backend: load.backend.clone(),
                version: load.version.clone(),
            };
            let Some(ix) = self.fleet.find_pool(&key) else {
                continue;
            };
            let remote = RemoteLoad {
                at: self.now,
                load,
                forwarded: 0,
                borrowed: 0,
            };
            let refused = remote.load.refused;
            self.fleet.pool_mut(ix).remote.insert(host.clone(), remote);
            if let Some(tier) = refused {
                self.evict_everywhere(ix, tier, actions);
            }
        }
    }

    /// Announces the owned pools when they changed, but not too often.
    pub(crate) fn announce(&mut self, actions: &mut Vec<Action>) {
        let since = self.now.since(self.peers.announced_at);
        if since < ANNOUNCE_INTERVAL || self.peers.count() < 2 {
            return;
        }
        let alone = self.config.coordination == Coordination::Announced;
        let owned = |pool: &&crate::pool::Pool| pool.owner.is_none() && (alone || !pool.is_service);
        let pools: Vec<_> = self
            .fleet
            .pools
            .iter()
            .filter(owned)
            .map(|pool| pool.load(self.now))
            .collect();
        let unchanged = pools == self.peers.announced;
        if pools.is_empty() || (unchanged && since < ANNOUNCE_AGAIN) {
            return;
        }
        self.peers.announced_at = self.now;
        self.peers.announced.clone_from(&pools);
        self.peers.seq += 1;
        actions.push(Action::AnnounceLoad(PoolLoadAnnouncement {
            host: self.config.host.clone(),
            seq: self.peers.seq,
            pools,
        }));
    }
}
