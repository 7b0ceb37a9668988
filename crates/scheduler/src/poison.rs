//! Contents that crash engines, counted over all hosts.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use carawayseam_types::{Digest, EngineId, HostId, Millis};

use crate::index::EngineIx;

/// Crashes over all hosts at which a content is blocked.
pub(crate) const BLOCK_AT: u32 = 2;
/// The most contents remembered; the oldest are forgotten first.
const MAX_CONTENTS: usize = 4_096;

/// Connections to one engine that break within this time of each other broke by one crash.
const SAME_CRASH: Millis = Millis::from_secs(1);

/// A crash of an engine under a content.
#[derive(Debug)]
pub(crate) struct Crash {
    pub(crate) content: Digest,
    pub(crate) engine: EngineId,
    pub(crate) ix: EngineIx,
    pub(crate) at: Millis,
}

/// What is known of one content.
#[derive(Debug, Clone, Default)]
struct Record {
    /// Crashes of each engine by host, over the host's life; each is a maximum, so repeats do no harm.
    by_engine: BTreeMap<EngineId, BTreeMap<HostId, u32>>,
    /// The crash that this host counted last.
    last: Option<(EngineIx, Millis)>,
    /// Engines whose crashes are their own: the content was answered whole after it.
    cleared: BTreeSet<EngineId>,
    /// Engines that it crashed under this host.
    engines: Vec<EngineIx>,
    /// Whether an attempt with this content runs here.
    running: bool,
}

impl Record {
    /// Crashes over all engines; hosts that saw the same engine crash count it once.
    fn crashes(&self) -> u32 {
        let seen_most = |hosts: &BTreeMap<HostId, u32>| hosts.values().copied().max().unwrap_or(0);
        let blamed = self
            .by_engine
            .iter()
            .filter(|(engine, _)| !self.cleared.contains(*engine));
        blamed.map(|(_, hosts)| seen_most(hosts)).sum()
    }
}

/// How far a content may be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trust {
    /// It crashed nothing, as far as is known.
    Clean,
    /// It crashed one engine: it runs on one engine at a time.
    Suspect,
    /// It crashed engines twice and is blocked.
    Blocked,
}

/// Crashes by content.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    records: HashMap<Digest, Record>,
    order: VecDeque<Digest>,
}

impl Poison {
    pub(crate) fn trust(&self, content: Digest) -> Trust {
        match self.records.get(&content).map_or(0, Record::crashes) {
            0 => Trust::Clean,
            n if n < BLOCK_AT => Trust::Suspect,
            _ => Trust::Blocked,
        }
    }

    pub(crate) fn crashes(&self, content: Digest) -> u32 {
        self.records.get(&content).map_or(0, Record::crashes)
    }

    /// Counts a crash seen here and gives this host's count for the engine.
    ///
    /// None if the engine is cleared, or if the crash was counted before: requests with the same
    /// content may run on one engine side by side, and all lose their connections with it.
    pub(crate) fn count(&mut self, crash: &Crash, host: &HostId) -> Option<u32> {
        let record = self.record(crash.content);
        let is_known =
            |(engine, at): (EngineIx, Millis)| engine == crash.ix && crash.at.since(at) <= SAME_CRASH;
        if record.last.is_some_and(is_known) || record.cleared.contains(&crash.engine) {
            return None;
        }
        record.last = Some((crash.ix, crash.at));
        record.engines.push(crash.ix);
        let hosts = record.by_engine.entry(crash.engine.clone()).or_default();
        let count = hosts.entry(host.clone()).or_default();
        *count += 1;
        Some(*count)
    }

    /// Takes a peer's count; true if it was news.
    pub(crate) fn learn(&mut self, content: Digest, engine: EngineId, host: &HostId, crashes: u32) -> bool {
        let hosts = self.record(content).by_engine.entry(engine).or_default();
        let known = hosts.entry(host.clone()).or_default();
        let news = crashes > *known;
        *known = crashes.max(*known);
        news
    }

    /// Engines that the content crashed under this host.
    pub(crate) fn engines(&self, content: Digest) -> Vec<EngineIx> {
        let record = self.records.get(&content);
        record.map_or_else(Vec::new, |record| record.engines.clone())
    }

    /// A whole answer shows that the engines which crashed before were to blame.
    pub(crate) fn clear(&mut self, content: Digest) {
        if let Some(record) = self.records.get_mut(&content) {
            record.cleared.extend(record.by_engine.keys().cloned());
            record.engines.clear();
        }
    }

    /// The host that saw this content crash an engine, other than `me`; it runs the content alone.
    pub(crate) fn keeper(&self, content: Digest, me: &HostId) -> Option<&HostId> {
        let record = self.records.get(&content)?;
        let hosts = record.by_engine.values().flatten();
        let keeper = hosts
            .filter(|(_, crashes)| **crashes > 0)
            .map(|(host, _)| host)
            .min()?;
        (keeper != me).then_some(keeper)
    }

    pub(crate) fn is_running(&self, content: Digest) -> bool {
        self.records.get(&content).is_some_and(|record| record.running)
    }

    pub(crate) fn set_running(&mut self, content: Digest, running: bool) {
        if let Some(record) = self.records.get_mut(&content) {
            record.running = running;
        }
    }

    /// Contents with crashes, most crashes first.
    pub(crate) fn contents(&self) -> Vec<(Digest, u32)> {
        let crashed = self.records.iter().map(|(content, r)| (*content, r.crashes()));
        let mut contents: Vec<_> = crashed.filter(|(_, crashes)| *crashes > 0).collect();
        contents.sort_by_key(|(content, crashes)| (std::cmp::Reverse(*crashes), *content));
        contents
    }

    fn record(&mut self, content: Digest) -> &mut Record {
        if !self.records.contains_key(&content) {
            self.order.push_back(content);
            self.forget_oldest();
        }
        self.records.entry(content).or_default()
    }

    fn forget_oldest(&mut self) {
        if self.order.len() <= MAX_CONTENTS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.records.remove(&oldest);
        }
    }
}
