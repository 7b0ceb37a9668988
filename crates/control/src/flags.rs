//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Holds leases, orders engines and drives moves on one entry host.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub(crate) struct Flags {
    /// Settings of this process, as YAML.
    #[bpaf(argument("FILE"))]
    pub(crate) settings: PathBuf,
}

/// Reads the command line, or ends the process with its help.
pub(crate) fn parse() -> Flags {
    flags().run()
}
