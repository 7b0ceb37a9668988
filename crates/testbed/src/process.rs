//! A process that the testbed started and ends again.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

use crate::error::io;
use crate::{Program, Programs, TestbedError};

/// A running process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    listening: Value,
}

impl Process {
    /// Starts a program and waits for the line that tells where it listens.
    ///
    /// Its log goes to `log`, if a file is given.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when it does not start or ends at once.
    pub async fn start(
        programs: &Programs,
        program: Program,
        args: &[String],
        log: Option<&Path>,
    ) -> Result<Self, TestbedError> {
        let stderr = match log {
            Some(file) => std::fs::File::create(file)
                .map_err(io("creating a log file"))?
                .into(),
            None => Stdio::null(),
        };
        let mut child = Command::new(programs.path(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .map_err(io("starting a process"))?;
        let name = format!("{program} {}", args.join(" "));
        let Some(stdout) = child.stdout.take() else {
            return Err(TestbedError::Ended { name });
        };
        let mut lines = BufReader::new(stdout).lines();
        let line = lines
            .next_line()
            .await
            .map_err(io("reading a process's first line"))?;
        let Some(line) = line else {
            return Err(TestbedError::Ended { name });
        };
        match serde_json::from_str(&line) {
            Ok(listening) => Ok(Self {
                name,
                child,
                listening,
            }),
            Err(_) => Err(TestbedError::BadLine { name, line }),
        }
    }

    /// An address that it told under `field`.
    ///
    /// # Errors
    ///
    /// [`TestbedError::BadLine`] when it told none.
    pub fn address(&self, field: &str) -> Result<SocketAddr, TestbedError> {
        let text = self.listening.get(field).and_then(Value::as_str);
        let address = text.and_then(|text| text.parse().ok());
        address.ok_or_else(|| TestbedError::BadLine {
            name: self.name.clone(),
            line: self.listening.to_string(),
        })
    }

    /// Its process id, while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills it at once and waits until it is gone.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Io`] when it cannot be waited for.
    pub async fn kill(&mut self) -> Result<(), TestbedError> {
        self.child.kill().await.map_err(io("killing a process"))
    }

    /// Kills it at once, without waiting.
    pub fn kill_at_once(&self) {
        self.signal(Signal::KILL);
    }

    /// Asks it to stop as the platform does.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Wakes it from a freeze.
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until it ends by itself, and tells whether it ended well.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Io`] when it cannot be waited for.
    pub async fn wait(&mut self) -> Result<bool, TestbedError> {
        let status = self.child.wait().await.map_err(io("waiting for a process"))?;
        Ok(status.success())
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let sent = id.map(|id| kill_process(id, signal));
        if !matches!(sent, Some(Ok(()))) {
            eprintln!("{} had ended", self.name);
        }
    }
}
