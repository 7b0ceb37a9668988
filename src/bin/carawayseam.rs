//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_cli::main()
}
