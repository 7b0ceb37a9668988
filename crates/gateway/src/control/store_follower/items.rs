//! Decodes items of the store and sends them to the control state.

use std::sync::Arc;

use carawayseam_dispatch::evacuation::Evacuation;
use carawayseam_dispatch::{Catalog, EngineEntry};
use carawayseam_types::ZoneId;
use carawayseam_wire::decode;

use super::StoreFollower;
use crate::control::registration::HostRecord;
use crate::control::state::{Event, HostEntry};
use crate::platform::{DecodeError, Item, Platform};

impl<P: Platform> StoreFollower<P> {
    pub(super) fn apply_put(&self, item: &Item) {
        if item.key == self.keys.configuration_key {
            match self.platform.decode_configuration(&item.value) {
                Ok(configuration) => {
                    let catalog = Arc::new(Catalog::new(configuration));
                    let item = item.clone();
                    self.send_event(Event::Configuration { catalog, item });
                }
                Err(e) => log::error!(key:% = item.key; "the configuration cannot be read: {e}"),
            }
        } else if item.key.starts_with(self.keys.engine_prefix.as_str()) {
            if let Some(entry) = self.decode_engine(item) {
                self.send_event(Event::EngineChanged(entry));
            }
        } else if item.key.starts_with(self.keys.rollout_order_prefix.as_str()) {
            self.apply_rollout_order(item);
        } else if item.key.starts_with(self.keys.rollout_status_prefix.as_str()) {
            self.apply_rollout_status(item);
        } else if let Some(zone) = self.evacuated_zone(&item.key) {
            self.send_event(Event::Evacuation(Evacuation::Ordered(zone)));
        } else if let Some(entry) = self.decode_host(item) {
            self.send_event(Event::HostRegistered(entry));
        }
    }

    fn apply_rollout_order(&self, item: &Item) {
        match self.platform.decode_rollout_order(&item.value) {
            Ok(order) => self.send_event(Event::RolloutOrdered {
                order,
                revision: item.revision,
            }),
            Err(e) => log::error!(key:% = item.key; "the rollout order cannot be read: {e}"),
        }
    }

    fn apply_rollout_status(&self, item: &Item) {
        match self.platform.decode_rollout_status(&item.value) {
            Ok(status) => self.send_event(Event::RolloutStatusChanged {
                status,
                revision: item.revision,
            }),
            Err(e) => log::error!(key:% = item.key; "the rollout status cannot be read: {e}"),
        }
    }

    pub(super) fn apply_removal(&self, key: &str) {
        if let Some(zone) = self.evacuated_zone(key) {
            self.send_event(Event::Evacuation(Evacuation::Lifted(zone)));
            return;
        }
        let engine = key.strip_prefix(self.keys.engine_prefix.as_str()).map(str::parse);
        let host = key.strip_prefix(self.keys.host_prefix.as_str()).map(str::parse);
        match (engine, host) {
            (Some(Ok(engine)), _) => {
                let keep_until = self.outage.keep_until(self.shared.now());
                self.send_event(Event::EngineRemoved { engine, keep_until });
            }
            (_, Some(Ok(host))) => self.send_event(Event::HostRemoved(host)),
            (Some(Err(e)), _) => log::debug!("the removed entry {key} has no valid backend server id: {e}"),
            (_, Some(Err(e))) => log::debug!("the removed entry {key} has no valid host name: {e}"),
            (None, None) => {}
        }
    }

    /// Returns the zone of an order to evacuate it, whose value does not matter; `None` for another key.
    pub(super) fn evacuated_zone(&self, key: &str) -> Option<ZoneId> {
        let name = key.strip_prefix(self.keys.evacuation_prefix.as_str())?;
        match name.parse() {
            Ok(zone) => Some(zone),
            Err(e) => {
                log::error!(key = key; "the order to evacuate names no valid zone: {e}");
                None
            }
        }
    }

    pub(super) fn decode_engine(&self, item: &Item) -> Option<EngineEntry> {
        let id = item.key.strip_prefix(self.keys.engine_prefix.as_str())?;
        match self.platform.decode_engine(id, &item.value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                log_unreadable_engine(&item.key, &e);
                None
            }
        }
    }

    pub(super) fn decode_host(&self, item: &Item) -> Option<HostEntry> {
        let name = item.key.strip_prefix(self.keys.host_prefix.as_str())?;
        let record = decode::<HostRecord>(&item.value);
        match (name.parse(), record) {
            (
                Ok(host),
                Ok(HostRecord {
                    address,
                    zone,
                    incarnation,
                }),
            ) => Some(HostEntry {
                host,
                address,
                zone,
                incarnation,
            }),
            (Err(e), _) => {
                log::warn!(key:% = item.key; "the entry's key does not contain a valid host name: {e}");
                None
            }
            (_, Err(e)) => {
                log::warn!(key:% = item.key; "the host's entry cannot be read: {e}");
                None
            }
        }
    }
}

fn log_unreadable_engine(key: &str, e: &DecodeError) {
    log::warn!(key = key; "the entry does not describe a usable backend server: {e}");
}
