//! The error type of every `FromStr` implementation in this crate.

use compact_str::CompactString;

/// An error from parsing a text that is not a valid value of the requested type.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("`{text}` is not a valid {wanted}: expected {expected}")]
pub struct ParseError {
    text: CompactString,
    wanted: &'static str,
    expected: &'static str,
}

impl ParseError {
    /// Creates an error from the rejected `text`, the requested type and the expected form.
    #[must_use]
    pub fn new(text: &str, wanted: &'static str, expected: &'static str) -> Self {
        Self {
            text: CompactString::from(text),
            wanted,
            expected,
        }
    }
}
