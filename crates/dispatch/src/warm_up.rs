//! Backend servers that bear few requests for a while after they have started.
//!
//! A backend may state how many requests a second such a server bears, from all hosts together, and for how long. A
//! server's entry tells how much longer it warms up. The entry arrives after the server's start, so a server that
//! refused a connection counts as one that has started anew until its entry says otherwise.

use std::collections::{BTreeMap, BTreeSet};

use carawayseam_types::{BackendName, EngineId, Millis, RequestRate};

use crate::engine::EngineEntry;

/// What the servers of a backend bear while they warm up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpLimit {
    /// How long a server warms up after its start.
    pub duration: Millis,
    /// The requests that a server bears meanwhile, of all hosts together.
    pub rate: RequestRate,
}

/// A server that warms up.
#[derive(Debug, Clone, Copy)]
struct Warming {
    until: Millis,
    rate: RequestRate,
}

/// What a server's entry last said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reported {
    started: Option<u64>,
    warms_up_for: Millis,
}

/// The servers that warm up.
#[derive(Debug, Default)]
pub struct WarmUps {
    limits: BTreeMap<BackendName, WarmUpLimit>,
    reported: BTreeMap<EngineId, Reported>,
    warming: BTreeMap<EngineId, Warming>,
}

impl WarmUps {
    /// Replaces the limits of the backends.
    pub fn set_limits(&mut self, limits: impl Iterator<Item = (BackendName, WarmUpLimit)>) {
        let limits: BTreeMap<BackendName, WarmUpLimit> = limits.collect();
        if limits != self.limits {
            // Entries that arrived before the limits have to be applied again.
            self.reported.clear();
            self.limits = limits;
        }
    }

    /// Applies the entries of all servers.
    ///
    /// An entry that has not changed says nothing new: time passes, and the server may have crashed since.
    pub fn update(&mut self, now: Millis, entries: &[EngineEntry]) {
        let listed: BTreeSet<&EngineId> = entries.iter().map(|entry| &entry.id).collect();
        self.reported.retain(|engine, _| listed.contains(engine));
        self.warming.retain(|engine, _| listed.contains(engine));
        for entry in entries {
            let reported = Reported {
                started: entry.started,
                warms_up_for: entry.warms_up_for,
            };
            let earlier = self.reported.insert(entry.id.clone(), reported);
            let limit = self.limits.get(&entry.backend).copied();
            match limit {
                _ if earlier == Some(reported) => {}
                Some(limit) if entry.warms_up_for > Millis::ZERO => {
                    let warming = Warming {
                        until: now + entry.warms_up_for.min(limit.duration),
                        rate: limit.rate,
                    };
                    self.warming.insert(entry.id.clone(), warming);
                }
                _ => {
                    self.warming.remove(&entry.id);
                }
            }
        }
    }

    /// Records that a server refused a connection: it may have crashed, and warms up after its next start.
    pub fn record_refusal(&mut self, now: Millis, engine: &EngineId, backend: &BackendName) {
        let Some(limit) = self.limits.get(backend) else {
            return;
        };
        let until = now + limit.duration;
        let warming = self.warming.entry(engine.clone()).or_insert(Warming {
            until,
            rate: limit.rate,
        });
        warming.until = warming.until.max(until);
    }

    /// Returns the requests per second that a server bears from all hosts together, if it warms up.
    #[must_use]
    pub fn rate(&self, now: Millis, engine: &EngineId) -> Option<RequestRate> {
        let warming = self.warming.get(engine).filter(|warming| now < warming.until)?;
        Some(warming.rate)
    }

    /// Removes the servers that have warmed up, and returns them.
    pub fn take_ended(&mut self, now: Millis) -> Vec<EngineId> {
        let ended = self.warming.iter().filter(|(_, warming)| now >= warming.until);
        let ended: Vec<EngineId> = ended.map(|(engine, _)| engine.clone()).collect();
        for engine in &ended {
            self.warming.remove(engine);
        }
        ended
    }
}
