//! The actor that owns the control state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use carawayseam_dispatch::engine::PeerLoad;
use carawayseam_dispatch::group::Group;
use carawayseam_dispatch::hosts::Hosts;
use carawayseam_dispatch::leavers::Leaver;
use carawayseam_dispatch::load::{OwnLoad, WaitingCount};
use carawayseam_dispatch::moves::{Answers, Decision, Evidence, MoveNews, Order};
use carawayseam_dispatch::{Catalog, EngineEntry};
use carawayseam_node::LogRevision;
use carawayseam_types::{Digest, EngineId, EngineKey, HostId, Incarnation, Millis, ZoneId};
use carawayseam_wire::{EngineLoad, Heartbeat, RolloutCounts, WaitingLoad};
use kameo::Actor;
use kameo::message::{Context, Message};
use tokio::sync::mpsc::UnboundedSender;

use crate::platform::{RolloutOrder, RolloutStatus};
use crate::settings::Settings;
use crate::shared::{Shared, lock};
use crate::sockets;

/// A peer that was not heard for so long is not counted on.
const PEER_SILENCE: Millis = Millis(1_000);
/// A peer that was not heard for so long is not asked.
const ASK_SILENCE: Millis = Millis(400);
/// How long connecting may take to a server that could not be reached before.
const PROBE_LIMIT: Millis = Millis(250);
/// Idle connections are looked through this often.
const SWEEP_INTERVAL: Millis = Millis(500);

/// A peer that was not heard before is told what others know for so long.
const NEW_PEER_FOR: Millis = Millis(2_000);
/// Hosts of each availability zone that follow the store for the others there.
const FOLLOWERS_PER_ZONE: usize = 2;
/// The name under which these are chosen.
const STORE: &str = "store";

/// Something that changes what the host believes.
#[derive(Debug)]
pub(crate) enum Note {
    /// The store holds this configuration.
    Configuration(Arc<Catalog>),
    /// What is known was the newest when a call was sent.
    Confirmed { sent_at: Millis },
    /// All backend servers that the store lists; others may come back until a time, or are gone.
    Engines {
        listed: Vec<EngineEntry>,
        keep_until: Option<Millis>,
    },
    /// A backend server's entry changed.
    Engine(EngineEntry),
    /// A backend server's entry was removed, and may come back until a time, or is gone.
    EngineRemoved {
        engine: EngineId,
        keep_until: Option<Millis>,
    },
    /// The operator ordered a move.
    MoveOrdered { order: RolloutOrder, revision: u64 },
    /// The store holds how a move stands.
    MoveStands { status: RolloutStatus, revision: u64 },
    /// All hosts that the store lists.
    Hosts(Vec<HostEntry>),
    /// A host registered itself.
    Host(HostEntry),
    /// A host's registration ended.
    HostRemoved(HostId),
    /// A peer's heartbeat.
    Beat(Box<Heartbeat>),
    /// Time passed.
    Tick,
}

/// A host that registered itself.
#[derive(Debug)]
pub(crate) struct HostEntry {
    pub(crate) host: HostId,
    /// Where it takes heartbeats.
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneId,
}

#[derive(Debug)]
struct Listed {
    entry: EngineEntry,
    /// Until when the missing entry may come back after an outage of the store.
    missing_until: Option<Millis>,
}

#[derive(Debug, Default)]
struct Heard {
    incarnation: Incarnation,
    seq: u64,
    at: Millis,
    serves_keys: bool,
}

impl Heard {
    /// Whether the host counts among those heard.
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.at) <= PEER_SILENCE
    }
}

/// The control state of the process.
#[derive(Debug, Actor)]
pub(crate) struct ControlState {
    shared: Arc<Shared>,
    incarnation: Incarnation,
    log_revision: LogRevision,
    decisions: UnboundedSender<Decision>,
    engines: BTreeMap<EngineId, Listed>,
    hosts: Hosts,
    /// The availability zone of each host that was ever listed.
    zones: BTreeMap<HostId, ZoneId>,
    heard: BTreeMap<HostId, Heard>,
    group: Group,
    /// Until when a peer that was heard for the first time, or again, is told what others know.
    new_peer_until: Millis,
    swept_at: Millis,
}

impl ControlState {
    pub(crate) fn new(
        shared: Arc<Shared>,
        incarnation: Incarnation,
        log_revision: LogRevision,
        decisions: UnboundedSender<Decision>,
    ) -> Self {
        Self {
            incarnation,
            log_revision,
            decisions,
            engines: BTreeMap::new(),
            hosts: Hosts::default(),
            zones: BTreeMap::new(),
            heard: BTreeMap::new(),
            group: Group::alone(shared.settings.host.clone()),
            shared,
            new_peer_until: Millis::ZERO,
            swept_at: Millis::ZERO,
        }
    }

    fn take(&mut self, note: Note) {
        let now = self.shared.now();
        match note {
            Note::Configuration(catalog) => self.configuration(catalog),
            Note::Confirmed { sent_at } => lock(&self.shared.freshness).confirm(sent_at),
            Note::Engines { listed, keep_until } => self.all_engines(now, listed, keep_until),
            Note::Engine(entry) => self.engine(now, entry),
            Note::EngineRemoved { engine, keep_until } => self.engine_removed(now, &engine, keep_until),
            Note::MoveOrdered { order, revision } => self.move_ordered(now, order, revision),
            Note::MoveStands { status, revision } => self.move_stands(&status, revision),
            Note::Hosts(entries) => self.all_hosts(now, entries),
            Note::Host(HostEntry { host, address, zone }) => {
                log::info!(peer:% = host, address:% = address; "peer listed");
                self.zones.insert(host.clone(), zone);
                self.hosts.insert(host, address);
                self.hosts_changed(now);
            }
            Note::HostRemoved(host) => {
                log::info!(peer:% = host; "peer no longer listed");
                self.hosts.remove(now, &host);
                self.hosts_changed(now);
            }
            Note::Beat(beat) => self.beat(now, *beat),
            Note::Tick => self.tick(now),
        }
    }

    /// Applies a configuration, unless it is older than the one in force.
    fn configuration(&self, catalog: Arc<Catalog>) {
        let revision = catalog.revision;
        lock(&self.shared.dispatch)
            .quotas
            .open(self.shared.now(), catalog.organisations());
        let applied = self.shared.catalog.send_if_modified(|current| {
            let is_newer = current.as_ref().is_none_or(|current| current.revision < revision);
            if is_newer {
                *current = Some(catalog);
            }
            is_newer
        });
        if applied {
            self.log_revision.set(revision);
            log::info!("configuration in force");
        }
    }

    fn move_ordered(&self, now: Millis, order: RolloutOrder, revision: u64) {
        log::info!(backend:% = order.backend, version:% = order.to, within_ms = order.within.0, order = revision; "move ordered");
        let RolloutOrder { backend, to, within } = order;
        let order = Order { revision, to, within };
        lock(&self.shared.rollouts).ordered(now, backend, order);
    }

    fn move_stands(&self, status: &RolloutStatus, revision: u64) {
        log::info!(backend:% = status.backend, version:% = status.to, state:% = status.state, item = revision; "move stands");
        lock(&self.shared.rollouts).told(&status.backend, &status.to, status.state, revision);
    }

    /// Hands on what this host should write of moves now; only one that hears the store decides.
    fn decide_moves(&self, now: Millis) {
        if !self.shared.may_use_keys() {
            return;
        }
        let me = &self.shared.settings.host;
        let heard = self.heard.iter();
        let before = heard.filter(|(host, heard)| *host < me && heard.is_fresh(now));
        let rank = before.count() as u32;
        for decision in lock(&self.shared.rollouts).decide(now, rank) {
            if let Err(e) = self.decisions.send(decision) {
                log::error!("a decision on a move was not written: {e}");
            }
        }
    }

    fn all_engines(&mut self, now: Millis, listed: Vec<EngineEntry>, keep_until: Option<Millis>) {
        for known in self.engines.values_mut() {
            let until = keep_until.unwrap_or(now);
            known.missing_until.get_or_insert(until);
        }
        for entry in listed {
            let listed = Listed {
                entry,
                missing_until: None,
            };
            self.engines.insert(listed.entry.id.clone(), listed);
        }
        self.engines
            .retain(|_, listed| listed.missing_until.is_none_or(|until| now < until));
        log::info!(engines = self.engines.len(), after_outage = keep_until.is_some(); "backend servers listed");
        self.update_engines(now);
    }

    fn engine(&mut self, now: Millis, entry: EngineEntry) {
        let listed = Listed {
            entry,
            missing_until: None,
        };
        let id = listed.entry.id.clone();
        let is_same = self
            .engines
            .get(&id)
            .is_some_and(|known| known.entry == listed.entry && known.missing_until.is_none());
        if is_same {
            return;
        }
        log::info!(engine:% = id, leaving = listed.entry.leaving, version:% = listed.entry.version; "backend server changed");
        self.engines.insert(id, listed);
        self.update_engines(now);
    }

    fn engine_removed(&mut self, now: Millis, engine: &EngineId, keep_until: Option<Millis>) {
        log::info!(engine:% = engine, after_outage = keep_until.is_some(); "backend server's entry removed");
        match self.engines.get_mut(engine) {
            Some(listed) if keep_until.is_some() => {
                listed.missing_until = listed.missing_until.or(keep_until);
            }
            _ => {
                self.engines.remove(engine);
                self.update_engines(now);
            }
        }
    }

    fn update_engines(&self, now: Millis) {
        let entries = self.engines.values().map(|listed| listed.entry.clone()).collect();
        let mut dispatch = lock(&self.shared.dispatch);
        let actions = dispatch.dispatcher.set_engines(now, entries);
        dispatch.apply(now, actions);
    }

    fn beat(&mut self, now: Millis, beat: Heartbeat) {
        if beat.host == self.shared.settings.host {
            return;
        }
        let heard = self.heard.entry(beat.host.clone()).or_default();
        if (beat.incarnation, beat.seq) <= (heard.incarnation, heard.seq) {
            return;
        }
        let was_silent = !heard.is_fresh(now);
        *heard = Heard {
            incarnation: beat.incarnation,
            seq: beat.seq,
            at: now,
            serves_keys: beat.serves_keys,
        };
        if was_silent {
            log::info!(peer:% = beat.host; "peer heard");
            self.new_peer_until = now + NEW_PEER_FOR;
            self.count_hosts(now);
        }
        for (content, crashes) in &beat.crashes {
            lock(&self.shared.suspects).heard(now, &beat.host, Digest(*content), *crashes);
        }
        for counts in &beat.rollouts {
            lock(&self.shared.rollouts).heard(now, &beat.host, &move_news(counts));
        }
        let load = OwnLoad {
            engines: beat.engines.iter().map(engine_load).collect(),
            waiting: beat
                .waiting
                .into_iter()
                .map(|waiting| WaitingCount {
                    backend: waiting.backend,
                    tier: waiting.tier,
                    count: waiting.count,
                })
                .collect(),
        };
        let mut dispatch = lock(&self.shared.dispatch);
        for (engine, started) in beat.draining_servers {
            let leaver = Leaver { engine, started };
            if dispatch.dispatcher.server_leaves(now, leaver.clone(), false) {
                log::info!(engine:% = leaver.engine, peer:% = beat.host; "a peer told that a backend server leaves");
            }
        }
        let actions = dispatch.dispatcher.peer_load(now, &beat.host, load);
        dispatch.apply(now, actions);
    }

    /// Counts the hosts that share quotas and the retry budget.
    fn count_hosts(&mut self, now: Millis) {
        let me = &self.shared.settings.host;
        let known = self.hosts.known_beside(me);
        let fresh = self.heard.values().filter(|heard| heard.is_fresh(now));
        let heard = fresh.clone().count() as u32;
        let others_serve = fresh.clone().any(|heard| heard.serves_keys);
        let mut reach = lock(&self.shared.reach);
        reach.others_serve = others_serve;
        reach.misses_peers = heard < self.hosts.listed_beside(me);
        drop(reach);
        let group = Group {
            known: known.max(heard) + 1,
            heard: heard + 1,
            reachable: self.reachable(now),
        };
        if group == self.group {
            return;
        }
        log::info!(known = group.known, heard = group.heard, reachable = group.reachable.len(); "peers counted");
        let mut dispatch = lock(&self.shared.dispatch);
        dispatch.quotas.set_group(now, group.clone());
        dispatch.dispatcher.set_hosts(group.known);
        drop(dispatch);
        self.shared.peers.set_group(group.clone());
        self.group = group;
        self.choose_sources();
    }

    /// Chooses whom this host asks of the store, if it does not follow the store itself.
    fn choose_sources(&self) {
        let Settings { host: me, zone, .. } = &self.shared.settings;
        let is_near = |host: &HostId| host == me || self.zones.get(host) == Some(zone);
        let mut sources = self.group.delegates(STORE, FOLLOWERS_PER_ZONE, is_near);
        if sources.contains(me) {
            sources.clear();
        }
        self.shared.peers.set_sources(sources);
        let mut by_zone: BTreeMap<&ZoneId, usize> = BTreeMap::from([(zone, 1)]);
        let others = self.hosts.others(me);
        for zone in others.filter_map(|(host, _)| self.zones.get(host)) {
            *by_zone.entry(zone).or_default() += 1;
        }
        let followers: usize = by_zone
            .values()
            .map(|hosts| (*hosts).min(FOLLOWERS_PER_ZONE))
            .sum();
        self.shared
            .store_followers
            .store(followers as u32, Ordering::Relaxed);
    }

    fn all_hosts(&mut self, now: Millis, entries: Vec<HostEntry>) {
        let mut hosts = Vec::new();
        for HostEntry { host, address, zone } in entries {
            self.zones.insert(host.clone(), zone);
            hosts.push((host, address));
        }
        self.hosts.set(now, hosts);
        self.hosts_changed(now);
    }

    /// The hosts that can be asked now, this one among them.
    fn reachable(&self, now: Millis) -> Vec<HostId> {
        let fresh = self
            .heard
            .iter()
            .filter(|(host, heard)| now.since(heard.at) <= ASK_SILENCE && self.hosts.contains(host));
        let mut hosts: Vec<HostId> = fresh.map(|(host, _)| host.clone()).collect();
        hosts.push(self.shared.settings.host.clone());
        hosts.sort_unstable();
        hosts
    }

    /// Takes over where the other hosts are.
    fn hosts_changed(&mut self, now: Millis) {
        let others = self.hosts.others(&self.shared.settings.host);
        let addresses = others.map(|(host, address)| (host.clone(), address));
        self.shared.peers.set_addresses(addresses.collect());
        self.count_hosts(now);
    }

    fn tick(&mut self, now: Millis) {
        let lapsed: Vec<EngineId> = self
            .engines
            .iter()
            .filter(|(_, listed)| listed.missing_until.is_some_and(|until| now >= until))
            .map(|(id, _)| id.clone())
            .collect();
        if !lapsed.is_empty() {
            log::info!(engines:? = lapsed; "backend servers did not come back after the store's outage");
            self.engines.retain(|id, _| !lapsed.contains(id));
            self.update_engines(now);
        }
        let is_heard = |host: &HostId| {
            let heard = self.heard.get(host);
            heard.is_some_and(|heard| heard.is_fresh(now))
        };
        if self.hosts.forget(now, is_heard) {
            self.hosts_changed(now);
        } else {
            self.count_hosts(now);
        }
        self.probe_engines(now);
        self.decide_moves(now);
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            let engines = &self.engines;
            self.shared
                .connections
                .sweep(now, |engine| engines.contains_key(engine));
        }
        let mut dispatch = lock(&self.shared.dispatch);
        let actions = dispatch.dispatcher.tick(now);
        dispatch.apply(now, actions);
    }

    /// Connects to servers that could not be reached, so that no request has to try.
    fn probe_engines(&self, now: Millis) {
        let due = lock(&self.shared.dispatch).dispatcher.due_probes(now);
        for (engine, address) in due {
            tokio::spawn(probe(Arc::clone(&self.shared), engine, address));
        }
    }

    /// This host's heartbeat, and the addresses that should get it.
    fn own_beat(&self, now: Millis, seq: u64) -> (Heartbeat, Vec<SocketAddr>) {
        let dispatch = lock(&self.shared.dispatch);
        let load = dispatch.dispatcher.own_load();
        let has_new_peer = now < self.new_peer_until;
        let leavers = dispatch.dispatcher.leavers(now, has_new_peer);
        drop(dispatch);
        let beat = Heartbeat {
            host: self.shared.settings.host.clone(),
            incarnation: self.incarnation,
            seq,
            serves_keys: self.shared.may_use_keys(),
            engines: load
                .engines
                .into_iter()
                .map(|(engine, load)| EngineLoad {
                    engine,
                    running: load.running,
                    pending_prompt_tokens: load.prompt_ahead,
                })
                .collect(),
            waiting: load
                .waiting
                .into_iter()
                .map(|waiting| WaitingLoad {
                    backend: waiting.backend,
                    tier: waiting.tier,
                    count: waiting.count,
                })
                .collect(),
            crashes: lock(&self.shared.suspects)
                .news(now)
                .into_iter()
                .map(|(content, crashes)| (content.0, crashes))
                .collect(),
            rollouts: lock(&self.shared.rollouts)
                .news(now)
                .into_iter()
                .map(move_counts)
                .collect(),
            draining_servers: leavers
                .into_iter()
                .map(|leaver| (leaver.engine, leaver.started))
                .collect(),
        };
        let me = &self.shared.settings.host;
        let others = self.hosts.others(me);
        (beat, others.map(|(_, address)| address).collect())
    }
}

async fn probe(shared: Arc<Shared>, engine: EngineId, address: SocketAddr) {
    let reached = sockets::connect(address, PROBE_LIMIT, PROBE_LIMIT).await;
    if reached.is_ok() {
        let now = shared.now();
        log::info!(engine:% = engine; "backend server reached again");
        let mut dispatch = lock(&shared.dispatch);
        let actions = dispatch.dispatcher.reached(now, &engine);
        dispatch.apply(now, actions);
    }
}

fn move_news(counts: &RolloutCounts) -> MoveNews {
    let answers = |all, bad| Answers { all, bad };
    MoveNews {
        backend: counts.backend.clone(),
        revision: counts.revision,
        elapsed: counts.elapsed,
        evidence: Evidence {
            new: answers(counts.new_all, counts.new_bad),
            old: answers(counts.old_all, counts.old_bad),
        },
    }
}

fn move_counts(news: MoveNews) -> RolloutCounts {
    let Evidence { new, old } = news.evidence;
    RolloutCounts {
        backend: news.backend,
        revision: news.revision,
        elapsed: news.elapsed,
        new_all: new.all,
        new_bad: new.bad,
        old_all: old.all,
        old_bad: old.bad,
    }
}

fn engine_load(load: &EngineLoad) -> (EngineKey, PeerLoad) {
    let peer_load = PeerLoad {
        running: load.running,
        prompt_ahead: load.pending_prompt_tokens,
    };
    (load.engine, peer_load)
}

impl Message<Note> for ControlState {
    type Reply = ();

    async fn handle(&mut self, msg: Note, _ctx: &mut Context<Self, ()>) {
        self.take(msg);
    }
}

/// Asks for this host's heartbeat.
#[derive(Debug)]
pub(crate) struct OwnBeat {
    pub(crate) seq: u64,
    pub(crate) reply: tokio::sync::oneshot::Sender<(Heartbeat, Vec<SocketAddr>)>,
}

impl Message<OwnBeat> for ControlState {
    type Reply = ();

    async fn handle(&mut self, msg: OwnBeat, _ctx: &mut Context<Self, ()>) {
        // A receiver that is gone no longer wants its answer.
        drop(msg.reply.send(self.own_beat(self.shared.now(), msg.seq)));
    }
}
