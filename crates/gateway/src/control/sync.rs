//! Follows the store: configuration, backend servers and hosts.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use carawayseam_dispatch::Catalog;
use carawayseam_dispatch::history::History;
use carawayseam_dispatch::outage::Outage;
use carawayseam_types::{HostId, Millis};
use carawayseam_wire::{PeerMessage, PeerResponse, StoreChanges, decode};
use compact_str::CompactString;
use kameo::actor::ActorRef;
use tokio::time::sleep;

use super::news::{self, Heard};
use super::registration::HostRecord;
use super::state::{ControlState, HostEntry, Note};
use crate::platform::{Change, DecodeError, Item, Platform, Store, StoreError, StoreKeys};
use crate::shared::{Shared, lock};

/// A host that does not follow the store itself asks one that does this often.
const ASK_INTERVAL: Millis = Millis(300);
/// Hosts that are asked when the store does not answer.
const MOST_VOUCHERS: usize = 3;
/// A watch returns after this time even if nothing changed, and so proves that nothing did.
const WATCH_WAIT: Millis = Millis(500);
/// The pause between watches, in which changes gather: calls are bounded over all hosts.
const GATHER_TIME: Millis = Millis(140);
/// How much longer the pause is for each host that follows the store.
const GATHER_TIME_PER_HOST: Millis = Millis(25);
/// The longest pause.
const LONGEST_GATHER_TIME: Millis = Millis(1_000);
/// The pause after a failed call; it doubles up to the longest.
const FIRST_RETRY: Millis = Millis(100);
const LONGEST_RETRY: Millis = Millis(250);

/// Follows the store until the process ends.
pub(crate) async fn follow_store<P: Platform>(
    shared: Arc<Shared>,
    platform: Arc<P>,
    control: ActorRef<ControlState>,
) {
    let store = platform.store(shared.settings.store);
    let mut follower = Follower {
        keys: platform.keys(),
        outage: Outage::new(shared.now()),
        shared,
        platform,
        control,
        store,
    };
    let mut pause = FIRST_RETRY;
    loop {
        let Err(e) = follower.list_and_watch(&mut pause).await;
        match e {
            StoreError::HistoryGone => log::info!("the store dropped its history; listing again"),
            e => {
                follower.note_failure(&e);
                sleep(pause.to_duration()).await;
                pause = pause.times(2).min(LONGEST_RETRY);
            }
        }
    }
}

struct Follower<P: Platform> {
    shared: Arc<Shared>,
    platform: Arc<P>,
    control: ActorRef<ControlState>,
    store: P::Store,
    keys: StoreKeys,
    outage: Outage,
}

/// Which peers are asked of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// Those that follow it for this host.
    Sources,
    /// Any, as the store does not answer this host.
    Vouchers,
}

/// What a peer told of the store.
enum Told {
    /// All that is known.
    All,
    /// Some of it.
    Part,
    /// Nothing that helps.
    Nothing,
}

/// An outcome that never comes.
type Never = std::convert::Infallible;

impl<P: Platform> Follower<P> {
    async fn list_and_watch(&mut self, pause: &mut Millis) -> Result<Never, StoreError> {
        let sent_at = self.shared.now();
        let mut revision = u64::MAX;
        let configuration = self
            .list_all(&self.keys.configuration_key.clone(), &mut revision)
            .await?;
        let engines = self
            .list_all(&self.keys.engine_prefix.clone(), &mut revision)
            .await?;
        let hosts = self
            .list_all(&self.keys.host_prefix.clone(), &mut revision)
            .await?;
        let orders = self
            .list_all(&self.keys.rollout_order_prefix.clone(), &mut revision)
            .await?;
        let states = self
            .list_all(&self.keys.rollout_status_prefix.clone(), &mut revision)
            .await?;
        self.note_answer();
        for item in configuration.into_iter().chain(orders).chain(states) {
            self.put(&item);
        }
        let listed = engines.iter().filter_map(|item| self.engine(item)).collect();
        let keep_until = self.outage.keep_until(self.shared.now());
        self.tell(Note::Engines { listed, keep_until });
        let hosts = hosts.iter().filter_map(|item| self.host(item)).collect();
        self.tell(Note::Hosts(hosts));
        lock(&self.shared.store_history).changes = History::since(revision);
        self.tell(Note::Confirmed { sent_at });
        self.follow(pause).await
    }

    async fn list_all(&mut self, prefix: &str, revision: &mut u64) -> Result<Vec<Item>, StoreError> {
        let mut items: Vec<Item> = Vec::new();
        loop {
            let after = items.last().map(|item| item.key.clone()).unwrap_or_default();
            let page = self.store.list(prefix, &after).await?;
            *revision = page.revision.min(*revision);
            items.extend(page.items);
            if !page.has_more {
                return Ok(items);
            }
        }
    }

    /// Follows the store through other hosts, or by itself where it is up to it or none of them answers.
    async fn follow(&mut self, pause: &mut Millis) -> Result<Never, StoreError> {
        loop {
            if self.ask_peers(Asked::Sources).await {
                *pause = FIRST_RETRY;
                sleep(ASK_INTERVAL.to_duration()).await;
                continue;
            }
            let sent_at = self.shared.now();
            let revision = self.revision();
            match self.store.watch("", revision, WATCH_WAIT).await {
                Ok((changes, current)) => {
                    *pause = FIRST_RETRY;
                    self.note_answer();
                    for change in changes {
                        self.change(change.revision(), change);
                    }
                    self.proved(current, sent_at);
                    sleep(self.gather_time().to_duration()).await;
                }
                Err(StoreError::HistoryGone) => return Err(StoreError::HistoryGone),
                Err(e) => {
                    self.note_failure(&e);
                    // The store may turn this host away alone.
                    self.ask_peers(Asked::Vouchers).await;
                    sleep(pause.to_duration()).await;
                    *pause = pause.times(2).min(LONGEST_RETRY);
                }
            }
        }
    }

    /// Asks other hosts of the store; whether one of them told all.
    async fn ask_peers(&mut self, asked: Asked) -> bool {
        let peers = match asked {
            Asked::Sources => self.shared.peers.sources(),
            Asked::Vouchers => self.shared.peers.others(MOST_VOUCHERS),
        };
        for peer in peers {
            while let Some(told) = self.ask(&peer, asked).await {
                match told {
                    Told::All => return true,
                    Told::Part => {}
                    Told::Nothing => break,
                }
            }
        }
        false
    }

    async fn ask(&mut self, peer: &HostId, asked: Asked) -> Option<Told> {
        let asked_at = self.shared.now();
        let after = self.revision();
        let message = |ask| PeerMessage::ChangesRequest {
            host: self.shared.settings.host.clone(),
            request_id: ask,
            after,
        };
        let answer = self
            .shared
            .peers
            .request(peer, news::ASK_LIMIT, news::ASKS, message)
            .await;
        let Some(PeerResponse::Changes(news)) = answer else {
            self.shared.metrics.count("store_asks", "unanswered");
            return None;
        };
        let Some(news) = news else {
            self.shared.metrics.count("store_asks", "not-known");
            return Some(Told::Nothing);
        };
        self.shared.metrics.count("store_asks", "answered");
        let told = if news.is_complete { Told::All } else { Told::Part };
        if asked == Asked::Sources {
            let now = self.shared.now();
            let keep_until = (news.removal_grace > Millis::ZERO).then_some(now + news.removal_grace);
            let returned = self.outage.on_peer_answer(now, keep_until);
            self.note_return(returned);
        }
        // Where an item could not be read, what follows it is asked for again.
        match self.take_news(asked_at, peer, news).await {
            Ok(()) => Some(told),
            Err(e) => {
                self.note_failure(&e);
                Some(Told::Nothing)
            }
        }
    }

    async fn take_news(
        &mut self,
        asked_at: Millis,
        peer: &HostId,
        news: StoreChanges,
    ) -> Result<(), StoreError> {
        for told in news.changes {
            let revision = told.revision;
            let change = match news::heard(told) {
                Heard::Whole(change) => Some(change),
                Heard::Large(key) => self.read_item(peer, &key, revision).await?.map(Change::Put),
            };
            // An item that is gone again is told as removed later.
            if let Some(change) = change {
                self.change(revision, change);
            }
        }
        if news.is_complete {
            self.proved(news.end_revision, Millis(asked_at.0.saturating_sub(news.age.0)));
        } else {
            lock(&self.shared.store_history)
                .changes
                .advance(news.end_revision);
        }
        Ok(())
    }

    /// Reads an item from the store, or from a peer if the store does not answer.
    async fn read_item(
        &mut self,
        peer: &HostId,
        key: &CompactString,
        revision: u64,
    ) -> Result<Option<Item>, StoreError> {
        match self.store.list(key, "").await {
            Ok(page) => Ok(page.items.into_iter().find(|item| item.key == *key)),
            Err(e) => match news::fetch(&self.shared, peer, key, revision).await {
                Some(item) => Ok(Some(item)),
                None => Err(e),
            },
        }
    }

    /// The revision up to which all changes are known here.
    fn revision(&self) -> u64 {
        lock(&self.shared.store_history).changes.end()
    }

    /// All changes up to a revision are known, and there were no later ones at `sent_at`.
    fn proved(&self, revision: u64, sent_at: Millis) {
        let mut history = lock(&self.shared.store_history);
        history.changes.advance(revision);
        history.keep_until = self.outage.keep_until(self.shared.now());
        drop(history);
        self.tell(Note::Confirmed { sent_at });
    }

    fn gather_time(&self) -> Millis {
        let hosts = self.shared.store_followers.load(Ordering::Relaxed);
        let time = GATHER_TIME + GATHER_TIME_PER_HOST.times(u64::from(hosts));
        time.min(LONGEST_GATHER_TIME)
    }

    /// Takes a change that was told under a revision, and keeps it for peers.
    fn change(&self, revision: u64, change: Change) {
        match &change {
            Change::Put(item) => self.put(item),
            Change::Removed { key, .. } => self.removed(key),
        }
        lock(&self.shared.store_history).changes.push(revision, change);
    }

    fn put(&self, item: &Item) {
        if item.key == self.keys.configuration_key {
            match self.platform.decode_configuration(&item.value) {
                Ok(configuration) => {
                    let catalog = Arc::new(Catalog::new(configuration));
                    self.tell(Note::Configuration(catalog));
                }
                Err(e) => log::error!(key:% = item.key; "the configuration cannot be read: {e}"),
            }
        } else if item.key.starts_with(self.keys.engine_prefix.as_str()) {
            if let Some(entry) = self.engine(item) {
                self.tell(Note::Engine(entry));
            }
        } else if item.key.starts_with(self.keys.rollout_order_prefix.as_str()) {
            self.move_order(item);
        } else if item.key.starts_with(self.keys.rollout_status_prefix.as_str()) {
            self.move_status(item);
        } else if let Some(entry) = self.host(item) {
            self.tell(Note::Host(entry));
        }
    }

    fn move_order(&self, item: &Item) {
        match self.platform.decode_rollout_order(&item.value) {
            Ok(order) => self.tell(Note::MoveOrdered {
                order,
                revision: item.revision,
            }),
            Err(e) => log::error!(key:% = item.key; "the order to move cannot be read: {e}"),
        }
    }

    fn move_status(&self, item: &Item) {
        match self.platform.decode_rollout_status(&item.value) {
            Ok(status) => self.tell(Note::MoveStands {
                status,
                revision: item.revision,
            }),
            Err(e) => log::error!(key:% = item.key; "the state of a move cannot be read: {e}"),
        }
    }

    fn removed(&self, key: &str) {
        let engine = key.strip_prefix(self.keys.engine_prefix.as_str()).map(str::parse);
        let host = key.strip_prefix(self.keys.host_prefix.as_str()).map(str::parse);
        match (engine, host) {
            (Some(Ok(engine)), _) => {
                let keep_until = self.outage.keep_until(self.shared.now());
                self.tell(Note::EngineRemoved { engine, keep_until });
            }
            (_, Some(Ok(host))) => self.tell(Note::HostRemoved(host)),
            (Some(Err(e)), _) => log::debug!("the removed entry {key} names no backend server: {e}"),
            (_, Some(Err(e))) => log::debug!("the removed entry {key} names no host: {e}"),
            (None, None) => {}
        }
    }

    fn engine(&self, item: &Item) -> Option<carawayseam_dispatch::EngineEntry> {
        let id = item.key.strip_prefix(self.keys.engine_prefix.as_str())?;
        match self.platform.decode_engine(id, &item.value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                note_unreadable(&item.key, &e);
                None
            }
        }
    }

    fn host(&self, item: &Item) -> Option<HostEntry> {
        let name = item.key.strip_prefix(self.keys.host_prefix.as_str())?;
        let record = decode::<HostRecord>(&item.value);
        match (name.parse(), record) {
            (Ok(host), Ok(HostRecord { address, zone, .. })) => Some(HostEntry { host, address, zone }),
            (Err(e), _) => {
                log::warn!(key:% = item.key; "the entry names no host: {e}");
                None
            }
            (_, Err(e)) => {
                log::warn!(key:% = item.key; "the host's entry cannot be read: {e}");
                None
            }
        }
    }

    fn tell(&self, note: Note) {
        if let Err(e) = self.control.tell(note).try_send() {
            log::error!("the control state has ended: {e}");
        }
    }

    fn note_answer(&mut self) {
        let returned = self.outage.on_answer(self.shared.now());
        self.note_return(returned);
    }

    fn note_return(&self, returned: bool) {
        if returned {
            lock(&self.shared.reach).store_is_away = false;
            log::info!(dependency = "store"; "dependency regained");
        }
    }

    fn note_failure(&mut self, e: &StoreError) {
        log::debug!("a call to the store failed: {e}");
        let now = self.shared.now();
        if self.outage.on_failure(now) {
            lock(&self.shared.reach).store_is_away = true;
            let silence = self.outage.silence(now);
            log::warn!(dependency = "store", silent_ms = silence.0, error:% = e; "dependency lost");
        }
    }
}

fn note_unreadable(key: &str, e: &DecodeError) {
    log::warn!(key = key; "the entry names no usable backend server: {e}");
}
