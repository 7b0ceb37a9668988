//! Runs gateway processes under faults that are drawn from seeds.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_soak::main()
}
