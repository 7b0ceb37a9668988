//! The entry process, which serves callers.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_entry::main()
}
