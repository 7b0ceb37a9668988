//! Findings of a check of a configuration.

use compact_str::CompactString;
use serde::Serialize;

/// The severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The configuration can be used, but a part of it has no effect or contradicts another part.
    #[display("warning")]
    Warning,
    /// The configuration must not be sent.
    #[display("error")]
    Error,
}

/// The place of a finding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Place {
    /// The file name as the operator passed it.
    pub file: CompactString,
    /// The line number, starting at 1; `None` if unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<u64>,
    /// The field's path, such as `engines[2].version`.
    pub field: CompactString,
}

impl std::fmt::Display for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file, self.field),
            None => write!(f, "{}: {}", self.file, self.field),
        }
    }
}

/// A finding of a check; `R` is the type of the reasons that the check gives.
///
/// It is displayed as `file:line: field: reason`, with the severity before the reason of a warning.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display)]
#[display("{place}: {}{reason}", if *severity == Severity::Warning { "warning: " } else { "" })]
pub struct Finding<R> {
    /// The severity.
    pub severity: Severity,
    /// The place.
    pub place: Place,
    /// The reason.
    pub reason: R,
}

impl<R> Finding<R> {
    /// Returns whether the finding forbids that the configuration is sent; warnings do only if `strict`.
    #[must_use]
    pub const fn forbids_sending(&self, strict: bool) -> bool {
        match self.severity {
            Severity::Error => true,
            Severity::Warning => strict,
        }
    }
}
