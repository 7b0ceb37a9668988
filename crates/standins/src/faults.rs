//! What a stand-in is told to do wrong.
//!
//! `POST /faults` replaces the whole set, so `{}` clears it, and
//! `GET /faults` shows it. Fields that a stand-in has no use for are kept
//! and ignored.

use carawayseam_types::VersionId;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Path of the fault switches.
pub const FAULTS_PATH: &str = "/faults";
/// Path of a stand-in's counters.
pub const STATS_PATH: &str = "/stats";

/// A set of faults; the default has none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched by itself, in any combination"
)]
pub struct Faults {
    /// Faults of requests act only on paths that begin with this.
    pub only_path: Option<String>,
    /// Each request waits for this time before it is handled, in milliseconds.
    pub slow_ms: u64,
    /// The fraction of requests answered by status 500, unhandled.
    pub error_rate: f64,
    /// Every request is answered by status 503, unhandled.
    pub down: bool,
    /// Connections are closed before anything is read from them.
    pub close_before_reading: bool,
    /// Requests are read whole, and the connection is closed without handling them.
    pub close_after_reading: bool,
    /// Requests are handled, and the connection is closed without an answer.
    pub close_after_running: bool,
    /// Requests are answered by status 307 with this location, unhandled.
    pub redirect_to: Option<String>,
    /// Requests are read and never answered.
    pub silent: bool,
    /// Connections open now go silent for good; later ones work. Acts once.
    pub silence_open: bool,
    /// Connections are cut and new ones refused for this time, in milliseconds. Acts once.
    pub refuse_ms: u64,

    /// Engine: speeds are divided by this; 0 stands for 1.
    pub slow_factor: f64,
    /// Engine: no token is computed while this is on.
    pub freeze: bool,
    /// Engine: streams are cut after this many tokens, without an end.
    pub cut_after_tokens: Option<u32>,
    /// Engine: each stream also carries frames of another attempt.
    pub crossed_frames: bool,

    /// Engine and service: the version misbehaves.
    pub bad_version: Option<BadVersion>,

    /// Key-value service: this many next writes take effect and lose their answers.
    pub lose_answers_next: u32,
    /// Key-value service: the fraction of writes that take effect and lose their answers.
    pub lose_answers_rate: f64,
    /// Key-value service: watches wait for good.
    pub freeze_watches: bool,
    /// Key-value service: reads answer what stood when this was switched on.
    pub old_values: bool,
}

/// How a version misbehaves, and on which requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadVersion {
    /// What goes wrong.
    pub kind: BadKind,
    /// Only while this version is loaded.
    #[serde(default)]
    pub version: Option<VersionId>,
    /// Only after this many requests since the process started.
    #[serde(default)]
    pub after_requests: u64,
    /// Only while more than this many requests run.
    #[serde(default)]
    pub above_concurrency: u32,
    /// Only requests whose prompt or operation contains this.
    #[serde(default)]
    pub word: Option<CompactString>,
}

/// What a bad version does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadKind {
    /// Requests fail.
    Fail,
    /// Requests take several times as long.
    Slow,
    /// Answers begin and do not end; a plain service never answers.
    Unfinished,
}

/// The request on which a version's misbehaviour is decided.
#[derive(Debug, Clone, Copy)]
pub struct Occasion<'a> {
    /// The version loaded.
    pub version: &'a VersionId,
    /// Requests seen since the process started.
    pub seen: u64,
    /// Requests running now.
    pub running: u32,
    /// The prompt, or the operation.
    pub text: &'a str,
}

impl BadVersion {
    /// What goes wrong with the request, if anything.
    #[must_use]
    pub fn strikes(&self, at: &Occasion<'_>) -> Option<BadKind> {
        let version = self.version.as_ref().is_none_or(|v| v == at.version);
        let word = self.word.as_ref().is_none_or(|w| at.text.contains(w.as_str()));
        let late_enough = at.seen > self.after_requests;
        let loaded_enough = self.above_concurrency == 0 || at.running > self.above_concurrency;
        let all = version && word && late_enough && loaded_enough;
        all.then_some(self.kind)
    }
}
