//! Measures what an entry process adds to a direct call.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_testbed::measure()
}
