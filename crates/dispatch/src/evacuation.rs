//! Availability zones whose backend servers the operator has ordered to be sent nothing.

use std::collections::BTreeSet;

use carawayseam_types::ZoneId;

/// A change of the evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evacuation {
    /// These zones, and no others, are evacuated.
    Listed(BTreeSet<ZoneId>),
    /// Nothing is sent to the servers of a zone.
    Ordered(ZoneId),
    /// A zone's servers take requests again.
    Lifted(ZoneId),
}

/// The evacuated zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuatedZones(BTreeSet<ZoneId>);

impl EvacuatedZones {
    /// Applies a change; returns whether other zones are evacuated now.
    pub fn apply(&mut self, change: Evacuation) -> bool {
        match change {
            Evacuation::Listed(zones) => {
                let is_change = self.0 != zones;
                self.0 = zones;
                is_change
            }
            Evacuation::Ordered(zone) => self.0.insert(zone),
            Evacuation::Lifted(zone) => self.0.remove(&zone),
        }
    }

    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.0.contains(zone)
    }

    /// Iterates over the evacuated zones.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneId> {
        self.0.iter()
    }
}
