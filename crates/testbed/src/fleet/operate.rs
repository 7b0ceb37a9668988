//! What operators and callers do to a fleet.

use carawayseam_clients::PutOutcome;
use carawayseam_config::{BackendKind, Document};
use carawayseam_external::kv::PutRequest;
use carawayseam_node::{CurrentDocument, current_document_key};
use carawayseam_types::{Clock, Digest, Nonce, Revision};
use serde_json::Value;

use super::Fleet;
use crate::error::io;
use crate::{Program, TestbedError};

impl Fleet {
    /// Writes a document as promoted, without the operators' command line.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when the store refuses it.
    pub async fn promote_directly(&self, yaml: &str, revision: Revision) -> Result<(), TestbedError> {
        let store = self.store_client()?;
        let key = current_document_key(&self.settings.environment.parse()?);
        let current = CurrentDocument {
            revision,
            digest: Digest::of(yaml.as_bytes()),
            yaml: yaml.to_owned(),
            nonce: Nonce(revision.0),
            promoted_at: Clock::system().now(),
            operator: "testbed".to_owned(),
        };
        let expect = store.get(&key).await?.map_or(0, |entry| entry.revision);
        let put = PutRequest::swap(key, serde_json::to_string(&current)?, expect);
        match store.put(&put).await? {
            PutOutcome::Written { .. } => Ok(()),
            PutOutcome::Conflict(_) | PutOutcome::OverBudget => Err(TestbedError::Store),
        }
    }

    /// Runs the operators' command line, and gives its exit code and what it printed.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when it cannot be run.
    pub async fn operate(&self, args: &[&str]) -> Result<(Option<i32>, String), TestbedError> {
        let output = tokio::process::Command::new(self.programs.path(Program::Cli)?)
            .args(args)
            .arg(format!("--store=http://{}", self.store.address("listening")?))
            .output()
            .await
            .map_err(io("running the command line"))?;
        let mut printed = String::from_utf8_lossy(&output.stdout).into_owned();
        printed.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok((output.status.code(), printed))
    }

    /// Runs the load generator against every entry host, and gives its exit code and report.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when it cannot be run or prints no report.
    pub async fn load(&self, args: &[&str]) -> Result<(Option<i32>, Value), TestbedError> {
        let file = self.write_document("load.yaml", &self.document)?;
        let mut command = tokio::process::Command::new(self.programs.path(Program::LoadGenerator)?);
        command.arg("--json").arg(format!("--document={file}")).args(args);
        for host in &self.hosts {
            command.arg(format!("--entry=http://{}", host.callers));
        }
        let document = Document::from_yaml("load.yaml", &self.document)?;
        for spec in &document.engines {
            let kind = document.backend(&spec.backend).map(|backend| backend.kind);
            let flag = if kind == Some(BackendKind::Service) {
                "--service"
            } else {
                "--engine"
            };
            command.arg(format!("{flag}=http://{}", spec.address));
        }
        let output = command.output().await.map_err(io("running the load generator"))?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        match serde_json::from_str(&text) {
            Ok(report) => Ok((output.status.code(), report)),
            Err(_) => Err(TestbedError::Command {
                command: "loadgen".to_owned(),
                output: format!("{text}{}", String::from_utf8_lossy(&output.stderr)),
            }),
        }
    }

    /// Writes a document to a file, for the operators' command line.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Io`] when it cannot be written.
    pub fn write_document(&self, name: &str, yaml: &str) -> Result<String, TestbedError> {
        let path = self.folder.path().join(name);
        std::fs::write(&path, yaml).map_err(io("writing a document"))?;
        Ok(path.display().to_string())
    }
}
