//! Rotates through records that do not fit one update to the peers.

/// A position in a list of records, of which each update contains a limited number.
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    taken: usize,
}

impl Rotation {
    /// Starts at the first record.
    pub(crate) const fn new() -> Self {
        Self { taken: 0 }
    }

    /// Returns up to `limit` records; those that do not fit are in later updates.
    pub(crate) fn take<T: Clone>(&mut self, records: &[T], limit: usize) -> Vec<T> {
        let count = records.len().min(limit);
        let start = self.taken % records.len().max(1);
        self.taken = self.taken.wrapping_add(count);
        records.iter().cycle().skip(start).take(count).cloned().collect()
    }
}
