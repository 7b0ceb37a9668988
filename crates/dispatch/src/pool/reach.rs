//! Backends of which this host reaches no server directly.
//!
//! A partition cuts a host from many servers at a time. Once several servers are lost and none responds, the
//! others count as lost too, so that requests do not wait for a connection timeout at each of them.

use std::net::SocketAddr;

use carawayseam_types::{EngineId, EngineKey, Millis};

use super::Pool;
use crate::engine::Engine;
use crate::reach::{PROBE_INTERVAL, ReachKind};

/// Time within which servers have to be lost for the whole backend to count as lost.
const LOSS_WINDOW: Millis = Millis::from_secs(1);
/// Number of servers that have to be lost within `LOSS_WINDOW`.
const MIN_LOSSES: usize = 3;
/// Time without a response from any server of the backend after which it may count as lost.
const SILENCE: Millis = Millis(500);
/// Number of servers of a lost backend that are probed at a time.
const PROBE_SAMPLE: usize = 4;
/// Delay of the first probe of servers that were lost before the backend was.
const LATER_PROBE_DELAY: Millis = Millis(175);
/// Time for which more peers are asked, from the loss of the backend or of its last relay.
const URGENT_SPAN: Millis = Millis::from_secs(5);

/// Whether this host reaches any server of one backend.
#[derive(Debug, Default)]
pub(crate) struct BackendReach {
    /// Time of the last response or event that a server sent directly to this host.
    responded_at: Option<Millis>,
    /// Servers that were lost lately, each with the time.
    losses: Vec<(EngineKey, Millis)>,
    lost: Option<LostBackend>,
    reported: Option<ReachKind>,
}

/// A backend of which no server is reached directly.
#[derive(Debug)]
struct LostBackend {
    next_probe_at: Millis,
    is_probed: bool,
    urgent_until: Millis,
}

impl Pool {
    /// Returns whether the whole backend counts as lost.
    pub(crate) const fn is_lost(&self) -> bool {
        self.reach.lost.is_some()
    }

    /// Returns whether no server can be sent requests, directly or through a peer, though some are listed.
    pub(crate) fn reaches_none(&self, now: Millis) -> bool {
        let mut listed = self.listed().peekable();
        listed.peek().is_some() && listed.all(|engine| !engine.reach.is_usable(now))
    }

    /// Returns whether peers have to be found that reach servers of this backend.
    pub(crate) fn is_relay_search_urgent(&self, now: Millis) -> bool {
        let lost = self.reach.lost.as_ref();
        lost.is_some_and(|lost| now < lost.urgent_until) && self.reaches_none(now)
    }

    /// Records a response or an event that a server sent directly to this host.
    pub(crate) const fn record_response(&mut self, now: Millis) {
        self.reach.responded_at = Some(now);
    }

    /// Records that a server was lost.
    pub(crate) fn record_loss(&mut self, now: Millis, engine: EngineKey) {
        self.reach.losses.retain(|(lost, _)| *lost != engine);
        self.reach.losses.push((engine, now));
        self.update_reach(now);
    }

    /// Records that a connection to a server was established.
    ///
    /// If the backend was lost, all its other servers are due for a probe.
    pub(crate) fn mark_reachable(&mut self, now: Millis, engine: &EngineId) {
        let Some(engine) = self.engine_mut(engine) else {
            return;
        };
        engine.mark_reachable();
        self.record_response(now);
        if self.reach.lost.take().is_some() {
            self.reach.losses.clear();
            for engine in &mut self.engines {
                engine.reach.schedule_probe(now);
            }
        }
    }

    /// Decides whether the whole backend counts as lost.
    pub(crate) fn update_reach(&mut self, now: Millis) {
        self.reach.losses.retain(|(_, at)| now.since(*at) < LOSS_WINDOW);
        let has_servers = self.listed().next().is_some();
        let has_direct = self.listed().any(|engine| engine.reach.is_direct());
        let has_relay = !self.reaches_none(now);
        let seems_lost = !has_direct || self.seems_lost(now);
        match &mut self.reach.lost {
            Some(_) if !has_servers || has_direct => self.reach.lost = None,
            Some(lost) if has_relay => lost.urgent_until = now + URGENT_SPAN,
            None if has_servers && seems_lost => self.lose_all(now),
            _ => {}
        }
    }

    /// Returns whether several servers were lost lately and none responds.
    fn seems_lost(&self, now: Millis) -> bool {
        let is_silent = self.reach.responded_at.is_none_or(|at| now.since(at) >= SILENCE);
        is_silent && self.reach.losses.len() >= MIN_LOSSES
    }

    fn lose_all(&mut self, now: Millis) {
        let losses = &self.reach.losses;
        let is_confirmed = self
            .engines
            .iter()
            .any(|engine| engine.reach.needs_relays() && losses.iter().any(|(lost, _)| *lost == engine.key));
        let has_direct = self.listed().any(|engine| engine.reach.is_direct());
        for engine in &mut self.engines {
            if has_direct {
                // The servers that were reached until now are probed first.
                engine.reach.schedule_probe(now + LATER_PROBE_DELAY);
            }
            if engine.reach.is_direct() {
                engine.reach.lose(now, is_confirmed);
            }
        }
        self.reach.lost = Some(LostBackend {
            next_probe_at: now,
            is_probed: false,
            urgent_until: now + URGENT_SPAN,
        });
    }

    /// Returns the lost servers that are due for a connection attempt; of a lost backend only a sample, those
    /// first that were not probed for longest.
    pub(crate) fn take_probes(&mut self, now: Millis) -> Vec<(EngineId, SocketAddr)> {
        let limit = match &mut self.reach.lost {
            Some(lost) if now < lost.next_probe_at => return Vec::new(),
            Some(lost) => {
                lost.next_probe_at = now + PROBE_INTERVAL;
                if std::mem::replace(&mut lost.is_probed, true) {
                    // The probes before these failed.
                    for engine in &mut self.engines {
                        engine.reach.lose(now, true);
                    }
                }
                PROBE_SAMPLE
            }
            None => usize::MAX,
        };
        let engines = self.engines.iter_mut();
        let mut due: Vec<&mut Engine> = engines.filter(|engine| !engine.is_out_of_service()).collect();
        due.sort_by_key(|engine| engine.reach.probe_at());
        let due = due.into_iter().filter_map(|engine| {
            let is_due = engine.reach.take_probe(now);
            is_due.then(|| (engine.entry.id.clone(), engine.entry.address))
        });
        due.take(limit).collect()
    }

    /// Returns how the backend is reached, and the number of servers that are lost, reached through peers or
    /// reached again, if that has changed since the last call.
    pub(crate) fn take_reach_change(&mut self, now: Millis) -> Option<(ReachKind, usize)> {
        let count = |is_counted: &dyn Fn(&Engine) -> bool| {
            let counted = self.listed().filter(|engine| is_counted(engine));
            counted.count()
        };
        let relayed = count(&|engine| engine.reach.is_usable(now));
        let kind = match self.is_lost() {
            true if relayed > 0 => Some(ReachKind::Relayed),
            true => Some(ReachKind::Lost),
            false => None,
        };
        if kind == self.reach.reported {
            return None;
        }
        let servers = match kind {
            Some(ReachKind::Lost) => count(&|_| true),
            Some(ReachKind::Relayed) => relayed,
            Some(ReachKind::Regained) | None => count(&|engine| engine.reach.is_direct()),
        };
        self.reach.reported = kind;
        Some((kind.unwrap_or(ReachKind::Regained), servers))
    }

    /// Returns the servers that accept requests if they are reached.
    fn listed(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().filter(|engine| !engine.is_out_of_service())
    }
}
