//! Follows the store: configuration, backend servers and hosts.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use carawayseam_dispatch::Catalog;
use carawayseam_dispatch::outage::Outage;
use carawayseam_types::{HostId, Millis};
use carawayseam_wire::decode;
use kameo::actor::ActorRef;
use tokio::time::sleep;

use super::registration::HostRecord;
use super::state::{ControlState, Note};
use crate::platform::{Change, DecodeError, Item, Platform, Store, StoreError, StoreKeys};
use crate::shared::{Shared, lock};

/// A watch returns after this time even if nothing changed, and so proves that nothing did.
const WATCH_WAIT: Millis = Millis(500);
/// The pause between watches, in which changes gather: calls are bounded over all hosts.
const GATHER_TIME: Millis = Millis(140);
/// How much longer the pause is for each host.
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

/// An outcome that never comes.
type Never = std::convert::Infallible;

impl<P: Platform> Follower<P> {
    async fn list_and_watch(&mut self, pause: &mut Millis) -> Result<Never, StoreError> {
        let sent_at = self.shared.now();
        let mut revision = u64::MAX;
        let configuration = self
            .list_all(&self.keys.configuration.clone(), &mut revision)
            .await?;
        let engines = self.list_all(&self.keys.engines.clone(), &mut revision).await?;
        let hosts = self.list_all(&self.keys.hosts.clone(), &mut revision).await?;
        let orders = self.list_all(&self.keys.moves.clone(), &mut revision).await?;
        let states = self
            .list_all(&self.keys.move_states.clone(), &mut revision)
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
        self.tell(Note::Confirmed { sent_at });
        self.watch(revision, pause).await
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

    async fn watch(&mut self, mut revision: u64, pause: &mut Millis) -> Result<Never, StoreError> {
        loop {
            let sent_at = self.shared.now();
            match self.store.watch("", revision, WATCH_WAIT).await {
                Ok((changes, current)) => {
                    *pause = FIRST_RETRY;
                    self.note_answer();
                    for change in changes {
                        self.change(change);
                    }
                    revision = revision.max(current);
                    self.tell(Note::Confirmed { sent_at });
                    sleep(self.gather_time().to_duration()).await;
                }
                Err(StoreError::HistoryGone) => return Err(StoreError::HistoryGone),
                Err(e) => {
                    self.note_failure(&e);
                    sleep(pause.to_duration()).await;
                    *pause = pause.times(2).min(LONGEST_RETRY);
                }
            }
        }
    }

    fn gather_time(&self) -> Millis {
        let hosts = self.shared.known_hosts.load(Ordering::Relaxed);
        let time = GATHER_TIME + GATHER_TIME_PER_HOST.times(u64::from(hosts));
        time.min(LONGEST_GATHER_TIME)
    }

    fn change(&self, change: Change) {
        match change {
            Change::Put(item) => self.put(&item),
            Change::Removed(key) => self.removed(&key),
        }
    }

    fn put(&self, item: &Item) {
        if item.key == self.keys.configuration {
            match self.platform.configuration(&item.value) {
                Ok(configuration) => {
                    let catalog = Arc::new(Catalog::new(configuration));
                    self.tell(Note::Configuration(catalog));
                }
                Err(e) => log::error!(key:% = item.key; "the configuration cannot be read: {e}"),
            }
        } else if item.key.starts_with(self.keys.engines.as_str()) {
            if let Some(entry) = self.engine(item) {
                self.tell(Note::Engine(entry));
            }
        } else if item.key.starts_with(self.keys.moves.as_str()) {
            self.move_order(item);
        } else if item.key.starts_with(self.keys.move_states.as_str()) {
            self.move_status(item);
        } else if let Some((host, address)) = self.host(item) {
            self.tell(Note::Host(host, address));
        }
    }

    fn move_order(&self, item: &Item) {
        match self.platform.move_order(&item.value) {
            Ok(order) => self.tell(Note::MoveOrdered {
                order,
                revision: item.revision,
            }),
            Err(e) => log::error!(key:% = item.key; "the order to move cannot be read: {e}"),
        }
    }

    fn move_status(&self, item: &Item) {
        match self.platform.read_move_status(&item.value) {
            Ok(status) => self.tell(Note::MoveStands {
                status,
                revision: item.revision,
            }),
            Err(e) => log::error!(key:% = item.key; "the state of a move cannot be read: {e}"),
        }
    }

    fn removed(&self, key: &str) {
        let engine = key.strip_prefix(self.keys.engines.as_str()).map(str::parse);
        let host = key.strip_prefix(self.keys.hosts.as_str()).map(str::parse);
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
        let id = item.key.strip_prefix(self.keys.engines.as_str())?;
        match self.platform.engine(id, &item.value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                note_unreadable(&item.key, &e);
                None
            }
        }
    }

    fn host(&self, item: &Item) -> Option<(HostId, std::net::SocketAddr)> {
        let name = item.key.strip_prefix(self.keys.hosts.as_str())?;
        let record = decode::<HostRecord>(&item.value);
        match (name.parse(), record) {
            (Ok(host), Ok(record)) => Some((host, record.address)),
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
        if self.outage.on_answer(self.shared.now()) {
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
