//! Looks at a fleet, and waits for what is to be seen.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carawayseam_types::{Clock, Millis};
use serde_json::Value;
use tokio::time::sleep;

use super::Fleet;
use crate::TestbedError;

/// How often a condition is looked at again.
const POLL: Millis = Millis(20);
/// How long a condition may take before the testbed gives up; no verdict depends on it.
const PATIENCE: Millis = Millis::from_secs(60);

impl Fleet {
    /// Reads JSON from a process, such as `/stats` of a stand-in or `/dump`.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when it does not answer so.
    pub async fn read(&self, address: SocketAddr, path: &str) -> Result<Value, TestbedError> {
        let answer = self
            .http
            .get(format!("http://{address}{path}"))
            .send()
            .await?
            .error_for_status()?;
        Ok(answer.json().await?)
    }

    /// How often each unrepeatable request ran, over all servers of plain services.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when a server does not answer.
    pub async fn runs(&self) -> Result<BTreeMap<String, u64>, TestbedError> {
        let mut runs = BTreeMap::new();
        for engine in self.engines.values() {
            let counts = self.read(engine.address("listening")?, "/v1/counts").await;
            let Ok(counts) = counts else { continue };
            for run in counts["runs"].as_array().into_iter().flatten() {
                let name = run[0].as_str().unwrap_or_default().to_owned();
                *runs.entry(name).or_insert(0) += run[1].as_u64().unwrap_or_default();
            }
        }
        Ok(runs)
    }

    /// Waits until every entry host says that it is ready.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Never`] after a long wait.
    pub async fn wait_until_ready(&self) -> Result<(), TestbedError> {
        for host in &self.hosts {
            let what = format!("readiness of {}", host.name);
            self.wait_for(&what, || async { self.is_ready(host.admin).await })
                .await?;
        }
        let entries = self.hosts.len();
        for host in &self.hosts {
            let what = format!("{} seeing {entries} entry hosts", host.name);
            self.wait_for(&what, || async { self.entries_seen(host.admin).await == entries })
                .await?;
        }
        Ok(())
    }

    /// Waits until a document's revision is in force on every entry host.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Never`] after a long wait.
    pub async fn wait_for_revision(&self, wanted: u64) -> Result<(), TestbedError> {
        let what = format!("revision {wanted} in force everywhere");
        self.wait_for(&what, || async {
            self.revisions().await.iter().all(|revision| *revision == wanted)
        })
        .await
    }

    /// The document's revision in force on each entry host, 0 where there is none.
    pub async fn revisions(&self) -> Vec<u64> {
        let mut revisions = Vec::new();
        for host in &self.hosts {
            let dump = self.read(host.admin, "/dump").await.unwrap_or_default();
            revisions.push(dump["environments"][0]["revision"].as_u64().unwrap_or(0));
        }
        revisions
    }

    /// Whether the process behind an operators' address is ready.
    pub async fn is_ready(&self, admin: SocketAddr) -> bool {
        let answer = self.http.get(format!("http://{admin}/ready")).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn entries_seen(&self, admin: SocketAddr) -> usize {
        let Ok(dump) = self.read(admin, "/dump").await else {
            return 0;
        };
        let peers = dump["membership"]["peers"].as_array();
        let alive = |peer: &&Value| peer["role"] == "entry" && peer["state"] == "alive";
        // A dump tells the process itself apart from its peers.
        peers.map_or(0, |peers| 1 + peers.iter().filter(alive).count())
    }

    /// Waits for a condition, looking again and again.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Never`] after a long wait.
    pub async fn wait_for<F: Future<Output = bool>>(
        &self,
        what: &str,
        condition: impl Fn() -> F,
    ) -> Result<(), TestbedError> {
        let clock = Clock::system();
        let until = clock.now() + PATIENCE;
        while clock.now() < until {
            if condition().await {
                return Ok(());
            }
            sleep(POLL.to_duration()).await;
        }
        Err(TestbedError::Never {
            what: what.to_owned(),
        })
    }

    /// The log of a process, such as `entry-a1-entry`.
    #[must_use]
    pub fn log(&self, process: &str) -> String {
        std::fs::read_to_string(self.log_file(process)).unwrap_or_default()
    }
}
