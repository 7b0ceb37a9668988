//! The actor that owns the control state.

mod announcements;
mod group;
mod liveness;
mod rounds;
mod unreached_servers;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;

use carawayseam_dispatch::evacuation::Evacuation;
use carawayseam_dispatch::group::Group;
use carawayseam_dispatch::hosts::Hosts;
use carawayseam_dispatch::known_servers::{KnownServers, ListSource};
use carawayseam_dispatch::peers::Peers;
use carawayseam_dispatch::rollouts::{Decision, Order};
use carawayseam_dispatch::{Catalog, EngineEntry};
use carawayseam_node::LogRevision;
use carawayseam_types::{EngineId, HostId, Incarnation, Millis, Revision, StoreRevision, ZoneId};
use carawayseam_wire::{ConfigurationVersion, Datagram, GossipRound, Heartbeat};
use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::{ActorStopReason, Infallible, PanicError};
use kameo::message::{Context, Message};
use tokio::sync::mpsc::UnboundedSender;

use super::configuration::{LaterConfiguration, MAX_LAG};
use super::members::{ListedHost, Members};
use super::poison_parts;
use crate::platform::{Item, RolloutOrder, RolloutStatus};
use crate::shared::{Shared, lock};
use crate::traffic;
use announcements::Outgoing;
use rounds::GossipState;

/// How often idle connections are checked for removal.
const SWEEP_INTERVAL: Millis = Millis(500);

/// An event that changes the control state.
#[derive(Debug)]
pub(crate) enum Event {
    /// A configuration was read from an item of the store, or a peer's copy of it.
    Configuration { catalog: Arc<Catalog>, item: Item },
    /// The store was restored from a copy; its state is listed next.
    StoreRestored,
    /// At `sent_at`, when a call was sent, the known state of the store was still the newest.
    Confirmed { sent_at: Millis },
    /// All backend servers that the store lists.
    ///
    /// Known servers that are not listed stay until `keep_until`; without it they are removed at once.
    EnginesListed {
        listed: Vec<EngineEntry>,
        source: ListSource,
        keep_until: Option<Millis>,
    },
    /// A backend server's entry changed.
    EngineChanged(EngineEntry),
    /// A backend server's entry was removed.
    ///
    /// The server stays until `keep_until`; without it, it is removed at once.
    EngineRemoved {
        engine: EngineId,
        keep_until: Option<Millis>,
    },
    /// The operator ordered a rollout.
    RolloutOrdered {
        order: RolloutOrder,
        revision: StoreRevision,
    },
    /// The status of a rollout in the store changed.
    RolloutStatusChanged {
        status: RolloutStatus,
        revision: StoreRevision,
    },
    /// The operator's orders to evacuate availability zones changed.
    Evacuation(Evacuation),
    /// All hosts that the store lists.
    HostsListed(Vec<HostEntry>),
    /// A host registered itself.
    HostRegistered(HostEntry),
    /// A host's registration ended.
    HostRemoved(HostId),
    /// A peer's heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A peer does not hear this host.
    Unheard(HostId),
    /// A peer's gossip round.
    GossipRound(Box<GossipRound>),
    /// A peer's datagram of the membership protocol.
    Membership {
        /// The peer's address.
        from: SocketAddr,
        datagram: Datagram,
    },
    /// The periodic timer fired.
    Tick,
}

/// A host that registered itself.
#[derive(Debug)]
pub(crate) struct HostEntry {
    pub(crate) host: HostId,
    /// Where it receives heartbeats.
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneId,
    /// The start of its process.
    pub(crate) incarnation: Incarnation,
}

/// The control state of the process.
#[derive(Debug)]
pub(crate) struct ControlState {
    shared: Arc<Shared>,
    incarnation: Incarnation,
    log_revision: LogRevision,
    decisions: UnboundedSender<Decision>,
    /// A peer that has a later configuration.
    later_configuration: Option<LaterConfiguration>,
    lagging: UnboundedSender<LaterConfiguration>,
    engines: KnownServers,
    hosts: Hosts,
    /// The availability zone of each host that was ever listed.
    zones: BTreeMap<HostId, ZoneId>,
    /// The latest start of each host that was ever listed.
    incarnations: BTreeMap<HostId, Incarnation>,
    /// Which hosts are live, in a small fleet and of earlier builds.
    peers: Peers,
    /// Which hosts are live, in a large fleet.
    members: Members,
    group: Group,
    gossip: GossipState,
    /// The time until which heartbeats also repeat older reports of draining servers, for a peer that
    /// has become live.
    new_peer_until: Millis,
    last_sweep_at: Millis,
}

impl ControlState {
    pub(crate) fn new(
        shared: Arc<Shared>,
        incarnation: Incarnation,
        log_revision: LogRevision,
        decisions: UnboundedSender<Decision>,
        lagging: UnboundedSender<LaterConfiguration>,
    ) -> Self {
        Self {
            incarnation,
            log_revision,
            decisions,
            later_configuration: None,
            lagging,
            engines: KnownServers::default(),
            hosts: Hosts::default(),
            zones: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            peers: Peers::default(),
            members: Members::new(ListedHost {
                host: shared.settings.host.clone(),
                zone: shared.settings.zone.clone(),
                address: shared.settings.announced_address(),
                incarnation,
            }),
            group: Group::alone(shared.settings.host.clone()),
            gossip: GossipState::new(incarnation.0),
            shared,
            new_peer_until: Millis::ZERO,
            last_sweep_at: Millis::ZERO,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::Configuration { catalog, item } => self.apply_configuration(catalog, item),
            Event::StoreRestored => lock(&self.shared.rollouts).forget_stored_states(),
            Event::Confirmed { sent_at } => lock(&self.shared.freshness).confirm(sent_at),
            Event::EnginesListed {
                listed,
                source,
                keep_until,
            } => {
                self.engines.replace(now, listed, source, keep_until);
                log::info!(engines = self.engines.len(), after_outage = keep_until.is_some(); "backend servers listed");
                self.update_engines(now);
            }
            Event::EngineChanged(entry) => self.update_engine(now, entry),
            Event::EngineRemoved { engine, keep_until } => self.remove_engine(now, &engine, keep_until),
            Event::RolloutOrdered { order, revision } => self.apply_rollout_order(now, order, revision),
            Event::RolloutStatusChanged { status, revision } => self.apply_rollout_status(&status, revision),
            Event::Evacuation(change) => self.apply_evacuation(now, change),
            Event::HostsListed(entries) => self.replace_hosts(now, entries),
            Event::HostRegistered(entry) => {
                log::info!(peer:% = entry.host, address:% = entry.address; "peer listed");
                let (host, address) = self.record_host(entry);
                self.hosts.insert(host, address);
                self.update_addresses(now);
            }
            Event::HostRemoved(host) => {
                log::info!(peer:% = host; "peer no longer listed");
                self.hosts.remove(now, &host);
                self.update_addresses(now);
            }
            Event::Heartbeat(heartbeat) => self.apply_heartbeat(now, *heartbeat),
            Event::Unheard(host) => {
                self.peers.record_unheard(now, &host);
                self.update_group(now);
            }
            Event::GossipRound(round) => self.apply_gossip_round(now, &round),
            Event::Membership { from, datagram } => self.apply_membership(now, from, datagram),
            Event::Tick => self.tick(now),
        }
    }

    /// Applies a configuration if it is newer than the one in force.
    fn apply_configuration(&mut self, catalog: Arc<Catalog>, item: Item) {
        let revision = catalog.revision;
        let now = self.shared.now();
        let mut dispatch = lock(&self.shared.dispatch);
        dispatch.quotas.open_accounts(now, catalog.organisations());
        if self.is_newer(revision) {
            dispatch
                .server_limits
                .set_warm_up_limits(catalog.warm_up_limits());
            let share_weights = catalog.share_weights().clone();
            dispatch.dispatcher.set_share_weights(share_weights);
            dispatch
                .server_limits
                .update_servers(now, &self.engines.entries());
        }
        drop(dispatch);
        let applied = self.shared.catalog.send_if_modified(|current| {
            let is_newer = current.as_ref().is_none_or(|current| current.revision < revision);
            if is_newer {
                *current = Some(catalog);
            }
            is_newer
        });
        if applied {
            *lock(&self.shared.configuration_item) = Some(item);
            self.later_configuration = None;
            self.log_revision.set(revision);
            log::info!("configuration in force");
        }
    }

    /// Returns whether a configuration of this revision is newer than the one in force.
    fn is_newer(&self, revision: Revision) -> bool {
        let current = self.shared.catalog();
        current.is_none_or(|current| current.revision < revision)
    }

    /// Applies a change of the operator's orders to evacuate availability zones.
    fn apply_evacuation(&self, now: Millis, change: Evacuation) {
        let mut dispatch = lock(&self.shared.dispatch);
        let (is_change, actions) = dispatch.dispatcher.apply_evacuation(now, change.clone());
        dispatch.apply(now, actions);
        drop(dispatch);
        let (zones, label) = match change {
            _ if !is_change => return,
            Evacuation::Listed(zones) => (zones, "listed"),
            Evacuation::Ordered(zone) => (BTreeSet::from([zone]), "ordered"),
            Evacuation::Lifted(zone) => (BTreeSet::from([zone]), "lifted"),
        };
        self.shared.metrics.count("evacuations", label);
        let zones: Vec<String> = zones.iter().map(ZoneId::to_string).collect();
        log::info!(zones = zones.join(",").as_str(), order = label; "the evacuated zones changed");
    }

    /// Records the configuration that a peer has in force.
    fn record_peer_configuration(&mut self, now: Millis, host: &HostId, version: ConfigurationVersion) {
        let known = self.shared.catalog().map(|catalog| catalog.revision);
        let later = self.later_configuration.as_ref();
        let latest = known.max(later.map(|later| later.version.revision));
        if latest.is_none_or(|latest| latest < version.revision) {
            self.later_configuration = Some(LaterConfiguration {
                host: host.clone(),
                version,
                since: now,
            });
        }
    }

    /// Requests the configuration of a peer that has had a later one for too long.
    fn request_later_configuration(&mut self, now: Millis, live: &BTreeSet<HostId>) {
        let later = self.later_configuration.as_mut();
        let Some(later) = later.filter(|later| now.since(later.since) >= MAX_LAG) else {
            return;
        };
        later.since = now;
        if let Err(e) = self.lagging.send(later.clone()) {
            log::error!("a later configuration was not requested: {e}");
        }
        // The next heartbeat that announces it names a peer that is live.
        if !live.contains(&later.host) {
            self.later_configuration = None;
        }
    }

    fn apply_rollout_order(&self, now: Millis, order: RolloutOrder, revision: StoreRevision) {
        log::info!(backend:% = order.backend, version:% = order.to, within_ms = order.within.0, order:% = revision; "rollout ordered");
        let RolloutOrder { backend, to, within } = order;
        let order = Order { revision, to, within };
        lock(&self.shared.rollouts).apply_order(now, backend, order);
    }

    fn apply_rollout_status(&self, status: &RolloutStatus, revision: StoreRevision) {
        log::info!(backend:% = status.backend, version:% = status.to, state:% = status.state, item:% = revision; "rollout status changed");
        lock(&self.shared.rollouts).apply_state(&status.backend, &status.to, status.state, revision);
    }

    /// Sends the rollout decisions that are due to the store writer.
    ///
    /// A host decides only while its configuration is confirmed. Its rank among the live hosts delays
    /// its decisions, so that usually one host writes.
    fn decide_rollouts(&self, now: Millis, live: &BTreeSet<HostId>) {
        if !self.shared.may_use_keys() {
            return;
        }
        let own_host = &self.shared.settings.host;
        let rank = live.iter().filter(|host| *host < own_host).count() as u32;
        for decision in lock(&self.shared.rollouts).due_decisions(now, rank) {
            if let Err(e) = self.decisions.send(decision) {
                log::error!("a rollout decision was not queued for writing: {e}");
            }
        }
    }

    fn update_engine(&mut self, now: Millis, entry: EngineEntry) {
        if let Some(entry) = self.engines.update(entry) {
            log::info!(engine:% = entry.id, leaving = entry.is_draining, version:% = entry.version; "backend server changed");
            self.update_engines(now);
        }
    }

    fn remove_engine(&mut self, now: Millis, engine: &EngineId, keep_until: Option<Millis>) {
        log::info!(engine:% = engine, after_outage = keep_until.is_some(); "backend server's entry removed");
        if self.engines.remove(now, engine, keep_until) {
            self.update_engines(now);
        }
    }

    fn update_engines(&mut self, now: Millis) {
        self.gossip.are_owned_slots_outdated = true;
        let entries = self.engines.entries();
        let mut dispatch = lock(&self.shared.dispatch);
        dispatch.server_limits.update_servers(now, &entries);
        let actions = dispatch.dispatcher.set_engines(now, entries);
        dispatch.apply(now, actions);
    }

    fn replace_hosts(&mut self, now: Millis, entries: Vec<HostEntry>) {
        let mut hosts = Vec::new();
        for entry in entries {
            hosts.push(self.record_host(entry));
        }
        self.hosts.set(now, hosts);
        self.update_addresses(now);
    }

    /// Records the zone and the start of a listed host, and returns its address.
    fn record_host(&mut self, entry: HostEntry) -> (HostId, SocketAddr) {
        let HostEntry {
            host,
            address,
            zone,
            incarnation,
        } = entry;
        self.zones.insert(host.clone(), zone);
        self.incarnations.insert(host.clone(), incarnation);
        (host, address)
    }

    /// Updates the addresses of the other hosts, and the group.
    fn update_addresses(&mut self, now: Millis) {
        let others = self.hosts.others(&self.shared.settings.host);
        let addresses = others.map(|(host, address)| (host.clone(), address));
        self.shared.peers.set_addresses(addresses.collect());
        self.update_members(now);
        self.update_group(now);
    }

    fn tick(&mut self, now: Millis) {
        let expired = self.engines.remove_expired(now);
        if !expired.is_empty() {
            log::info!(engines:? = expired; "backend servers were not listed again after the outage of the store; removed");
            self.update_engines(now);
        }
        self.probe_members(now);
        let live = self.live_hosts(now);
        if self.hosts.remove_expired(now, |host| live.contains(host)) {
            self.update_addresses(now);
        } else {
            self.update_group(now);
        }
        self.probe_engines(now);
        self.find_relays(now);
        self.decide_rollouts(now, &live);
        self.request_later_configuration(now, &live);
        poison_parts::decide(&self.shared, now);
        if now.since(self.last_sweep_at) >= SWEEP_INTERVAL {
            self.last_sweep_at = now;
            let engines = &self.engines;
            self.shared
                .connections
                .sweep(now, |engine| engines.contains(engine));
        }
        traffic::update_waiting(&self.shared, now);
        let mut dispatch = lock(&self.shared.dispatch);
        dispatch.lift_warm_up_limits(now);
        let actions = dispatch.dispatcher.tick(now);
        dispatch.apply(now, actions);
    }
}

impl Actor for ControlState {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(args: Self, _actor: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(args)
    }

    /// Goes on with the next event: a host without its control state would no longer follow the store.
    async fn on_panic(
        &mut self,
        _actor: WeakActorRef<Self>,
        err: PanicError,
    ) -> Result<ControlFlow<ActorStopReason>, Infallible> {
        log::error!(error:% = err; "handling an event of the control state panicked");
        Ok(ControlFlow::Continue(()))
    }
}

impl Message<Event> for ControlState {
    type Reply = ();

    async fn handle(&mut self, msg: Event, _ctx: &mut Context<Self, ()>) {
        self.handle_event(msg);
    }
}

/// Requests this host's announcements.
#[derive(Debug)]
pub(crate) struct GetAnnouncements {
    pub(crate) seq: u64,
    pub(crate) reply: tokio::sync::oneshot::Sender<Vec<Outgoing>>,
}

impl Message<GetAnnouncements> for ControlState {
    type Reply = ();

    async fn handle(&mut self, msg: GetAnnouncements, _ctx: &mut Context<Self, ()>) {
        // An error means that the requester has stopped waiting.
        drop(msg.reply.send(self.own_announcements(self.shared.now(), msg.seq)));
    }
}
