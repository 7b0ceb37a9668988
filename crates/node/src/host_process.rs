//! What each process of a host has: its place among the peers, and the state it shows.

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

/// A process of a host, as its control state knows it.
#[derive(Debug, Clone)]
pub struct HostProcess {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// The time.
    pub clock: Clock,
    /// Its life, which peers tell from earlier ones.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// The socket for heartbeats and news.
    pub datagrams: Arc<UdpSocket>,
    /// Its counters.
    pub metrics: Metrics,
    /// The revision that its log lines name.
    pub log_revision: LogRevision,
}

/// What came from a peer, for the control state.
#[derive(Debug)]
pub enum PeerEvent {
    /// A datagram, or why it could not be read.
    Datagram(SocketAddr, Result<Box<Datagram>, WireError>),
    /// A record, pulled or read from the store.
    Record(Record),
    /// The heads that a peer has.
    Heads(SocketAddr, Vec<Head>),
    /// A record that a peer did not give.
    PullFailed(SocketAddr, RecordKey),
}

/// What the membership leaves to the control state.
#[derive(Debug)]
pub enum PeerAction {
    /// Pull a record from a peer.
    Pull(SocketAddr, RecordKey),
    /// Put a record in force.
    Apply(Record),
    /// The live peers changed.
    Peers(Vec<Peer>),
    /// Take a peer's value.
    Deliver(Item),
}

/// What a peer or an operator asks the control state about its membership.
#[derive(Debug)]
pub enum PeerQuery {
    /// All heads.
    Heads(oneshot::Sender<Vec<Head>>),
    /// One record.
    Record(RecordKey, oneshot::Sender<Option<Record>>),
}

impl PeerQuery {
    /// Answers; a receiver that is gone no longer wants its answer.
    pub fn answer(self, membership: &Membership) {
        match self {
            Self::Heads(tx) => drop(tx.send(membership.heads())),
            Self::Record(key, tx) => drop(tx.send(membership.record(&key).cloned())),
        }
    }
}

/// The state of a process, for the state dump.
#[derive(Debug, Serialize)]
pub struct StateDump<E> {
    /// `entry` or `control`.
    pub process: &'static str,
    /// The host.
    pub host: HostId,
    /// The process's life.
    pub incarnation: Incarnation,
    /// The time of the dump.
    pub now: Millis,
    /// Peers and records.
    pub membership: MembershipDump,
    /// Each environment.
    pub environments: Vec<E>,
}

impl HostProcess {
    /// The membership that the process begins with.
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

    /// The event that a peer's news is to the membership; none if it could not be read.
    #[must_use]
    pub fn event(&self, news: PeerEvent) -> Option<Event> {
        match news {
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

    /// Carries out an action of the membership as far as no other state is needed.
    #[must_use]
    pub fn execute(&self, action: Action) -> Option<PeerAction> {
        match action {
            Action::Send { to, datagram } => {
                send(&self.datagrams, to, &datagram);
                None
            }
            Action::Refuse(refused) => {
                self.metrics.count("news.refused");
                log::warn!("refused: {refused}");
                None
            }
            Action::Pull { from, key } => Some(PeerAction::Pull(from, key)),
            Action::Apply(record) => Some(PeerAction::Apply(record)),
            Action::Peers(peers) => Some(PeerAction::Peers(peers)),
            Action::Deliver(item) => Some(PeerAction::Deliver(item)),
        }
    }

    /// Starts to tell the control state the time, each `period`, and what datagrams bring.
    ///
    /// The ticks end once `tell` says that nobody listens.
    pub fn spawn_event_sources<N: 'static>(
        &self,
        period: Millis,
        tell: impl Fn(N) -> bool + Clone + Send + Sync + 'static,
        tick: fn() -> N,
        news: fn(PeerEvent) -> N,
    ) {
        let ticking = tell.clone();
        tokio::spawn(each(period, move || ticking(tick())));
        let datagrams = Arc::clone(&self.datagrams);
        tokio::spawn(async move {
            receive(&datagrams, |from, datagram| {
                // The process goes on to its end without the control state.
                let _taken = tell(news(PeerEvent::Datagram(from, datagram.map(Box::new))));
            })
            .await;
        });
    }

    /// The state dump of the process.
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

/// Pulls a record from a peer.
pub async fn pull(from: SocketAddr, key: RecordKey) -> PeerEvent {
    match pull_record(from, key.clone()).await {
        Some(record) => PeerEvent::Record(record),
        None => PeerEvent::PullFailed(from, key),
    }
}

/// The document in a record, unless this process is too old to read it.
#[must_use]
pub fn document_from_record(record: &Record) -> Option<Arc<Document>> {
    let RecordKey::Configuration(environment) = &record.head.key else {
        return None;
    };
    let file = format!("{environment}@{}", record.head.revision);
    match Document::from_yaml(&file, &record.body) {
        Ok(document) => Some(Arc::new(document)),
        // It was checked before promotion, so this process is older than the document.
        Err(e) => {
            log::error!("document not put in force: {e}");
            None
        }
    }
}

/// Calls `tell` once each `period` until it says that nobody listens.
async fn each(period: Millis, tell: impl Fn() -> bool) {
    let mut ticks = interval(period.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while tell() {
        ticks.tick().await;
    }
}

/// The exit code of a process; prints why it could not run.
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
