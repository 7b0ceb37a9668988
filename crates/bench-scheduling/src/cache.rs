//! A prefix cache of limited size; the longest unused prefix leaves first.

use std::collections::VecDeque;

use carawayseam_types::{Digest, Tokens};

/// A prefix that came in or went out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheChange {
    /// The prefix.
    pub prefix: Digest,
    /// Whether it came in.
    pub present: bool,
}

/// The cache.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: Tokens,
    /// Oldest use first.
    kept: VecDeque<(Digest, Tokens)>,
}

impl PrefixCache {
    pub(crate) const fn new(limit: Tokens) -> Self {
        Self {
            limit,
            kept: VecDeque::new(),
        }
    }

    /// Whether the prefix is kept; if so, it becomes the newest.
    pub(crate) fn touch(&mut self, prefix: Digest) -> bool {
        let Some(at) = self.kept.iter().position(|(kept, _)| *kept == prefix) else {
            return false;
        };
        let entry = self.kept.remove(at);
        self.kept.extend(entry);
        true
    }

    /// Keeps a prefix and notes what changed.
    pub(crate) fn insert(&mut self, prefix: Digest, tokens: Tokens, changes: &mut Vec<CacheChange>) {
        if tokens == Tokens(0) || tokens > self.limit || self.touch(prefix) {
            return;
        }
        self.kept.push_back((prefix, tokens));
        changes.push(CacheChange {
            prefix,
            present: true,
        });
        while self.size() > self.limit {
            let Some((prefix, _)) = self.kept.pop_front() else {
                return;
            };
            changes.push(CacheChange {
                prefix,
                present: false,
            });
        }
    }

    pub(crate) fn clear(&mut self) {
        self.kept.clear();
    }

    fn size(&self) -> Tokens {
        self.kept.iter().map(|(_, tokens)| *tokens).sum()
    }
}
