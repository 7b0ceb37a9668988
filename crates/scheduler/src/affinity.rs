//! Which engine probably holds which prompt prefix.

use std::collections::{HashMap, VecDeque};

use carawayseam_types::Digest;

use crate::index::EngineIx;

/// The most prefixes believed to be held by one engine; its cache memory is limited.
const MAX_PER_ENGINE: usize = 64;
/// The most engines asked about one prefix, so that a choice stays short.
const MAX_HOLDERS: usize = 4;

/// Prefixes by engine, and engines by prefix.
///
/// It records the own dispatches at once; the engines' cache events come
/// late and with gaps, so they only correct it.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    holders: HashMap<Digest, Vec<EngineIx>>,
    by_engine: HashMap<EngineIx, VecDeque<Digest>>,
}

impl Affinity {
    /// Engines that probably hold the prefix, the newest first.
    pub(crate) fn holders(&self, prefix: Digest) -> &[EngineIx] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn holds(&self, engine: EngineIx, prefix: Digest) -> bool {
        self.holders(prefix).contains(&engine)
    }

    pub(crate) fn add(&mut self, engine: EngineIx, prefix: Digest) {
        if self.holds(engine, prefix) {
            return;
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.insert(0, engine);
        let dropped = (holders.len() > MAX_HOLDERS).then(|| holders.pop()).flatten();
        if let Some(dropped) = dropped {
            self.forget(dropped, prefix);
        }
        let prefixes = self.by_engine.entry(engine).or_default();
        prefixes.push_back(prefix);
        if prefixes.len() > MAX_PER_ENGINE {
            self.remove_oldest(engine);
        }
    }

    pub(crate) fn remove(&mut self, engine: EngineIx, prefix: Digest) {
        self.forget(engine, prefix);
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.retain(|holder| *holder != engine);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Forgets all that an engine held.
    pub(crate) fn clear(&mut self, engine: EngineIx) {
        let prefixes = self.by_engine.remove(&engine).unwrap_or_default();
        for prefix in prefixes {
            self.remove(engine, prefix);
        }
    }

    fn remove_oldest(&mut self, engine: EngineIx) {
        let prefixes = self.by_engine.get_mut(&engine);
        if let Some(oldest) = prefixes.and_then(VecDeque::pop_front) {
            self.remove(engine, oldest);
        }
    }

    fn forget(&mut self, engine: EngineIx, prefix: Digest) {
        if let Some(prefixes) = self.by_engine.get_mut(&engine) {
            prefixes.retain(|held| *held != prefix);
        }
    }
}
