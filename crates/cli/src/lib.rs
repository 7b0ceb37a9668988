//! The operators' command line: check, trial, promote, take-back, status, dump.
//!
//! Decisions stand in modules without I/O: [`Promotion`] takes a document
//! through its compare-and-swap and lost answers, and [`Difference`] compares
//! two documents. The commands around them read files and call the store.
//!
//! ```
//! use carawayseam_cli::Difference;
//! use carawayseam_config::Document;
//!
//! let text = include_str!("../../../examples/ben-slama.yaml");
//! let older = Document::from_yaml("older.yaml", text)?;
//! let newer = Document::from_yaml("newer.yaml", &text.replace("share: 40", "share: 50"))?;
//! let difference = Difference::between(&older, &newer);
//! assert_eq!(difference.to_string(), "organisations: changed sfax-fitters (share 40 -> 50)");
//! # Ok::<(), carawayseam_config::DocumentError>(())
//! ```

mod check;
mod commands;
mod dump;
mod error;
mod flags;
mod http;
mod promotion;
mod records;
mod status;
mod store;
mod trial;

use std::io::Write;
use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use carawayseam_node::init_logging;

pub use carawayseam_types::{Difference, SectionDifference};
pub use check::Comparison;
pub use commands::{Done, Summary, run};
pub use dump::Dump;
pub use error::{CliError, Code, ErrorReport};
pub use flags::{ActiveVersion, Command, Flags, StoreFlags};
pub use promotion::{Accepted, Promotion, Proposal, Refused, Reply, Step};
pub use records::{ENVIRONMENTS_PREFIX, TakeBack, Trial, take_back_key, trial_key};
pub use status::{EnvironmentStatus, Progress, RolloutSummary, Status};
pub use store::Retry;
pub use trial::{Fault, Finding, Passed};

/// Width at which help is wrapped, in columns.
const HELP_COLUMNS: usize = 100;
/// The host that log lines name.
const LOG_HOST: &str = "operator";

/// Runs the process.
#[must_use]
pub fn main() -> ExitCode {
    match flags::options().run_inner(Args::current_args()) {
        Ok(flags) => {
            start_logging();
            execute(flags).into()
        }
        Err(ParseFailure::Stderr(message)) => {
            eprintln!("{}", message.monochrome(true));
            Code::Usage.into()
        }
        Err(help) => {
            help.print_message(HELP_COLUMNS);
            Code::Success.into()
        }
    }
}

/// Operators' commands run on no host of the system, so log lines name a fixed one.
fn start_logging() {
    match LOG_HOST.parse() {
        // A command follows no revision.
        Ok(host) => drop(init_logging("carawayseam", &host)),
        Err(e) => eprintln!("carawayseam: no logs: {e}"),
    }
}

fn execute(flags: Flags) -> Code {
    let result = block_on(flags.command).and_then(|done| print(&done, flags.json));
    match result {
        Ok(()) => Code::Success,
        Err(e) => report(e, flags.json),
    }
}

fn block_on(command: Command) -> Result<Done, CliError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| CliError::Runtime { source })?
        .block_on(run(command))
}

fn print(done: &Done, json: bool) -> Result<(), CliError> {
    let text = match serde_json::to_string(done) {
        Ok(text) if json => text,
        _ => done.to_string(),
    };
    writeln!(std::io::stdout().lock(), "{text}").map_err(|source| CliError::Print { source })
}

/// Tells the error, as JSON on the standard output or in words on the standard error.
fn report(error: CliError, json: bool) -> Code {
    let (code, advice) = (error.code(), error.advice());
    let chain = eyre::Report::new(error);
    let message = format!("{chain:#}");
    let typed = chain.downcast_ref::<CliError>();
    match typed.map(|error| serde_json::to_string(&error.report(message.clone()))) {
        Some(Ok(text)) if json => println!("{text}"),
        _ => eprintln!("carawayseam: {message}\n{advice}"),
    }
    code
}
