//! The latest changes of a store, kept so that peers can follow it through this host.

use std::collections::VecDeque;

/// Changes kept at most.
const MOST_KEPT: usize = 1_024;

/// Changes in the order of their revisions, without gaps.
#[derive(Debug)]
pub struct History<C> {
    /// All changes after this revision are kept.
    begin: u64,
    /// The revision up to which changes are known.
    end: u64,
    changes: VecDeque<(u64, C)>,
}

/// A piece of a history.
#[derive(Debug, PartialEq, Eq)]
pub struct HistoryPage<C> {
    /// The revision up to which it tells all changes.
    pub end: u64,
    /// Whether it reaches to the end of what is known.
    pub is_complete: bool,
    /// The changes with their revisions.
    pub changes: Vec<(u64, C)>,
}

impl<C: Clone> History<C> {
    /// A history that begins after `revision`.
    #[must_use]
    pub const fn since(revision: u64) -> Self {
        Self {
            begin: revision,
            end: revision,
            changes: VecDeque::new(),
        }
    }

    /// The revision up to which changes are known.
    #[must_use]
    pub const fn end(&self) -> u64 {
        self.end
    }

    /// Takes a change; one that is known already is passed over.
    pub fn push(&mut self, revision: u64, change: C) {
        if revision < self.end || (revision == self.end && self.changes.is_empty()) {
            return;
        }
        self.end = revision;
        self.changes.push_back((revision, change));
        while self.changes.len() > MOST_KEPT {
            self.drop_oldest();
        }
    }

    /// Notes that all changes up to a revision were pushed.
    pub fn advance(&mut self, revision: u64) {
        self.end = self.end.max(revision);
    }

    /// Changes after a revision, as many as `size_of` allows within `most_bytes`; none if some of them are gone.
    pub fn after(
        &self,
        revision: u64,
        most_bytes: usize,
        size_of: impl Fn(&C) -> usize,
    ) -> Option<HistoryPage<C>> {
        if revision < self.begin {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        let mut bytes = 0;
        let mut changes: Vec<(u64, C)> = Vec::new();
        let mut cut_at = None;
        for (at, change) in later {
            bytes += size_of(change);
            if bytes > most_bytes {
                cut_at = Some(*at);
                break;
            }
            changes.push((*at, change.clone()));
        }
        let Some(cut_at) = cut_at else {
            return Some(HistoryPage {
                end: self.end.max(revision),
                is_complete: true,
                changes,
            });
        };
        // Changes of one revision are told together.
        changes.retain(|(at, _)| *at < cut_at);
        let end = changes.last().map(|(at, _)| *at)?;
        Some(HistoryPage {
            end,
            is_complete: false,
            changes,
        })
    }

    /// The changes of one revision.
    pub fn at(&self, revision: u64) -> impl Iterator<Item = &C> {
        let changes = self.changes.iter().filter(move |(at, _)| *at == revision);
        changes.map(|(_, change)| change)
    }

    /// Drops the oldest revision with all its changes.
    fn drop_oldest(&mut self) {
        let Some((oldest, _)) = self.changes.front() else {
            return;
        };
        let oldest = *oldest;
        while self.changes.front().is_some_and(|(at, _)| *at == oldest) {
            self.changes.pop_front();
        }
        self.begin = oldest;
    }
}
