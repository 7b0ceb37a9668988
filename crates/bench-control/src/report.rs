//! Rows of figures with their bounds, printed as one table or as JSON.

use std::fs;
use std::io::{self, Write};
use std::process::ExitCode;

use derive_more::Display;
use serde::Serialize;

/// Lists the bounds that fail for a known fault.
const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";
const KNOWN_RED_PREFIX: &str = "bench: ";

/// What a figure must keep.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Bound {
    /// At most this.
    #[display("<= {_0}")]
    AtMost(f64),
    /// At least this.
    #[display(">= {_0}")]
    AtLeast(f64),
    /// A baseline or plain information; it is not judged.
    #[display("-")]
    Unbounded,
}

impl Bound {
    fn holds(self, value: f64) -> bool {
        match self {
            Self::AtMost(most) => value <= most,
            Self::AtLeast(least) => value >= least,
            Self::Unbounded => true,
        }
    }
}

/// One figure of one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Row {
    /// The scenario.
    pub scenario: String,
    /// The policy that was measured: the project's own or a baseline.
    pub policy: &'static str,
    /// What is measured, as known-red entries name it.
    pub figure: &'static str,
    /// The value.
    pub value: f64,
    /// The value's unit.
    pub unit: &'static str,
    /// What it must keep.
    pub bound: Bound,
}

impl Row {
    fn name(&self) -> String {
        format!("{}/{}", self.scenario, self.figure)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
enum Verdict {
    #[display("ok")]
    Ok,
    #[display("KNOWN RED")]
    KnownRed,
    #[display("OUT OF BOUNDS")]
    OutOfBounds,
}

#[derive(Debug, Serialize)]
struct Judged {
    #[serde(flatten)]
    row: Row,
    verdict: Verdict,
}

/// All rows with their verdicts.
#[derive(Debug)]
pub(crate) struct Report {
    rows: Vec<Judged>,
}

impl Report {
    /// Judges the rows against their bounds and the list of known faults.
    pub(crate) fn new(rows: Vec<Row>) -> Self {
        let known_red = read_known_red();
        let rows = rows.into_iter().map(|row| judge(row, &known_red)).collect();
        Self { rows }
    }

    /// Prints the rows; the exit code says whether all bounds hold.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        let mut out = io::stdout().lock();
        let printed = if json {
            self.write_json(&mut out)
        } else {
            self.write_table(&mut out)
        };
        // A reader may close early, as `head` does, and then has no verdict.
        if let Err(e) = printed.and_then(|()| out.flush()) {
            eprintln!("the figures cannot be printed: {e}");
            return ExitCode::FAILURE;
        }
        let broken = self.rows.iter().any(|row| row.verdict == Verdict::OutOfBounds);
        ExitCode::from(u8::from(broken))
    }

    fn write_json(&self, out: &mut impl Write) -> io::Result<()> {
        for row in &self.rows {
            let line = serde_json::to_string(row)?;
            writeln!(out, "{line}")?;
        }
        Ok(())
    }

    fn write_table(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(
            out,
            "{:<38} {:<16} {:<34} {:>12} {:<9} {:<10} verdict",
            "scenario", "policy", "figure", "value", "unit", "bound"
        )?;
        for Judged { row, verdict } in &self.rows {
            writeln!(
                out,
                "{:<38} {:<16} {:<34} {:>12.3} {:<9} {:<10} {verdict}",
                row.scenario,
                row.policy,
                row.figure,
                row.value,
                row.unit,
                row.bound.to_string()
            )?;
        }
        Ok(())
    }
}

fn judge(row: Row, known_red: &[String]) -> Judged {
    let verdict = match &row {
        row if row.bound.holds(row.value) => Verdict::Ok,
        row if known_red.contains(&row.name()) => Verdict::KnownRed,
        _ => Verdict::OutOfBounds,
    };
    Judged { row, verdict }
}

fn read_known_red() -> Vec<String> {
    let text = fs::read_to_string(KNOWN_RED_FILE).unwrap_or_default();
    let names = text
        .lines()
        .filter_map(|line| line.strip_prefix(KNOWN_RED_PREFIX));
    names.map(|name| name.trim().to_owned()).collect()
}
