//! Whether this host's own link or processor is overloaded, so that a slow or failed connection says nothing about the
//! other side.
//!
//! It is measured by the delay of the process's own timers, and by the time that connections to backend servers and
//! requests to peers take. A partition makes some targets fail, or all servers and no peers; an overloaded link makes
//! nearly all targets of both kinds slow at once.

use std::collections::{BTreeMap, VecDeque};

use carawayseam_types::{EngineId, HostId, Millis};

/// How long a measurement counts.
const WINDOW: Millis = Millis(1_000);
/// Timers that are late by this much take a considerable part of the 250 ms for a connection.
const LATE_TIMER: Millis = Millis(100);
/// A connection that takes longer is slow: availability zones are a few milliseconds apart.
const SLOW_CONNECTION: Millis = Millis(100);
/// Fewer targets than this may be slow for reasons of their own.
const MIN_TARGETS: usize = 4;
/// The share of slow targets, in eighths, from which the cause is this host: a partition of a zone leaves those of the
/// own zone, which is a fifth of the targets or more with up to five zones.
const SLOW_EIGHTHS: usize = 7;
/// Bounds what is added to a connect timeout.
const MAX_EXTRA_TIME: Millis = Millis(1_000);

/// How an attempt to reach a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reached {
    /// It answered, or refused, after this time.
    After(Millis),
    /// It did not answer within this time.
    NotWithin(Millis),
}

/// The latest attempt to reach each target.
#[derive(Debug)]
struct Targets<K>(BTreeMap<K, (Millis, Reached)>);

impl<K: Ord> Targets<K> {
    fn record(&mut self, now: Millis, target: K, reached: Reached) {
        self.0.retain(|_, (at, _)| now.since(*at) < WINDOW);
        self.0.insert(target, (now, reached));
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = Reached> {
        let recent = self.0.values().filter(move |(at, _)| now.since(*at) < WINDOW);
        recent.map(|(_, reached)| *reached)
    }

    /// Returns whether nearly all of at least [`MIN_TARGETS`] targets were slow.
    fn are_slow(&self, now: Millis) -> bool {
        let is_slow = |reached: &Reached| match reached {
            Reached::After(time) => *time >= SLOW_CONNECTION,
            Reached::NotWithin(_) => true,
        };
        let slow = self.recent(now).filter(is_slow).count();
        let all = self.recent(now).count();
        all >= MIN_TARGETS && slow * 8 >= all * SLOW_EIGHTHS
    }

    /// Returns the median time of the targets' latest attempts.
    fn typical_time(&self, now: Millis) -> Millis {
        let times = self.recent(now).map(|reached| match reached {
            Reached::After(time) | Reached::NotWithin(time) => time,
        });
        let mut times: Vec<Millis> = times.collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or_default()
    }
}

/// The measurements of the last second.
#[derive(Debug)]
pub struct LocalOverload {
    /// The delays of the process's own timers, with the times of measurement.
    timers: VecDeque<(Millis, Millis)>,
    servers: Targets<EngineId>,
    peers: Targets<HostId>,
}

impl Default for LocalOverload {
    fn default() -> Self {
        Self {
            timers: VecDeque::new(),
            servers: Targets(BTreeMap::new()),
            peers: Targets(BTreeMap::new()),
        }
    }
}

impl LocalOverload {
    /// Records by how much a timer of the process was late.
    pub fn record_timer(&mut self, now: Millis, delay: Millis) {
        self.timers.push_back((now, delay));
        while self
            .timers
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= WINDOW)
        {
            self.timers.pop_front();
        }
    }

    /// Records a direct attempt to connect to a backend server.
    pub fn record_server(&mut self, now: Millis, engine: EngineId, reached: Reached) {
        self.servers.record(now, engine, reached);
    }

    /// Records a request to a peer.
    pub fn record_peer(&mut self, now: Millis, peer: HostId, reached: Reached) {
        self.peers.record(now, peer, reached);
    }

    /// Returns the second longest delay of a timer: a single long one is a pause that is over.
    fn timer_delay(&self, now: Millis) -> Millis {
        let recent = self.timers.iter().filter(|(at, _)| now.since(*at) < WINDOW);
        let mut delays: Vec<Millis> = recent.map(|(_, delay)| *delay).collect();
        delays.sort_unstable();
        let second = delays.len().checked_sub(2);
        second.map_or(Millis::ZERO, |ix| delays[ix])
    }

    /// Returns whether this host is overloaded.
    #[must_use]
    pub fn is_overloaded(&self, now: Millis) -> bool {
        self.timer_delay(now) >= LATE_TIMER || (self.servers.are_slow(now) && self.peers.are_slow(now))
    }

    /// Returns by how much a connection may take longer than usual, by the measured delay; zero without overload.
    #[must_use]
    pub fn extra_time(&self, now: Millis) -> Millis {
        if !self.is_overloaded(now) {
            return Millis::ZERO;
        }
        let typical = self.servers.typical_time(now).max(self.timer_delay(now));
        typical.times(2).min(MAX_EXTRA_TIME)
    }
}
