//! What the store, peers and the platform tell.

use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_external::kv::{Entry, Range};
use carawayseam_lease::PlanEvent;
use carawayseam_membership::{Event as MembershipEvent, WatchEvent, watchers};
use carawayseam_node::{
    CurrentDocument, current_document_key, document_from_record, record_from_entry, rollouts_prefix,
};
use carawayseam_rollout::{DriverEvent, Evidence, RolloutRecord};
use carawayseam_types::{BackendName, EnvironmentId, Millis, Revision, RolloutId};
use carawayseam_wire::{Item, Peer, Record, RecordKey, Topic, decode};

use super::actor::{ControlState, Step};
use crate::watch::prefix_of;

/// Control processes of a zone that watch the store; two, so that one may fail.
const WATCHERS_PER_ZONE: usize = 2;
/// Control processes that stand for an environment's lease.
const LEASE_CANDIDATES: usize = 3;
/// Without word of a holder for so long, every control process stands.
const UNHELD_AFTER: Millis = Millis::from_secs(15);
/// How often a holder tells the entry hosts that it is there.
const HELD_PERIOD: Millis = Millis(1_000);

impl ControlState {
    /// Watches the store if this process is among its zone's watchers or holds the lease.
    pub(super) fn watch_as_needed(&mut self, index: usize) {
        let zone = &self.process.settings.zone;
        let near: Vec<&Peer> = self.peers.iter().filter(|peer| peer.zone == *zone).collect();
        let env = &self.environments[index];
        let chosen = watchers(&near, &prefix_of(&env.name), WATCHERS_PER_ZONE);
        let is_chosen = near.is_empty() || chosen.iter().any(|peer| peer.host == self.process.settings.host);
        let is_needed = is_chosen || env.is_holder;
        match &env.watch {
            None if is_needed => self.open_watch(index, 0),
            Some(_) if !is_needed => self.environments[index].watch = None,
            _ => {}
        }
    }

    /// Whether this process stands for an environment's lease, or holds it.
    ///
    /// A few hosts are enough, and spare the store's budget. If nobody has
    /// been heard to hold it for long, the few may be cut off, so all stand.
    pub(super) fn may_stand(&self, now: Millis, index: usize) -> bool {
        let env = &self.environments[index];
        let live: Vec<&Peer> = self.peers.iter().collect();
        let key = format!("control/{}", env.name);
        let chosen = watchers(&live, &key, LEASE_CANDIDATES);
        let is_chosen = live.is_empty() || chosen.iter().any(|peer| peer.host == self.process.settings.host);
        let is_unheld = now.since(env.heard_holder_at) >= UNHELD_AFTER;
        env.is_holder || is_chosen || is_unheld
    }

    /// Takes what a watch, or the reading before it, brought.
    pub(super) fn watched(&mut self, environment: &EnvironmentId, range: &Range) {
        let Some(index) = self.index_of(environment) else {
            return;
        };
        self.environments[index].has_read_all = true;
        self.steps.push_back(Step::Guard(
            index,
            WatchEvent::Responded {
                revision: range.revision,
            },
        ));
        for entry in &range.entries {
            self.take_entry(index, entry);
        }
    }

    /// Takes one entry of the environment's keys.
    pub(super) fn take_entry(&mut self, index: usize, entry: &Entry) {
        let environment = self.environments[index].name.clone();
        match record_from_entry(&environment, entry) {
            Ok(Some(record)) => {
                self.note_stored(index, &environment, entry);
                self.push_membership(MembershipEvent::Record(record));
            }
            Ok(None) => self.take_request(index, &environment, entry),
            Err(e) => log::error!("an entry of the store is ignored: {e}"),
        }
    }

    /// Keeps what only the store tells: its own revision of a move, the time of a promotion.
    fn note_stored(&mut self, index: usize, environment: &EnvironmentId, entry: &Entry) {
        if entry.key == current_document_key(environment) {
            if let Ok(current) = serde_json::from_str::<CurrentDocument>(&entry.value) {
                self.environments[index].promoted_at = Some((current.revision, current.promoted_at));
            }
            return;
        }
        let backend = entry
            .key
            .strip_prefix(&rollouts_prefix(environment))
            .and_then(|name| name.parse().ok());
        let record = serde_json::from_str::<RolloutRecord>(&entry.value).ok();
        if let (Some(backend), Some(record)) = (backend, record) {
            self.stored_move(index, &backend, entry.revision, record);
        }
    }

    /// Takes an operator's wish to take a move back.
    fn take_request(&mut self, index: usize, environment: &EnvironmentId, entry: &Entry) {
        let prefix = format!("environments/{environment}/take-back/");
        let Some(name) = entry.key.strip_prefix(&prefix) else {
            return;
        };
        let Ok(move_id) = name.parse::<RolloutId>() else {
            return;
        };
        let env = &mut self.environments[index];
        if !env.take_backs.contains(&move_id) {
            log::info!(move_id:% = move_id; "an operator takes the move back");
            env.take_backs.push(move_id.clone());
        }
        let concerned: Vec<BackendName> = env
            .drivers
            .iter()
            .filter(|(_, driver)| driver.record().spec.name == move_id)
            .map(|(backend, _)| backend.clone())
            .collect();
        for backend in concerned {
            self.drive(index, &backend, DriverEvent::TakeBack);
        }
    }

    pub(super) fn put_in_force(&mut self, record: &Record) {
        match &record.head.key {
            RecordKey::Configuration(environment) => {
                let Some(index) = self.index_of(environment) else {
                    return;
                };
                if let Some(document) = document_from_record(record) {
                    self.configure(index, record.head.revision, document);
                }
            }
            RecordKey::Rollout(..) => self.tell_move(record),
        }
    }

    fn configure(&mut self, index: usize, revision: Revision, document: Arc<Document>) {
        let env = &mut self.environments[index];
        log::info!(environment:% = env.name, revision:% = revision; "document in force");
        env.document = Some(Arc::clone(&document));
        env.revision = Some(revision);
        self.process.log_revision.set(revision);
        self.steps
            .push_back(Step::Plan(index, PlanEvent::Document(document)));
    }

    pub(super) fn take_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
        let hosts = self.entry_hosts();
        for index in 0..self.environments.len() {
            self.drive_all(index, &DriverEvent::Hosts(hosts.clone()));
        }
    }

    pub(super) fn take_item(&mut self, now: Millis, item: &Item) {
        match item.key.topic {
            Topic::Evidence => {
                let Ok(evidence) = decode::<Evidence>(&item.payload) else {
                    return;
                };
                let Some(index) = self.index_of(&evidence.environment) else {
                    return;
                };
                let backend = evidence.backend.clone();
                self.drive(index, &backend, DriverEvent::Evidence(evidence));
            }
            Topic::Confirmed => self.take_confirmed(item),
            Topic::Holder => self.take_holder(now, item),
            _ => {}
        }
    }

    fn take_holder(&mut self, now: Millis, item: &Item) {
        let environment = item.key.name.parse::<EnvironmentId>().ok();
        if let Some(index) = environment.and_then(|name| self.index_of(&name)) {
            self.environments[index].heard_holder_at = now;
        }
    }

    fn take_confirmed(&mut self, item: &Item) {
        let Ok(revision) = decode::<Revision>(&item.payload) else {
            return;
        };
        let Some((environment, backend)) = item.key.name.split_once('/') else {
            return;
        };
        let (Ok(environment), Ok(backend)) = (
            environment.parse::<EnvironmentId>(),
            backend.parse::<BackendName>(),
        ) else {
            return;
        };
        let host = item.key.host.clone();
        let Some(index) = self.index_of(&environment) else {
            return;
        };
        self.drive(index, &backend, DriverEvent::Confirmed { host, revision });
    }

    /// Tells the entry hosts that the holder is there, while its lease holds.
    pub(super) fn say_held(&mut self, now: Millis, index: usize) {
        let env = &mut self.environments[index];
        let is_due = now.since(env.said_held_at) >= HELD_PERIOD;
        if !env.is_holder || !is_due || env.lease.permit(&self.process.clock).is_err() {
            return;
        }
        env.said_held_at = now;
        let name = env.name.to_string();
        self.publish(Topic::Holder, name, &now);
    }
}
