//! The answer to each prompt, known beforehand by whoever knows the prompt.
//!
//! Token `n` of an answer depends on the prompt and `n` alone, whatever the
//! engine or version, so a caller can tell that it got the whole answer to
//! its own prompt.

use carawayseam_types::Digest;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// In a prompt, is followed by the number of tokens that the answer is to have.
pub const LENGTH_MARK: &str = "#tokens=";
/// In a prompt, makes each engine that begins it exit.
pub const CRASH_MARK: &str = "#crash";

/// The shortest answer without a mark, in tokens.
const SHORTEST: f64 = 8.0;
/// How many times the longest answer without a mark is longer.
const LENGTH_RANGE: f64 = 100.0;
const DRAWS: u128 = 10_000;

/// The text of one token of the answer to `prompt`.
#[must_use]
pub fn answer_token(prompt: &str, offset: u32) -> String {
    Answer::to(prompt).token(offset)
}

/// The length of the answer to `prompt`, in tokens.
#[must_use]
pub fn answer_length(prompt: &str, max_output: u32) -> u32 {
    Answer::to(prompt).length(max_output)
}

/// The answer to one prompt, which is digested once.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    digest: Digest,
    marked: Option<u32>,
}

impl Answer {
    /// The answer to `prompt`.
    #[must_use]
    pub fn to(prompt: &str) -> Self {
        Self {
            digest: Digest::of(prompt.as_bytes()),
            marked: marked_length(prompt),
        }
    }

    /// The text of one token.
    #[must_use]
    pub fn token(&self, offset: u32) -> String {
        let seed = (self.digest.0 as u64) ^ ((self.digest.0 >> 64) as u64);
        let word = xxh3_64_with_seed(&offset.to_le_bytes(), seed) as u16;
        format!("{word:04x} ")
    }

    /// The text of `count` tokens from `offset` on.
    #[must_use]
    pub fn text(&self, offset: u32, count: u32) -> String {
        let offsets = offset..offset.saturating_add(count);
        offsets.map(|at| self.token(at)).collect()
    }

    /// The length in tokens, at most `max_output`.
    #[must_use]
    pub fn length(&self, max_output: u32) -> u32 {
        self.marked.unwrap_or_else(|| self.drawn_length()).min(max_output)
    }

    /// The prompt's digest.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// A length whose logarithm is spread evenly.
    fn drawn_length(&self) -> u32 {
        let draw = (self.digest.0 % DRAWS) as f64 / DRAWS as f64;
        (SHORTEST * LENGTH_RANGE.powf(draw)) as u32
    }
}

fn marked_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.rsplit_once(LENGTH_MARK)?;
    let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..digits].parse().ok()
}
