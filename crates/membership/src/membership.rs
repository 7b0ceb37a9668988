//! The state of one process's membership, and how it handles events.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use carawayseam_external::hosts::{HostList, HostState};
use carawayseam_types::{HostId, Millis, ZoneId};
use carawayseam_wire::{Body, GossipUpdate, Head, Item, ItemKey, Peer, PeerState, Record, RecordKey, Topic};
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use crate::budget::SendBudget;
use crate::dump::RefusalCounts;
use crate::items::{Audience, Items, audience, max_value_bytes};
use crate::limits::{
    DIRECTED_RESENDS, EXPIRE_PERIOD, ISOLATION_TIMEOUT, MAX_CLOCK_STEP, MAX_JOIN_ROUNDS, MAX_LOCAL_HEALTH,
    MAX_REJOIN_PROBES, MIN_SYNCED_PEERS, REJOIN_PERIOD, RESEND_PERIOD, ZONE_TIMEOUT,
};
use crate::parts::Assemblies;
use crate::peers::{PeerId, Peers};
use crate::prober::{Due, Prober, sample};
use crate::push::PushQueue;
use crate::records::{LearnOutcome, Records};
use crate::rotation::Rotation;
use crate::updates::{UpdateKey, UpdateQueue};
use crate::zone_contact::ZoneContact;
use crate::{Action, Event, MembershipConfig, MembershipDump, Refusal, Timing};

/// The peers, records and published values known to one process.
#[derive(Debug)]
pub struct Membership {
    /// Follows the clock, but never steps back, and advances at most [`MAX_CLOCK_STEP`] at a time.
    pub(crate) time: Millis,
    last_now: Option<Millis>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) peers: Peers,
    pub(crate) prober: Prober,
    pub(crate) timing: Timing,
    pub(crate) max_broadcast_peers: usize,
    /// The listed processes; `None` if any process that a peer knows becomes a peer.
    pub(crate) listed: Option<BTreeSet<PeerId>>,
    /// When the last datagram was received.
    pub(crate) last_datagram_at: Millis,
    /// The listed zones.
    pub(crate) zone_contacts: BTreeMap<ZoneId, ZoneContact>,
    /// Peers that have sent all their heads, at most [`MIN_SYNCED_PEERS`].
    pub(crate) synced_peers: BTreeSet<PeerId>,
    pub(crate) queue: UpdateQueue,
    pub(crate) push_queue: PushQueue,
    pub(crate) send_budget: SendBudget,
    pub(crate) rotation: Rotation,
    pub(crate) records: Records,
    pub(crate) items: Items,
    pub(crate) assemblies: Assemblies,
    /// The time of the last heartbeat of each lease holder.
    pub(crate) holders: BTreeMap<PeerId, Millis>,
    pub(crate) hosts: BTreeMap<HostId, HostState>,
    pub(crate) hosts_read_at: Option<Millis>,
    rejoin_at: Millis,
    joins_left: u32,
    expire_at: Millis,
    resend_at: Millis,
    /// For each own value with a limited audience, how many times it is still to be resent.
    resends: BTreeMap<ItemKey, u32>,
    refused: RefusalCounts,
}

impl Membership {
    /// Creates a membership that knows this process, its seeds and the configured peers.
    #[must_use]
    pub fn new(config: MembershipConfig) -> Self {
        let mut peers = Peers::new(config.me);
        for peer in &config.known {
            peers.merge(Millis::ZERO, peer);
        }
        Self {
            time: Millis::ZERO,
            last_now: None,
            seeds: config.seeds,
            rng: Xoshiro256PlusPlus::seed_from_u64(config.seed),
            peers,
            prober: Prober::new(config.timing),
            timing: config.timing,
            max_broadcast_peers: config.max_broadcast_peers,
            listed: None,
            last_datagram_at: Millis::ZERO,
            zone_contacts: BTreeMap::new(),
            synced_peers: BTreeSet::new(),
            queue: UpdateQueue::default(),
            push_queue: PushQueue::default(),
            send_budget: SendBudget::full(config.send_limit),
            rotation: Rotation::default(),
            records: Records::default(),
            items: Items::default(),
            assemblies: Assemblies::default(),
            holders: BTreeMap::new(),
            hosts: BTreeMap::new(),
            hosts_read_at: None,
            rejoin_at: Millis::ZERO,
            joins_left: if config.joins { MAX_JOIN_ROUNDS } else { 0 },
            expire_at: Millis::ZERO,
            resend_at: Millis::ZERO,
            resends: BTreeMap::new(),
            refused: RefusalCounts::default(),
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::Datagram { from, datagram } => self.handle_datagram(from, datagram, actions),
            Event::HostList(list) => self.update_hosts(list),
            Event::Listed(peers) => self.update_listed(&peers),
            Event::Publish { topic, name, payload } => self.publish(topic, name, payload, actions),
            Event::Record(record) => self.learn(record, actions),
            Event::Heads { from, heads } => self.observe_heads(from, &heads, actions),
            Event::PullFailed { from, key } => self.records.pull_failed(self.time, &key, from),
            Event::Leave => self.leave(),
            Event::Tick => self.tick(actions),
        }
        self.report_live_peers(actions);
        self.push_critical(actions);
        self.start_pulls(actions);
    }

    /// Returns the newest known record under `key`.
    #[must_use]
    pub fn record(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the heads of all known records.
    #[must_use]
    pub fn heads(&self) -> Vec<Head> {
        self.records.heads().cloned().collect()
    }

    /// Returns the newest known value under `key`.
    #[must_use]
    pub fn item(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns whether this process may serve by the records it knows.
    ///
    /// Several peers must have sent their heads, and all records they name must
    /// have been pulled. A single peer may lag behind: a restarted process that
    /// relied on it alone could revert to an older revision than it applied before
    /// the restart.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        let knows_records = self.records.heads().next().is_some();
        knows_records && self.records.missing_count() == 0 && !self.is_joining()
    }

    /// Returns whether fewer peers have sent all their heads than required.
    ///
    /// [`MIN_SYNCED_PEERS`] are required, or all live peers if there are fewer.
    pub(crate) fn is_joining(&self) -> bool {
        self.synced_peers.len() < MIN_SYNCED_PEERS.min(self.peers.live().len())
    }

    /// Picks a random live peer from which to request all heads.
    ///
    /// Gossip already repeats all heads in turn; a request over a stream every
    /// minute or so shortens the delay after a long partition.
    pub fn pick_heads_source(&mut self) -> Option<SocketAddr> {
        let source = sample(self.peers.live(), 1, &mut self.rng);
        source.first().map(|peer| peer.address)
    }

    /// Iterates over the peers that are alive: neither suspect nor leaving, nor in a zone from which this process is cut
    /// off.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        let alive = self.peers.all().filter(|peer| peer.state == PeerState::Alive);
        alive.filter(|peer| !self.is_cut_off_from(&peer.zone))
    }

    /// Returns whether probes to a listed zone fail and nothing arrives from it.
    ///
    /// One host probes a zone about once a second, so it takes too long to find each host of a lost zone by itself.
    #[must_use]
    pub fn is_cut_off_from(&self, zone: &ZoneId) -> bool {
        let contact = self.zone_contacts.get(zone);
        contact.is_some_and(|contact| {
            contact.has_failed_probe && self.time.since(contact.received_at) >= ZONE_TIMEOUT
        })
    }

    /// Returns the peers that are alive or only suspected.
    #[must_use]
    pub fn live(&self) -> &[Peer] {
        self.peers.live()
    }

    /// Returns whether this process receives nothing from any peer though it probes.
    ///
    /// It does not know then whether its peers are lost or it is cut off from them.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.prober.has_probes() && self.time.since(self.last_datagram_at) >= ISOLATION_TIMEOUT
    }

    /// Returns whether failed probes are ignored because nothing is received from any peer.
    ///
    /// A process without a list never ignores them: with one peer, loss and isolation look alike.
    fn ignores_failed_probes(&self) -> bool {
        self.listed.is_some() && self.is_isolated()
    }

    /// Returns the local health score: 0 is healthy; the time-outs of probes grow with it.
    #[must_use]
    pub const fn local_health(&self) -> u32 {
        self.prober.local_health()
    }

    /// Returns the state for the state dump.
    #[must_use]
    pub fn dump(&self) -> MembershipDump {
        MembershipDump {
            me: self.peers.me.clone(),
            peers: self.peers.all().cloned().collect(),
            heads: self.heads(),
            items: self.items.all().count(),
            queued_updates: self.queue.len(),
            missing_records: self.records.missing_count(),
            host_list_age: self.hosts_read_at.map(|at| self.time.since(at)),
            refused: self.refused,
        }
    }

    /// Advances the internal time; a large step of the clock counts as a pause of this process.
    fn advance(&mut self, now: Millis) {
        let step = now.since(self.last_now.unwrap_or(now)).min(MAX_CLOCK_STEP);
        self.last_now = Some(now);
        self.time += step;
        self.push_queue.refill(step);
        self.send_budget.refill(step);
    }

    fn learn(&mut self, record: Record, actions: &mut Vec<Action>) {
        match self.records.learn(self.time, &record) {
            LearnOutcome::Known => {}
            LearnOutcome::Refusal(refused) => self.refuse(refused, actions),
            LearnOutcome::Newer { was_announced } => {
                // A joining process pulls records that its peers already have.
                if !(was_announced && self.is_joining()) {
                    self.disseminate_head(record.head.clone());
                }
                actions.push(Action::Apply(record));
            }
        }
    }

    fn observe_heads(&mut self, from: SocketAddr, heads: &[Head], actions: &mut Vec<Action>) {
        for head in heads {
            self.observe_head(from, head, actions);
        }
    }

    pub(crate) fn observe_head(&mut self, from: SocketAddr, head: &Head, actions: &mut Vec<Action>) {
        if let Some(refused) = self.records.observe_head(self.time, head, from) {
            self.refuse(refused, actions);
        }
    }

    pub(crate) fn refuse(&mut self, refused: Refusal, actions: &mut Vec<Action>) {
        self.refused.count(&refused);
        actions.push(Action::Refuse(refused));
    }

    fn update_hosts(&mut self, list: HostList) {
        self.hosts_read_at = Some(self.time);
        self.hosts = list
            .hosts
            .into_iter()
            .map(|host| (host.host, host.state))
            .collect();
    }

    /// Makes the listed processes the peers of this one, and drops dead ones that are no longer listed.
    fn update_listed(&mut self, peers: &[Peer]) {
        let me = PeerId::of(&self.peers.me);
        let ids: BTreeSet<PeerId> = peers.iter().map(PeerId::of).collect();
        self.peers
            .retain(|peer| ids.contains(&PeerId::of(peer)) || peer.state != PeerState::Dead);
        self.listed = Some(ids);
        let zones: BTreeSet<&ZoneId> = peers.iter().map(|peer| &peer.zone).collect();
        self.zone_contacts.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            if !self.zone_contacts.contains_key(zone) {
                self.zone_contacts
                    .insert(zone.clone(), ZoneContact::at(self.time));
            }
        }
        for peer in peers.iter().filter(|peer| PeerId::of(peer) != me) {
            self.peers.merge(self.time, peer);
        }
    }

    fn publish(&mut self, topic: Topic, name: String, payload: Vec<u8>, actions: &mut Vec<Action>) {
        let found = payload.len() + name.len();
        let limit = max_value_bytes(topic);
        if found > limit {
            self.refuse(Refusal::TooLong { topic, found, limit }, actions);
            return;
        }
        let item = self.items.publish(&self.peers.me, topic, name, payload);
        if audience(topic) != Audience::Everyone {
            self.resends.insert(item.key.clone(), DIRECTED_RESENDS);
        }
        self.disseminate_item(&item, true);
    }

    fn leave(&mut self) {
        self.peers.me.state = PeerState::Leaving;
        let me = self.peers.me.clone();
        self.queue.enqueue(GossipUpdate::Peer(me));
        self.push_queue.presence_pending = true;
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        self.probe(actions);
        self.rejoin(actions);
        self.expire();
        self.resend_directed();
        self.push_bulk(actions);
    }

    fn probe(&mut self, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        let may_probe = self.send_budget.covers_datagram();
        self.prober
            .tick(self.time, &self.peers, may_probe, &mut self.rng, &mut due);
        // The budget covers one datagram for certain. A probe that is recorded but not sent would make its target suspect.
        due.sort_by_key(|item| !matches!(item, Due::Probe { .. }));
        for item in due {
            match item {
                Due::Probe { seq, target } => self.send(&target, Body::Probe { seq }, actions),
                Due::ProbeIndirectly { seq, target } => self.request_indirect_probes(seq, &target, actions),
                Due::TimedOut(id) => self.suspect(&id, actions),
            }
        }
    }

    fn suspect(&mut self, id: &PeerId, actions: &mut Vec<Action>) {
        if self.ignores_failed_probes() {
            return;
        }
        if let Some(peer) = self.peers.get(id)
            && let Some(contact) = self.zone_contacts.get_mut(&peer.zone)
        {
            contact.has_failed_probe = true;
        }
        let is_alive = self
            .peers
            .get(id)
            .is_some_and(|peer| peer.state == PeerState::Alive);
        self.prober.increment_local_health_score();
        // Nearly all probes fail, so the cause is probably this process.
        if self.listed.is_some() && self.prober.local_health() >= MAX_LOCAL_HEALTH {
            return;
        }
        let worsened = is_alive.then(|| self.peers.worsen(self.time, id, PeerState::Suspect));
        if let Some(peer) = worsened.flatten() {
            self.queue.enqueue(GossipUpdate::Peer(peer.clone()));
            // The probe carries the suspicion, so that the peer can refute it in time.
            let seq = self.prober.next_seq();
            self.send(&peer, Body::Probe { seq }, actions);
        }
    }

    fn expire(&mut self) {
        if self.time < self.expire_at {
            return;
        }
        self.expire_at = self.time + EXPIRE_PERIOD;
        if self.ignores_failed_probes() {
            // After the isolation, the suspects have their whole time to refute.
            self.peers.restart_suspicions(self.time);
            return;
        }
        let suspicion_timeout = self.prober.scaled(self.timing.suspicion_timeout);
        for peer in self.peers.expire(self.time, suspicion_timeout) {
            self.queue.enqueue(GossipUpdate::Peer(peer));
        }
        let hosts = &self.hosts;
        let forgotten = self.peers.forget(self.time, |host| hosts.contains_key(host));
        if forgotten.is_empty() {
            return;
        }
        let me = PeerId::of(&self.peers.me);
        let peers = &self.peers;
        self.items.retain(|id| *id == me || peers.get(id).is_some());
        self.holders.retain(|id, _| peers.get(id).is_some());
    }

    /// Probes a seed or a dead peer, so that both sides reconnect after a partition.
    ///
    /// While this process is not synced, it sends join requests instead of probes.
    fn rejoin(&mut self, actions: &mut Vec<Action>) {
        if self.time < self.rejoin_at {
            return;
        }
        self.rejoin_at = self.time + REJOIN_PERIOD;
        let is_live = |address: &SocketAddr| self.peers.live().iter().any(|peer| peer.address == *address);
        let dead = self.peers.all().filter(|peer| peer.state == PeerState::Dead);
        let candidates: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.peers.me.address && !is_live(seed))
            .chain(dead.map(|peer| peer.address))
            .collect();
        let count = match &self.listed {
            _ if !self.peers.live().is_empty() => 1,
            // The listed processes are the whole fleet, and what is sent must not grow with it.
            Some(_) => MAX_REJOIN_PROBES,
            // A process that joins by a few seeds alone can take records older than those it served before its restart.
            None => candidates.len(),
        };
        let mut targets = sample(&candidates, count, &mut self.rng);
        let is_join = self.should_join();
        if is_join {
            self.joins_left -= 1;
            targets.extend(self.pick_heads_source());
        }
        for address in targets {
            let seq = self.prober.next_seq();
            let body = if is_join {
                Body::Join { seq }
            } else {
                Body::Probe { seq }
            };
            self.send_to(address, body, actions);
        }
    }

    /// Returns whether to send join requests: too few peers are synced, and rounds are left.
    fn should_join(&self) -> bool {
        self.joins_left > 0 && self.synced_peers.len() < MIN_SYNCED_PEERS
    }

    /// Resends own values with a limited audience, because the rotation does not repeat them.
    fn resend_directed(&mut self) {
        if self.time < self.resend_at {
            return;
        }
        self.resend_at = self.time + RESEND_PERIOD;
        self.resends.retain(|key, left| {
            self.push_queue.add_bulk(UpdateKey::Item(key.clone()));
            *left -= 1;
            *left > 0
        });
    }

    /// Schedules all own values with a limited audience for resending, for a new lease holder.
    pub(crate) fn resend_all_directed(&mut self) {
        let me = PeerId::of(&self.peers.me);
        let own = self.items.all().filter(|item| PeerId::publisher(item) == me);
        let directed = own.filter(|item| audience(item.key.topic) != Audience::Everyone);
        self.resends.extend(directed.map(|item| (item.key.clone(), 1)));
        self.resend_at = self.time;
    }

    fn report_live_peers(&mut self, actions: &mut Vec<Action>) {
        if !self.peers.refresh_live() {
            return;
        }
        let mut peers = vec![self.peers.me.clone()];
        peers.extend_from_slice(self.peers.live());
        actions.push(Action::Peers(peers));
    }

    fn start_pulls(&mut self, actions: &mut Vec<Action>) {
        if self.records.missing_count() == 0 {
            return;
        }
        let fallback = self.pick_heads_source();
        self.records.pull(self.time, fallback, actions);
    }
}
