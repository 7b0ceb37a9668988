//! Follows the configuration, backend servers, rollouts and hosts in the store.

mod items;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use carawayseam_dispatch::evacuation::Evacuation;
use carawayseam_dispatch::known_servers::ListSource;
use carawayseam_dispatch::outage::Outage;
use carawayseam_types::{HostId, Millis, StoreEra, StoreRevision};
use carawayseam_wire::{PeerMessage, PeerResponse, StoreChanges};
use compact_str::CompactString;
use kameo::actor::ActorRef;
use tokio::time::sleep;

use super::state::{ControlState, Event};
use super::store_copy::{self, Listing};
use super::updates::{self, PeerChange};
use crate::platform::{Change, Item, Platform, Store, StoreError, StoreKeys};
use crate::shared::{Shared, lock};

/// The longest value that the hosts of a tree fetch from their source rather than from the store: all that poll one
/// host fetch it at once, and 8 times 64 kB take half a second of a link of 10 Mbit/s.
const MAX_PEER_VALUE_BYTES: u32 = 64 * 1_024;
/// The number of peers that are polled when the store does not respond.
const MAX_FALLBACK_PEERS: usize = 3;
/// A watch returns after this time even without changes, which confirms that there were none.
const WATCH_TIMEOUT: Millis = Millis(500);
/// The delay between watches. Changes accumulate meanwhile, which bounds the rate of calls that all
/// hosts make to the store.
const BATCH_DELAY: Millis = Millis(140);
/// The additional delay for each host that watches the store.
const BATCH_DELAY_PER_FOLLOWER: Millis = Millis(25);
/// Bounds the delay between watches.
const MAX_BATCH_DELAY: Millis = Millis(1_000);
/// The delay after the first failed call; it doubles with each failure up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Millis = Millis(100);
const MAX_RETRY_DELAY: Millis = Millis(250);

/// Follows the store until the process ends.
pub(crate) async fn follow_store<P: Platform>(
    shared: Arc<Shared>,
    platform: Arc<P>,
    control: ActorRef<ControlState>,
) {
    let store = platform.store(shared.settings.store);
    let mut follower = StoreFollower {
        keys: platform.keys(),
        outage: Outage::new(shared.now()),
        shared,
        platform,
        control,
        store,
    };
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let Err(e) = follower.list_and_watch(&mut retry_delay).await;
        match e {
            StoreError::HistoryGone => log::info!("the store dropped its history; listing again"),
            StoreError::Restored => {
                log::info!("the store was restored; listing again");
                sleep(MIN_RETRY_DELAY.to_duration()).await;
            }
            e => {
                follower.record_failure(&e);
                sleep(retry_delay.to_duration()).await;
                retry_delay = retry_delay.times(2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

struct StoreFollower<P: Platform> {
    shared: Arc<Shared>,
    platform: Arc<P>,
    control: ActorRef<ControlState>,
    store: P::Store,
    keys: StoreKeys,
    outage: Outage,
}

/// The peers that are polled for changes of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerSet {
    /// The hosts that watch the store on behalf of this one.
    StoreSources,
    /// Any reachable hosts, because the store does not respond to this one.
    AnyReachable,
}

/// The result of polling a peer.
enum PollResult {
    /// All changes that the peer knows were received.
    Complete,
    /// Some changes were received; the peer has more.
    Partial,
    /// The peer has no usable changes.
    Unavailable,
    /// The peer knows that the store was restored.
    LaterEra,
}

/// The success type of a loop that only ends with an error.
type Never = std::convert::Infallible;

impl<P: Platform> StoreFollower<P> {
    async fn list_and_watch(&mut self, retry_delay: &mut Millis) -> Result<Never, StoreError> {
        let listing = match self.list().await {
            Ok(listing) => listing,
            // The store may be unavailable to this host only.
            Err(e) => self.copy_from_peers().await.ok_or(e)?,
        };
        self.apply_listing(listing);
        self.follow(retry_delay).await
    }

    /// Lists the store.
    async fn list(&mut self) -> Result<Listing, StoreError> {
        let sent_at = self.shared.now();
        let mut revision = None;
        let mut items = Vec::new();
        for prefix in [
            self.keys.configuration_key.clone(),
            self.keys.engine_prefix.clone(),
            self.keys.host_prefix.clone(),
            self.keys.rollout_order_prefix.clone(),
            self.keys.rollout_status_prefix.clone(),
            self.keys.evacuation_prefix.clone(),
        ] {
            items.extend(self.list_all(&prefix, &mut revision).await?);
        }
        let revision = revision.unwrap_or_default();
        if Some(revision.era) < *self.shared.store_era.borrow() {
            return Err(StoreError::NotApplied("a listing of an earlier era".into()));
        }
        self.record_response();
        Ok(Listing {
            revision,
            confirmed_at: sent_at,
            items,
        })
    }

    /// Copies the confirmed state of a peer, unless this host knows a later one.
    async fn copy_from_peers(&mut self) -> Option<Listing> {
        let is_listed = self.shared.store_era.borrow().is_some();
        for peer in self.shared.peers.reachable_peers(MAX_FALLBACK_PEERS) {
            let Some(listing) = store_copy::copy_from(&self.shared, &peer).await else {
                continue;
            };
            if !is_listed || listing.revision >= self.revision() {
                self.shared.metrics.count("store_asks", "copied");
                log::info!(peer:% = peer, revision:% = listing.revision; "the store's state was copied from a peer");
                return Some(listing);
            }
        }
        None
    }

    /// Applies a complete listing.
    fn apply_listing(&mut self, listing: Listing) {
        let Listing {
            revision,
            confirmed_at,
            items,
        } = listing;
        let source = self.begin_era(revision.era);
        let is_of = |item: &Item, prefix: &str| item.key.starts_with(prefix);
        let (engines, others): (Vec<&Item>, Vec<&Item>) = items
            .iter()
            .partition(|item| is_of(item, &self.keys.engine_prefix));
        let (hosts, others): (Vec<&Item>, Vec<&Item>) = others
            .into_iter()
            .partition(|item| is_of(item, &self.keys.host_prefix));
        let (evacuations, others): (Vec<&Item>, Vec<&Item>) = others
            .into_iter()
            .partition(|item| is_of(item, &self.keys.evacuation_prefix));
        for item in others {
            self.apply_put(item);
        }
        let zones = evacuations
            .iter()
            .filter_map(|item| self.evacuated_zone(&item.key));
        match source {
            ListSource::Latest => self.send_event(Event::Evacuation(Evacuation::Listed(zones.collect()))),
            // The copy may be older than an order. An order ends by the removal of its key, which was not seen.
            ListSource::Copy => {
                for zone in zones {
                    self.send_event(Event::Evacuation(Evacuation::Ordered(zone)));
                }
            }
        }
        let listed = engines
            .into_iter()
            .filter_map(|item| self.decode_engine(item))
            .collect();
        let keep_until = self.outage.keep_until(self.shared.now());
        self.send_event(Event::EnginesListed {
            listed,
            source,
            keep_until,
        });
        let hosts = hosts
            .into_iter()
            .filter_map(|item| self.decode_host(item))
            .collect();
        self.send_event(Event::HostsListed(hosts));
        lock(&self.shared.store_history).reset(revision, items);
        log::info!(revision:% = revision; "store listed");
        self.send_event(Event::Confirmed {
            sent_at: confirmed_at,
        });
    }

    /// Lists all items of a prefix, and lowers `revision` to that of the listing.
    ///
    /// Fails if the store was restored since the listing that `revision` is of.
    async fn list_all(
        &mut self,
        prefix: &str,
        revision: &mut Option<StoreRevision>,
    ) -> Result<Vec<Item>, StoreError> {
        let mut items: Vec<Item> = Vec::new();
        loop {
            let after = items.last().map(|item| item.key.clone()).unwrap_or_default();
            let page = self.store.list(prefix, &after).await?;
            let listed = *revision.get_or_insert(page.revision);
            if listed.era != page.revision.era {
                return Err(StoreError::Restored);
            }
            *revision = Some(listed.min(page.revision));
            items.extend(page.items);
            if !page.has_more {
                return Ok(items);
            }
        }
    }

    /// Polls the store followers of this host's zone, or watches the store directly if this host is
    /// one of them or none of them responds.
    async fn follow(&mut self, retry_delay: &mut Millis) -> Result<Never, StoreError> {
        loop {
            if self.poll_peers(PeerSet::StoreSources).await? {
                *retry_delay = MIN_RETRY_DELAY;
                let interval = self.shared.peers.store_sources().poll_interval();
                sleep(interval.to_duration()).await;
                continue;
            }
            let sent_at = self.shared.now();
            let revision = self.revision();
            match self.store.watch("", revision, WATCH_TIMEOUT).await {
                Ok((changes, current)) => {
                    *retry_delay = MIN_RETRY_DELAY;
                    self.record_response();
                    for change in changes {
                        self.apply_change(change.revision(), change);
                    }
                    self.confirm(current, sent_at);
                    sleep(self.batch_delay().to_duration()).await;
                }
                Err(e @ (StoreError::HistoryGone | StoreError::Restored)) => return Err(e),
                Err(e) => {
                    self.record_failure(&e);
                    // The store may be unavailable to this host only.
                    self.poll_peers(PeerSet::AnyReachable).await?;
                    let polls_in_tree = self.shared.peers.store_sources().polls_in_tree();
                    let delay = if polls_in_tree {
                        MAX_BATCH_DELAY
                    } else {
                        *retry_delay
                    };
                    sleep(delay.to_duration()).await;
                    *retry_delay = retry_delay.times(2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    /// Polls peers in turn; returns whether one of them sent all changes that it knows.
    ///
    /// Fails if one of them knows a later era of the store.
    async fn poll_peers(&mut self, peer_set: PeerSet) -> Result<bool, StoreError> {
        let peers = match peer_set {
            PeerSet::StoreSources => self.shared.peers.store_sources().hosts,
            PeerSet::AnyReachable => self.shared.peers.reachable_peers(MAX_FALLBACK_PEERS),
        };
        for peer in peers {
            while let Some(result) = self.poll_peer(&peer, peer_set).await {
                match result {
                    PollResult::Complete => return Ok(true),
                    PollResult::Partial => {}
                    PollResult::Unavailable => break,
                    PollResult::LaterEra => return Err(StoreError::Restored),
                }
            }
        }
        Ok(false)
    }

    async fn poll_peer(&mut self, peer: &HostId, peer_set: PeerSet) -> Option<PollResult> {
        let requested_at = self.shared.now();
        let after = self.revision();
        let message = |request_id| PeerMessage::ChangesRequest {
            host: self.shared.settings.host.clone(),
            request_id,
            after,
        };
        let response = self
            .shared
            .peers
            .request(peer, updates::REQUEST_TIMEOUT, updates::REQUEST_ATTEMPTS, message)
            .await;
        let batch = match response {
            Some(PeerResponse::Changes(batch)) => batch,
            Some(PeerResponse::OtherEra(era)) if era > after.era => {
                self.shared.metrics.count("store_asks", "later-era");
                log::info!(peer:% = peer, era:% = era, known:% = after; "a peer knows a later era of the store");
                return Some(PollResult::LaterEra);
            }
            Some(PeerResponse::OtherEra(_)) => None,
            _ => {
                self.shared.metrics.count("store_asks", "unanswered");
                return None;
            }
        };
        let Some(batch) = batch else {
            self.shared.metrics.count("store_asks", "not-known");
            return Some(PollResult::Unavailable);
        };
        self.shared.metrics.count("store_asks", "answered");
        let result = if batch.is_complete {
            PollResult::Complete
        } else {
            PollResult::Partial
        };
        if peer_set == PeerSet::StoreSources {
            let now = self.shared.now();
            let keep_until = (batch.removal_grace > Millis::ZERO).then_some(now + batch.removal_grace);
            let recovered = self.outage.on_peer_update(now, keep_until);
            self.record_recovery(recovered);
        }
        // After an item that cannot be read, the next poll requests it and the later changes again.
        match self.apply_batch(requested_at, peer, after.era, batch).await {
            Ok(()) => Some(result),
            Err(e) => {
                self.record_failure(&e);
                Some(PollResult::Unavailable)
            }
        }
    }

    async fn apply_batch(
        &mut self,
        requested_at: Millis,
        peer: &HostId,
        era: StoreEra,
        batch: StoreChanges,
    ) -> Result<(), StoreError> {
        for change in batch.changes {
            let revision = StoreRevision::new(era, change.revision);
            let change = match updates::from_wire(era, change) {
                PeerChange::Full(change) => Some(change),
                PeerChange::Large(key) => self.read_item(peer, &key, revision).await?.map(Change::Put),
            };
            // If the item no longer exists, a later change reports its removal.
            if let Some(change) = change {
                self.apply_change(revision, change);
            }
        }
        let end = StoreRevision::new(era, batch.end_revision);
        if batch.is_complete {
            self.confirm(end, requested_at - batch.age);
        } else {
            lock(&self.shared.store_history).changes.advance(end);
        }
        Ok(())
    }

    /// Reads an item from the store, or from a peer if the call to the store fails; in a tree, from the peer first.
    async fn read_item(
        &mut self,
        peer: &HostId,
        key: &CompactString,
        revision: StoreRevision,
    ) -> Result<Option<Item>, StoreError> {
        if self.shared.peers.store_sources().polls_in_tree()
            && let Some(item) =
                updates::fetch_item(&self.shared, peer, key, revision, MAX_PEER_VALUE_BYTES).await
        {
            self.shared.metrics.count("store_values", "from-peer");
            return Ok(Some(item));
        }
        self.shared.metrics.count("store_values", "from-store");
        match self.store.list(key, "").await {
            Ok(page) if page.revision.era != revision.era => Err(StoreError::Restored),
            Ok(page) => Ok(page.items.into_iter().find(|item| item.key == *key)),
            Err(e) => {
                match updates::fetch_item(&self.shared, peer, key, revision, updates::MAX_ITEM_BYTES).await {
                    Some(item) => Ok(Some(item)),
                    None => Err(e),
                }
            }
        }
    }

    /// Returns the revision up to which this host knows all changes.
    fn revision(&self) -> StoreRevision {
        lock(&self.shared.store_history).changes.end()
    }

    /// Records that all changes up to `revision` are known, and that it was the newest revision at
    /// `sent_at`.
    fn confirm(&self, revision: StoreRevision, sent_at: Millis) {
        let mut history = lock(&self.shared.store_history);
        history.changes.advance(revision);
        history.keep_until = self.outage.keep_until(self.shared.now());
        drop(history);
        self.send_event(Event::Confirmed { sent_at });
    }

    /// Begins the era of a listing, if it is later than the known one; returns what the listing is based on.
    ///
    /// Entries that the copy lacks are written again soon, like those that expired during an outage.
    fn begin_era(&mut self, era: StoreEra) -> ListSource {
        let known = *self.shared.store_era.borrow();
        if known == Some(era) {
            return ListSource::Latest;
        }
        self.shared.store_era.send_replace(Some(era));
        let Some(known) = known else {
            return ListSource::Latest;
        };
        self.shared.metrics.count("store_eras", "begun");
        log::warn!(era:% = era, known:% = known; "the store was restored from a copy");
        self.outage.on_restored(self.shared.now());
        self.send_event(Event::StoreRestored);
        ListSource::Copy
    }

    fn batch_delay(&self) -> Millis {
        if self.shared.peers.store_sources().polls_in_tree() {
            return MAX_BATCH_DELAY;
        }
        let hosts = self.shared.store_followers.load(Ordering::Relaxed);
        let time = BATCH_DELAY + BATCH_DELAY_PER_FOLLOWER.times(u64::from(hosts));
        time.min(MAX_BATCH_DELAY)
    }

    /// Applies a change and records it under `revision` in the history for peers.
    fn apply_change(&self, revision: StoreRevision, change: Change) {
        match &change {
            Change::Put(item) => self.apply_put(item),
            Change::Removed { key, .. } => self.apply_removal(key),
        }
        lock(&self.shared.store_history).push(revision, change);
    }

    fn send_event(&self, event: Event) {
        if let Err(e) = self.control.tell(event).try_send() {
            log::error!("the control state has ended: {e}");
        }
    }

    fn record_response(&mut self) {
        let recovered = self.outage.on_success(self.shared.now());
        self.record_recovery(recovered);
    }

    fn record_recovery(&self, recovered: bool) {
        if recovered {
            lock(&self.shared.reachability).is_store_unavailable = false;
            log::info!(dependency = "store"; "dependency regained");
        }
    }

    fn record_failure(&mut self, e: &StoreError) {
        log::debug!("a call to the store failed: {e}");
        let now = self.shared.now();
        if self.outage.on_failure(now) {
            lock(&self.shared.reachability).is_store_unavailable = true;
            let idle_time = self.outage.idle_time(now);
            log::warn!(dependency = "store", silent_ms = idle_time.0, error:% = e; "dependency lost");
        }
    }
}
