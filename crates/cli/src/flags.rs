//! Command-line flags, as they are written.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use carawayseam_types::{EnvironmentId, Millis, RolloutId};

use crate::store::Retry;

/// Shown below the help.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 system failure, 2 wrong command line, 3 wrong document, \
4 no passed trial, 5 another change came first, 6 unknown whether a write took effect, \
7 no answer and nothing changed, 8 move taken back, 9 no such environment or open move, \
10 time to wait over.";

/// Operates carawayseam environments.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, generate(options), footer(EXIT_CODES))]
pub struct Flags {
    /// Print the result as JSON
    #[bpaf(long)]
    pub json: bool,
    /// The command.
    #[bpaf(external(command))]
    pub command: Command,
}

/// Commands:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Checks a document without sending it: errors, parts without effect, contradictions, and differences from
    /// the active version
    #[bpaf(command("check"))]
    Check {
        /// Fail also if there are warnings
        strict: bool,
        /// The version to compare with.
        #[bpaf(external(active_version), optional)]
        active: Option<ActiveVersion>,
        /// The environment's document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks a document, asks each engine that it declares, and records a passed trial
    #[bpaf(command("trial"))]
    Trial {
        /// How the store is reached.
        #[bpaf(external(store_flags))]
        store: StoreFlags,
        /// Engines that may be silent without failing the trial
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        allow_missing: u32,
        /// The environment's document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Puts a document in force that has passed a trial
    #[bpaf(command("promote"))]
    Promote {
        /// How the store is reached.
        #[bpaf(external(store_flags))]
        store: StoreFlags,
        /// Who promotes
        #[bpaf(argument("NAME"), env("USER"))]
        operator: String,
        /// The environment's document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Takes a move back: the old version serves again
    #[bpaf(command("take-back"))]
    TakeBack {
        /// How the store is reached.
        #[bpaf(external(store_flags))]
        store: StoreFlags,
        /// The environment
        #[bpaf(argument("NAME"))]
        environment: EnvironmentId,
        /// Who takes it back
        #[bpaf(argument("NAME"), env("USER"))]
        operator: String,
        /// The move
        #[bpaf(positional("MOVE"))]
        move_id: RolloutId,
    },
    /// Shows revisions and moves; with --wait, returns once every move is over
    #[bpaf(command("status"))]
    Status {
        /// How the store is reached.
        #[bpaf(external(store_flags))]
        store: StoreFlags,
        /// Only this environment
        #[bpaf(argument("NAME"), optional)]
        environment: Option<EnvironmentId>,
        /// Return only once every move is finished or taken back
        wait: bool,
        /// The longest time to wait
        #[bpaf(argument("SPAN"), fallback(DEFAULT_STATUS_WAIT), display_fallback)]
        timeout: Millis,
    },
    /// Shows the state of one process
    #[bpaf(command("dump"))]
    Dump {
        /// The process's admin address
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
}

/// The active version that a document is compared with.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(active_version))]
pub enum ActiveVersion {
    /// A file.
    File {
        /// Compare with the document in this file
        #[bpaf(long("against"), argument("FILE"))]
        against: PathBuf,
    },
    /// The version in the store.
    Store {
        /// How the store is reached.
        #[bpaf(external(store_flags))]
        store: StoreFlags,
    },
}

const DEFAULT_STATUS_WAIT: Millis = Millis::from_secs(60 * 60);

/// How the store is reached.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(store_flags))]
pub struct StoreFlags {
    /// Base URL of the key-value service
    #[bpaf(long("store"), argument("URL"))]
    pub url: String,
    /// Calls that may fail before the command gives up
    #[bpaf(argument("N"), fallback(Retry::default().attempts), display_fallback)]
    pub attempts: u32,
    /// The wait after the first failed call; it doubles with each
    #[bpaf(argument("SPAN"), fallback(Retry::default().first_wait), display_fallback)]
    pub retry_wait: Millis,
}

impl StoreFlags {
    /// The bounds on repeated calls.
    #[must_use]
    pub fn retry(&self) -> Retry {
        Retry {
            attempts: self.attempts.max(1),
            first_wait: self.retry_wait,
        }
    }
}
