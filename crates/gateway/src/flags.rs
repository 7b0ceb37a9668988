//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;
use carawayseam_types::Bytes;

/// Serves callers of one host, or checks a configuration.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Invocation {
    /// Checks a configuration without sending it, and ends.
    CheckConfiguration {
        /// Check this configuration as the store would hold it, and end; exit code 3 if it has errors
        #[bpaf(argument("FILE"))]
        check_configuration: PathBuf,
        /// Compare with the configuration in this file, which is in force
        #[bpaf(argument("FILE"), optional)]
        in_force: Option<PathBuf>,
    },
    /// Serves callers.
    Serve {
        /// The flags.
        #[bpaf(external(flags))]
        flags: Flags,
    },
}

/// The flags of a serving process.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Flags {
    /// Settings of this process, as YAML.
    #[bpaf(argument("FILE"))]
    pub(crate) settings: PathBuf,
    /// Memory that the process may use, such as 110MiB; in place of the settings' `memory`.
    #[bpaf(argument("SIZE"), optional)]
    pub(crate) memory: Option<Bytes>,
    /// Check the settings and end.
    pub(crate) check: bool,
}

/// Parses the command line; ends the process with a message if it is invalid or asks for help.
pub(crate) fn parse() -> Invocation {
    invocation().run()
}
