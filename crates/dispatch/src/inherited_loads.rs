//! Loads of servers whose slots this host owns since a short time ago.
//!
//! The host does not know then which slots its peers hold, and would grant slots that are taken. Until all peers have
//! confirmed what they hold, the load that the former owner measured is a lower bound.

use std::collections::BTreeMap;

use carawayseam_types::{EngineKey, Millis};

use crate::engine::ServerLoad;

/// The time after which all peers have confirmed their slots, which they do every 500 ms.
const CONFIRMATION_TIME: Millis = Millis(600);

/// A load that was taken over.
#[derive(Debug)]
struct Inherited {
    until: Millis,
    load: ServerLoad,
}

/// The loads that were taken over and still count.
#[derive(Debug, Default)]
pub(crate) struct InheritedLoads(BTreeMap<EngineKey, Inherited>);

impl InheritedLoads {
    /// Takes over the load of all peers on a server.
    pub(crate) fn insert(&mut self, now: Millis, engine: EngineKey, load: ServerLoad) {
        let until = now + CONFIRMATION_TIME;
        self.0.insert(engine, Inherited { until, load });
    }

    /// Returns the least load of all peers on a server.
    pub(crate) fn load_on(&self, engine: EngineKey) -> ServerLoad {
        self.0
            .get(&engine)
            .map(|inherited| inherited.load)
            .unwrap_or_default()
    }

    /// Records that a slot was granted to a peer.
    pub(crate) fn add_slot(&mut self, engine: EngineKey) {
        if let Some(inherited) = self.0.get_mut(&engine) {
            inherited.load.running = inherited.load.running.saturating_add(1);
        }
    }

    /// Records that a request of a peer ended on a server.
    pub(crate) fn release_slot(&mut self, engine: EngineKey) {
        if let Some(inherited) = self.0.get_mut(&engine) {
            inherited.load.running = inherited.load.running.saturating_sub(1);
        }
    }

    /// Drops the loads of servers that this host no longer owns.
    pub(crate) fn retain_owned(&mut self, is_owned: impl Fn(&EngineKey) -> bool) {
        self.0.retain(|engine, _| is_owned(engine));
    }

    /// Drops the loads that are superseded by confirmations.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.0.retain(|_, inherited| now < inherited.until);
    }
}
