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

/// Parses the command line; ends the process with a message if it is invalid or asks for help.
pub(crate) fn parse() -> Flags {
    flags().run()
}
