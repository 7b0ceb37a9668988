//! The parts common to all processes of a host: membership, peer events and the state dump.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_membership::{Action, Event, Membership, MembershipConfig, MembershipDump};
use carawayseam_types::{Clock, HostId, Incarnation, Millis};
use carawayseam_wire::{Datagram, Head, Item, Peer, PeerRole, Record, RecordKey, WireError};
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

use crate::logging::LogRevision;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::sockets::{receive, send};
use crate::streams::pull_record;

/// The context of a host's process, held by its control state.
#[derive(Debug, Clone)]
pub struct HostProcess {
    /// The process's settings.
    pub settings: Arc<Settings>,
    /// The clock.
    pub clock: Clock,
    /// The incarnation of the process, which distinguishes it from earlier runs.
    pub incarnation: Incarnation,
    /// The address at which peers reach the process.
    pub address: SocketAddr,
    /// The socket for heartbeats and gossip updates.
    pub datagrams: Arc<UdpSocket>,
    /// The metrics client.
    pub metrics: Metrics,
    /// The revision included in log lines.
    pub log_revision: LogRevision,
}

/// An event from a peer, for the control state.
#[derive(Debug)]
pub enum PeerEvent {
    /// A datagram, or the error of decoding it.
    Datagram(SocketAddr, Result<Box<Datagram>, WireError>),
    /// A record that was pulled from a peer or read from the store.
    Record(Record),
    /// The heads known to a peer.
    Heads(SocketAddr, Vec<Head>),
    /// A record that could not be pulled from a peer.
    PullFailed(SocketAddr, RecordKey),
}

/// A membership action that the control state carries out.
#[derive(Debug)]
pub enum PeerAction {
    /// Pull a record from a peer.
    Pull(SocketAddr, RecordKey),
    /// Apply a record.
    Apply(Record),
    /// Use the changed list of live peers.
    Peers(Vec<Peer>),
    /// Handle a value published by a peer.
    Deliver(Item),
}

/// A membership query of a peer or an operator to the control state.
#[derive(Debug)]
pub enum PeerQuery {
    /// Requests all heads.
    Heads(oneshot::Sender<Vec<Head>>),
    /// Requests one record.
    Record(RecordKey, oneshot::Sender<Option<Record>>),
}

impl PeerQuery {
    /// Sends the response; a closed channel means that the requester has gone and is ignored.
    pub fn answer(self, membership: &Membership) {
        match self {
            Self::Heads(tx) => drop(tx.send(membership.heads())),
            Self::Record(key, tx) => drop(tx.send(membership.record(&key).cloned())),
        }
    }
}

/// A dump of a process's state.
#[derive(Debug, Serialize)]
pub struct StateDump<E> {
    /// `entry` or `control`.
    pub process: &'static str,
    /// The host.
    pub host: HostId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The time of the dump.
    pub now: Millis,
    /// The membership state: peers and records.
    pub membership: MembershipDump,
    /// The state of each environment.
    pub environments: Vec<E>,
}

impl HostProcess {
    /// Returns the initial membership of the process.
    #[must_use]
    pub fn membership(&self, role: PeerRole) -> Membership {
        let config = MembershipConfig::new(
            self.settings.host.clone(),
            role,
            self.settings.zone.clone(),
            self.address,
            self.incarnation,
        );
        let seeds = self.settings.seeds.clone();
        Membership::new(config.seeds(seeds).seed(self.incarnation.0))
    }

    /// Converts a peer event to a membership event; returns `None` for a datagram that could not be decoded.
    #[must_use]
    pub fn membership_event(&self, peer_event: PeerEvent) -> Option<Event> {
        match peer_event {
            PeerEvent::Datagram(from, Ok(datagram)) => Some(Event::Datagram {
                from,
                datagram: *datagram,
            }),
            PeerEvent::Datagram(from, Err(e)) => {
                self.metrics.count("datagrams.refused");
                log::warn!(from:% = from; "datagram refused: {e}");
                None
            }
            PeerEvent::Record(record) => Some(Event::Record(record)),
            PeerEvent::Heads(from, heads) => Some(Event::Heads { from, heads }),
            PeerEvent::PullFailed(from, key) => Some(Event::PullFailed { from, key }),
        }
    }

    /// Executes an action that needs no other state, or returns it as one for the control state.
    #[must_use]
    pub fn execute(&self, action: Action) -> Option<PeerAction> {
        match action {
            Action::Send { to, datagram } => {
                send(&self.datagrams, to, &datagram);
                None
            }
            Action::Refuse(refused) => {
                self.metrics.count("news.refused");
                log::warn!("gossip update refused: {refused}");
                None
            }
            Action::Pull { from, key } => Some(PeerAction::Pull(from, key)),
            Action::Apply(record) => Some(PeerAction::Apply(record)),
            Action::Peers(peers) => Some(PeerAction::Peers(peers)),
            Action::Deliver(item) => Some(PeerAction::Deliver(item)),
        }
    }

    /// Spawns the tasks that send a tick each `period` and all received datagrams to the control state.
    ///
    /// The ticks end once `deliver` returns `false`, which means that the control state has stopped.
    pub fn spawn_event_sources<N: 'static>(
        &self,
        period: Millis,
        deliver: impl Fn(N) -> bool + Clone + Send + Sync + 'static,
        tick: fn() -> N,
        peer_event: fn(PeerEvent) -> N,
    ) {
        let deliver_tick = deliver.clone();
        tokio::spawn(run_ticker(period, move || deliver_tick(tick())));
        let datagrams = Arc::clone(&self.datagrams);
        tokio::spawn(async move {
            receive(&datagrams, |from, datagram| {
                // After the control state has stopped, datagrams are discarded until the process exits.
                let _delivered = deliver(peer_event(PeerEvent::Datagram(from, datagram.map(Box::new))));
            })
            .await;
        });
    }

    /// Returns the state dump of the process.
    #[must_use]
    pub fn dump<E>(
        &self,
        process: &'static str,
        membership: &Membership,
        environments: Vec<E>,
    ) -> StateDump<E> {
        StateDump {
            process,
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            now: self.clock.now(),
            membership: membership.dump(),
            environments,
        }
    }
}

/// Pulls a record from a peer and returns the resulting event.
pub async fn pull_from_peer(from: SocketAddr, key: RecordKey) -> PeerEvent {
    match pull_record(from, key.clone()).await {
        Some(record) => PeerEvent::Record(record),
        None => PeerEvent::PullFailed(from, key),
    }
}

/// Returns the document in a record; `None` if this process is too old to parse it.
#[must_use]
pub fn document_from_record(record: &Record) -> Option<Arc<Document>> {
    let RecordKey::Configuration(environment) = &record.head.key else {
        return None;
    };
    let file = format!("{environment}@{}", record.head.revision);
    match Document::from_yaml(&file, &record.body) {
        Ok(document) => Some(Arc::new(document)),
        // The document was validated before promotion, so this process is an older version.
        Err(e) => {
            log::error!("document not put in force: {e}");
            None
        }
    }
}

/// Calls `deliver` once each `period` until it returns `false`.
async fn run_ticker(period: Millis, deliver: impl Fn() -> bool) {
    let mut ticks = interval(period.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while deliver() {
        ticks.tick().await;
    }
}

/// Returns the exit code of a process, and prints the error if it failed.
#[must_use]
pub fn exit_code<E: std::fmt::Display>(program: &str, outcome: Result<(), E>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{program}: {e:#}");
            ExitCode::FAILURE
        }
    }
}
