//! The latest changes of the store, kept so that peers can follow the store through this host.

use std::collections::VecDeque;

use carawayseam_types::{StoreEra, StoreRevision};

/// Limit of changes kept; beyond it the oldest revisions are dropped.
const MAX_CHANGES: usize = 1_024;

/// Changes of one era ordered by revision, without gaps.
///
/// A store that is restored from a copy gives out revisions again, so revisions of different eras are never
/// compared by their numbers.
#[derive(Debug)]
pub struct History<C> {
    era: StoreEra,
    /// All changes after this revision, up to `end`, are kept.
    begin: u64,
    /// The revision up to which changes are known.
    end: u64,
    changes: VecDeque<(u64, C)>,
}

/// A contiguous part of a history.
#[derive(Debug, PartialEq, Eq)]
pub struct HistoryPage<C> {
    /// The revision up to which the page contains all changes.
    pub end: u64,
    /// Whether the page reaches the end of the history.
    pub is_complete: bool,
    /// The changes, each with its revision.
    pub changes: Vec<(u64, C)>,
}

/// The changes after a revision that a host asked for.
#[derive(Debug, PartialEq, Eq)]
pub enum ChangesAfter<C> {
    /// A page of the changes.
    Page(HistoryPage<C>),
    /// Some of the changes are no longer kept, or do not fit a page.
    NotKept,
    /// The revision is of another era than this one, which the history is of.
    OtherEra(StoreEra),
}

impl<C: Clone> History<C> {
    /// Creates an empty history that begins after `revision`.
    #[must_use]
    pub const fn since(revision: StoreRevision) -> Self {
        Self {
            era: revision.era,
            begin: revision.number,
            end: revision.number,
            changes: VecDeque::new(),
        }
    }

    /// Creates the history of a host that has not listed the store; it keeps no changes.
    #[must_use]
    pub const fn unknown() -> Self {
        Self::since(StoreRevision::new(StoreEra(0), u64::MAX))
    }

    /// Returns the revision up to which changes are known.
    #[must_use]
    pub const fn end(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.end)
    }

    /// Appends a change; a change that is already known or of another era is ignored.
    pub fn push(&mut self, revision: StoreRevision, change: C) {
        if revision.era != self.era {
            return;
        }
        let revision = revision.number;
        if revision < self.end || (revision == self.end && self.changes.is_empty()) {
            return;
        }
        self.end = revision;
        self.changes.push_back((revision, change));
        while self.changes.len() > MAX_CHANGES {
            self.drop_oldest_revision();
        }
    }

    /// Records that all changes up to a revision of the era have been pushed.
    pub fn advance(&mut self, revision: StoreRevision) {
        if revision.era == self.era {
            self.end = self.end.max(revision.number);
        }
    }

    /// Returns the changes after `revision`, up to `max_bytes` in total as measured by `size_of`.
    pub fn after(
        &self,
        revision: StoreRevision,
        max_bytes: usize,
        size_of: impl Fn(&C) -> usize,
    ) -> ChangesAfter<C> {
        if revision.era != self.era {
            return ChangesAfter::OtherEra(self.era);
        }
        let page = self.page_after(revision.number, max_bytes, size_of);
        page.map_or(ChangesAfter::NotKept, ChangesAfter::Page)
    }

    /// Returns a page of changes, or `None` if some of these changes were already dropped or if the changes of
    /// the first revision alone exceed `max_bytes`.
    fn page_after(
        &self,
        revision: u64,
        max_bytes: usize,
        size_of: impl Fn(&C) -> usize,
    ) -> Option<HistoryPage<C>> {
        if revision < self.begin {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        let mut bytes = 0;
        let mut changes: Vec<(u64, C)> = Vec::new();
        let mut truncated_at = None;
        for (at, change) in later {
            bytes += size_of(change);
            if bytes > max_bytes {
                truncated_at = Some(*at);
                break;
            }
            changes.push((*at, change.clone()));
        }
        let Some(truncated_at) = truncated_at else {
            return Some(HistoryPage {
                end: self.end.max(revision),
                is_complete: true,
                changes,
            });
        };
        // A page never splits the changes of one revision.
        changes.retain(|(at, _)| *at < truncated_at);
        let end = changes.last().map(|(at, _)| *at)?;
        Some(HistoryPage {
            end,
            is_complete: false,
            changes,
        })
    }

    /// Drops the oldest revision with all its changes.
    fn drop_oldest_revision(&mut self) {
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
