//! Differences between two versions of a configuration, by the names of their entries.

use std::fmt;

use compact_str::{CompactString, ToCompactString, format_compact};
use serde::Serialize;

/// A named entry of a configuration with the values of its fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name, by which entries of two versions are matched.
    pub name: CompactString,
    /// The other fields, in a fixed order.
    pub fields: Vec<Field>,
}

/// A field of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// The name.
    pub name: &'static str,
    /// The value, which is compared.
    pub value: CompactString,
    /// The value as it is shown.
    pub shown: CompactString,
}

impl Entry {
    /// Creates an entry without further fields.
    #[must_use]
    pub fn new(name: &impl fmt::Display) -> Self {
        Self {
            name: name.to_compact_string(),
            fields: Vec::new(),
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(self, name: &'static str, value: &impl fmt::Display) -> Self {
        self.with_shown(name, value, value)
    }

    /// Adds a field that is not shown as it is compared, for example because it is a secret.
    #[must_use]
    pub fn with_shown(
        mut self,
        name: &'static str,
        value: &impl fmt::Display,
        shown: &impl fmt::Display,
    ) -> Self {
        self.fields.push(Field {
            name,
            value: value.to_compact_string(),
            shown: shown.to_compact_string(),
        });
        self
    }
}

/// A list of entries of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The section's name, such as `engines`.
    pub name: &'static str,
    /// Whether the order of the entries has a meaning.
    pub is_ordered: bool,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// A configuration that can be compared with another version of it.
pub trait Sections {
    /// Returns the sections; their names and order are the same for each version.
    fn sections(&self) -> Vec<Section>;
}

/// The sections in which two versions differ.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The sections, in the configuration's order.
    pub sections: Vec<SectionDifference>,
}

/// The differences in one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SectionDifference {
    /// The section, such as `engines`.
    pub section: &'static str,
    /// Names that only the newer version has.
    pub added: Vec<CompactString>,
    /// Names that only the older version has.
    pub removed: Vec<CompactString>,
    /// Names whose entries differ.
    pub changed: Vec<CompactString>,
    /// The changed fields of the entries in `changed`.
    pub fields: Vec<FieldChange>,
}

/// A changed field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The name of the entry.
    pub name: CompactString,
    /// The field; `position` is the entry's position in its list, starting at 1.
    pub field: &'static str,
    /// The older value.
    pub old: CompactString,
    /// The newer value.
    pub new: CompactString,
}

impl Difference {
    /// Compares two versions.
    #[must_use]
    pub fn between<C: Sections>(older: &C, newer: &C) -> Self {
        let pairs = older.sections().into_iter().zip(newer.sections());
        let sections = pairs.map(|(older, newer)| SectionDifference::between(&older, &newer));
        Self {
            sections: sections.filter(|section| !section.is_empty()).collect(),
        }
    }

    /// Replaces the names of sections and fields, such as by those in the operator's file.
    #[must_use]
    pub fn rename(mut self, name: impl Fn(&'static str) -> &'static str) -> Self {
        for section in &mut self.sections {
            section.section = name(section.section);
            for change in &mut section.fields {
                change.field = name(change.field);
            }
        }
        self
    }

    /// Returns whether no entry differs; the texts may still differ, for example in their comments.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.sections.is_empty()
    }
}

impl SectionDifference {
    fn between(older: &Section, newer: &Section) -> Self {
        let (older_entries, newer_entries) = (&older.entries, &newer.entries);
        let added = names_missing_in(older_entries, newer_entries);
        let removed = names_missing_in(newer_entries, older_entries);
        // While entries are added or removed, the others' positions change without being moved.
        let compares_positions = newer.is_ordered && added.is_empty() && removed.is_empty();
        let mut fields = Vec::new();
        for (at, entry) in newer_entries.iter().enumerate() {
            let Some(before) = position(older_entries, &entry.name) else {
                continue;
            };
            if compares_positions && before != at {
                fields.push(FieldChange {
                    name: entry.name.clone(),
                    field: "position",
                    old: format_compact!("{}", before + 1),
                    new: format_compact!("{}", at + 1),
                });
            }
            fields.extend(changed_fields(&older_entries[before], entry));
        }
        let mut changed: Vec<CompactString> = fields.iter().map(|change| change.name.clone()).collect();
        changed.dedup();
        Self {
            section: newer.name,
            added,
            removed,
            changed,
            fields,
        }
    }

    const fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

fn position(entries: &[Entry], name: &CompactString) -> Option<usize> {
    entries.iter().position(|entry| entry.name == *name)
}

fn names_missing_in(entries: &[Entry], others: &[Entry]) -> Vec<CompactString> {
    let missing = others
        .iter()
        .filter(|other| position(entries, &other.name).is_none());
    missing.map(|entry| entry.name.clone()).collect()
}

fn changed_fields(older: &Entry, newer: &Entry) -> impl Iterator<Item = FieldChange> {
    let pairs = older.fields.iter().zip(&newer.fields);
    let changed = pairs.filter(|(old, new)| old.value != new.value);
    changed.map(|(old, new)| FieldChange {
        name: newer.name.clone(),
        field: new.name,
        old: old.shown.clone(),
        new: new.shown.clone(),
    })
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return write!(f, "only the text differs, no entry");
        }
        for (at, section) in self.sections.iter().enumerate() {
            let separator = if at == 0 { "" } else { "; " };
            write!(f, "{separator}{section}")?;
        }
        Ok(())
    }
}

impl fmt::Display for SectionDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.section)?;
        let parts = [("added", &self.added), ("removed", &self.removed)];
        for (what, names) in parts.into_iter().filter(|(_, names)| !names.is_empty()) {
            write!(f, " {what} {}", names.join(", "))?;
        }
        for (at, name) in self.changed.iter().enumerate() {
            let separator = if at == 0 { " changed " } else { ", " };
            write!(f, "{separator}{name} (")?;
            let fields = self.fields.iter().filter(|change| change.name == *name);
            for (at, change) in fields.enumerate() {
                let separator = if at == 0 { "" } else { ", " };
                write!(f, "{separator}{} {} -> {}", change.field, change.old, change.new)?;
            }
            write!(f, ")")?;
        }
        Ok(())
    }
}
