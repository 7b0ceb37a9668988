//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Serves callers of one host.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Flags {
    /// Settings of this process, as YAML.
    #[bpaf(argument("FILE"))]
    pub(crate) settings: PathBuf,
    /// Check the settings and end.
    pub(crate) check: bool,
}

/// Reads the command line, or ends the process with its help.
pub(crate) fn parse() -> Flags {
    flags().run()
}
