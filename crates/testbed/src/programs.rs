//! Where the programs are.

use std::path::{Path, PathBuf};

use crate::TestbedError;
use crate::error::io;

/// A program of the workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Program {
    /// The entry process.
    #[display("carawayseam-entry")]
    Entry,
    /// The control process.
    #[display("carawayseam-control")]
    Control,
    /// The operators' command line.
    #[display("carawayseam")]
    Cli,
    /// The load generator.
    #[display("carawayseam-loadgen")]
    LoadGenerator,
    /// The stand-in of a model engine.
    #[display("standin-engine")]
    Engine,
    /// The stand-in of a plain service's server.
    #[display("standin-service")]
    Service,
    /// The stand-in of the key-value service.
    #[display("standin-kv")]
    Store,
    /// The stand-in of the host list.
    #[display("standin-hosts")]
    Hosts,
    /// The stand-in of the weight store.
    #[display("standin-weights")]
    Weights,
}

/// A folder with all programs.
#[derive(Debug, Clone)]
pub struct Programs(PathBuf);

impl Programs {
    /// The folder of the running program.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when the running program cannot be found.
    pub fn beside_this_one() -> Result<Self, TestbedError> {
        let me = std::env::current_exe().map_err(io("the running program's path"))?;
        Ok(Self(me.parent().map_or_else(PathBuf::new, Path::to_path_buf)))
    }

    /// The folder of a program whose path is known, as test programs are told it.
    #[must_use]
    pub fn beside(program: &str) -> Self {
        Self(
            Path::new(program)
                .parent()
                .map_or_else(PathBuf::new, Path::to_path_buf),
        )
    }

    pub(crate) fn path(&self, program: Program) -> Result<PathBuf, TestbedError> {
        let path = self.0.join(program.to_string());
        if path.exists() {
            Ok(path)
        } else {
            Err(TestbedError::NoProgram { path })
        }
    }
}
