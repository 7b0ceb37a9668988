//! Small numbers in place of names, so that hot paths index and never hash text.

use std::collections::HashMap;
use std::hash::Hash;

/// Declares a typed index.
macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub(crate) struct $name(pub(crate) u32);

        impl From<usize> for $name {
            fn from(place: usize) -> Self {
                Self(place as u32)
            }
        }

        impl $name {
            pub(crate) const fn get(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index_type!(
    /// An engine's place in the fleet.
    EngineIx
);
index_type!(
    /// A pool's place in the fleet.
    PoolIx
);
index_type!(
    /// An organisation's place among those seen.
    OrgIx
);
/// A route's place among those seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RouteIx(pub(crate) u32);

/// Gives each name a number, in the order in which names are first seen.
#[derive(Debug, Default)]
pub(crate) struct Interner<K> {
    numbers: HashMap<K, u32>,
    names: Vec<K>,
}

impl<K: Clone + Eq + Hash> Interner<K> {
    pub(crate) fn new() -> Self {
        Self {
            numbers: HashMap::new(),
            names: Vec::new(),
        }
    }

    pub(crate) fn intern(&mut self, name: &K) -> usize {
        if let Some(&number) = self.numbers.get(name) {
            return number as usize;
        }
        let number = self.names.len();
        self.numbers.insert(name.clone(), number as u32);
        self.names.push(name.clone());
        number
    }

    pub(crate) fn get(&self, name: &K) -> Option<usize> {
        self.numbers.get(name).map(|&number| number as usize)
    }

    pub(crate) fn name(&self, number: usize) -> &K {
        &self.names[number]
    }
}
