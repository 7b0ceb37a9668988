//! Whether an answer is whole, and the answer to its own request.

use serde::{Deserialize, Serialize};

use super::sse::SseEvent;
use crate::answer::Answer;

/// What became of a request, as its caller sees it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The whole answer to this request.
    #[display("whole")]
    Whole,
    /// Refused; it did not run.
    #[display("not run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// No connection to the entry host, or it broke off without an end.
    #[display("no end")]
    NoEnd,
    /// A part of the answer is missing, or belongs to another request.
    #[display("wrong answer")]
    Wrong,
}

/// An error as an entry host writes it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ErrorBody {
    pub(crate) outcome: String,
}

impl ErrorBody {
    pub(crate) fn ending(&self) -> Ending {
        match self.outcome.as_str() {
            "not-run" => Ending::NotRun,
            "unknown" => Ending::Unknown,
            _ => Ending::Wrong,
        }
    }
}

#[derive(Debug, Deserialize)]
struct TokensData {
    offset: u32,
    count: u32,
    text: String,
}

#[derive(Debug, Deserialize)]
struct EndData {
    tokens: u32,
}

/// Checks a streamed answer event by event.
#[derive(Debug)]
pub struct StreamCheck {
    answer: Answer,
    length: u32,
    next: u32,
    flawed: bool,
    ending: Option<Ending>,
}

impl StreamCheck {
    /// Expects the answer to `prompt`.
    #[must_use]
    pub fn new(prompt: &str, max_output: u32) -> Self {
        let answer = Answer::to(prompt);
        Self {
            length: answer.length(max_output),
            answer,
            next: 0,
            flawed: false,
            ending: None,
        }
    }

    /// Takes one event.
    pub fn take(&mut self, event: &SseEvent) {
        match event.event.as_str() {
            // Nothing may follow the end.
            "tokens" | "end" | "error" if self.ending.is_some() => self.flawed = true,
            "tokens" => self.take_tokens(&event.data),
            "end" => self.take_end(&event.data),
            "error" => self.take_error(&event.data),
            _ => {}
        }
    }

    /// Tokens received in order so far.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        self.next
    }

    /// What became of the request, once the stream has closed.
    #[must_use]
    pub fn ending(&self) -> Ending {
        match self.ending {
            _ if self.flawed => Ending::Wrong,
            Some(ending) => ending,
            None => Ending::NoEnd,
        }
    }

    fn take_tokens(&mut self, data: &str) {
        match serde_json::from_str::<TokensData>(data) {
            Ok(tokens) if self.continues(&tokens) => self.next += tokens.count,
            _ => self.flawed = true,
        }
    }

    fn continues(&self, tokens: &TokensData) -> bool {
        let within = self.length.saturating_sub(self.next) >= tokens.count;
        within && tokens.offset == self.next && tokens.text == self.answer.text(tokens.offset, tokens.count)
    }

    fn take_end(&mut self, data: &str) {
        let whole = self.next == self.length;
        match serde_json::from_str::<EndData>(data) {
            Ok(end) if whole && end.tokens == self.length => self.ending = Some(Ending::Whole),
            _ => self.flawed = true,
        }
    }

    fn take_error(&mut self, data: &str) {
        match serde_json::from_str::<ErrorBody>(data) {
            // An answer that has begun did run, so a refusal now is untrue.
            Ok(error) if self.next > 0 && error.ending() == Ending::NotRun => self.flawed = true,
            Ok(error) => self.ending = Some(error.ending()),
            Err(_) => self.flawed = true,
        }
    }
}

#[derive(Debug, Deserialize)]
struct PlainBody {
    outcome: String,
    #[serde(default)]
    result: serde_json::Value,
}

/// Checks the answer of a plain service's stand-in, which echoes its call.
#[must_use]
pub fn check_call(operation: &str, body: &serde_json::Value, answer: &[u8]) -> Ending {
    let expected = serde_json::json!({ "operation": operation, "echo": body });
    match serde_json::from_slice::<PlainBody>(answer) {
        Ok(plain) if plain.outcome == "ran" && plain.result == expected => Ending::Whole,
        _ => Ending::Wrong,
    }
}

/// Reads a refusal that came in place of an answer.
#[must_use]
pub fn check_refusal(body: &[u8]) -> Ending {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(error) => error.ending(),
        Err(_) => Ending::Wrong,
    }
}
