//! Benches of the control decisions, on a manual clock with fixed seeds.
//!
//! One table, or JSON with `--json`; the exit code is 1 outside the bounds.

mod moves;
mod report;
mod spread;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::report::Report;

/// A part of the bench.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::FromStr)]
enum Part {
    /// Moves between versions.
    Moves,
    /// Spread of configuration and membership.
    Spread,
}

/// Benches of the control decisions.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Run one part only: moves or spread
    #[bpaf(argument("PART"), optional)]
    part: Option<Part>,
    /// Print JSON in place of the table
    json: bool,
}

fn main() -> ExitCode {
    let args = args().run();
    let wanted = |part| args.part.is_none_or(|only| only == part);
    let mut rows = Vec::new();
    if wanted(Part::Moves) {
        rows.extend(moves::run());
    }
    if wanted(Part::Spread) {
        rows.extend(spread::run());
    }
    Report::new(rows).print(args.json)
}
