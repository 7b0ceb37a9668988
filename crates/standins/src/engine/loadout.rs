//! Orders: what is loaded, what is being loaded, and the fencing tokens.

use carawayseam_external::engine::{EngineLoadout, EngineState, Order};
use carawayseam_types::{EngineId, FencingToken};

/// What an order led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Obeyed {
    /// The token is older than one seen before.
    Fenced,
    /// Nothing is left to do.
    Already,
    /// The load of this number has to begin.
    Load(u64),
}

/// The part of an engine that obeys orders.
#[derive(Debug)]
pub(crate) struct Loadouts {
    checks_fencing: bool,
    loaded: Option<EngineLoadout>,
    loading: Option<EngineLoadout>,
    fencing: Option<FencingToken>,
    /// Grows with each load begun, so that an outdated load ends without effect.
    load: u64,
}

impl Loadouts {
    pub(crate) const fn new(checks_fencing: bool, loaded: Option<EngineLoadout>) -> Self {
        Self {
            checks_fencing,
            loaded,
            loading: None,
            fencing: None,
            load: 0,
        }
    }

    pub(crate) const fn loaded(&self) -> Option<&EngineLoadout> {
        self.loaded.as_ref()
    }

    pub(crate) fn obey(&mut self, order: &Order) -> Obeyed {
        match order {
            order if self.checks_fencing && Some(order.fencing) < self.fencing => return Obeyed::Fenced,
            order if self.checks_fencing => self.fencing = Some(order.fencing),
            _ => {}
        }
        let wanted = Some(&order.wanted);
        if self.loading.as_ref() == wanted {
            return Obeyed::Already;
        }
        self.load += 1;
        if self.loaded.as_ref() == wanted {
            self.loading = None;
            return Obeyed::Already;
        }
        self.loading = Some(order.wanted.clone());
        Obeyed::Load(self.load)
    }

    /// Whether this load is still wanted.
    pub(crate) const fn is_current(&self, load: u64) -> bool {
        self.load == load
    }

    /// Puts a load in force, unless a later order overtook it.
    pub(crate) fn finish(&mut self, load: u64) {
        if self.is_current(load) {
            self.loaded = self.loading.take();
        }
    }

    pub(crate) fn state(&self, engine: EngineId) -> EngineState {
        EngineState {
            engine,
            loaded: self.loaded.clone(),
            loading: self.loading.clone(),
            fencing: self.fencing,
        }
    }
}
