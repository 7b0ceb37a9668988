//! Makes a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carawayseam_config::{BackendKind, Document, EngineSpec};
use carawayseam_external::hosts::{HostList, HostState};
use carawayseam_types::{Millis, Revision};
use tempfile::TempDir;

use super::{Fleet, FleetSettings};
use crate::error::io;
use crate::{Caller, Process, Program, Programs, TestbedError};

/// Makes a [`Fleet`].
#[derive(Debug)]
pub struct FleetBuilder {
    pub(super) programs: Programs,
    pub(super) document: String,
    pub(super) hosts: Vec<(String, String)>,
    pub(super) engine_args: Vec<String>,
    pub(super) service_args: Vec<String>,
    pub(super) drain_notice: Millis,
    pub(super) control: bool,
}

impl FleetBuilder {
    /// Adds an entry host in an availability zone.
    #[must_use]
    pub fn host(mut self, name: &str, zone: &str) -> Self {
        self.hosts.push((name.to_owned(), zone.to_owned()));
        self
    }

    /// Arguments for every stand-in engine.
    #[must_use]
    pub fn engine_args(mut self, args: &[&str]) -> Self {
        self.engine_args = args.iter().map(|arg| (*arg).to_owned()).collect();
        self
    }

    /// Arguments for every stand-in of a plain service's server.
    #[must_use]
    pub fn service_args(mut self, args: &[&str]) -> Self {
        self.service_args = args.iter().map(|arg| (*arg).to_owned()).collect();
        self
    }

    /// How long a planned stop tells the balancer before it refuses new work.
    #[must_use]
    pub const fn drain_notice(mut self, notice: Millis) -> Self {
        self.drain_notice = notice;
        self
    }

    /// Leaves out the control processes.
    #[must_use]
    pub const fn without_control(mut self) -> Self {
        self.control = false;
        self
    }

    /// Starts everything, promotes the document and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when a process does not start.
    pub async fn start(self) -> Result<Fleet, TestbedError> {
        let template = Document::from_yaml("template", &self.document)?;
        let folder = TempDir::new().map_err(io("creating a folder"))?;
        let listen = "--listen=127.0.0.1:0".to_owned();
        let start = |program, args: Vec<String>| {
            let programs = self.programs.clone();
            async move { Process::start(&programs, program, &args, None).await }
        };
        let store = start(Program::Store, vec![listen.clone()]).await?;
        let host_list = start(Program::Hosts, vec![listen.clone()]).await?;
        let weights = start(Program::Weights, vec![listen.clone(), "--rate=50".to_owned()]).await?;
        let mut engines = BTreeMap::new();
        let mut document = self.document.clone();
        for spec in &template.engines {
            let (program, args) = self.engine_command(&template, spec, weights.address("listening")?);
            let engine = start(program, args).await?;
            let address = engine.address("listening")?;
            document = document.replace(&spec.address.to_string(), &address.to_string());
            engines.insert(spec.name.to_string(), engine);
        }
        let http = reqwest::Client::builder().no_proxy().build()?;
        let environment = template.environment.to_string();
        let mut fleet = Fleet {
            store,
            host_list,
            weights,
            engines,
            hosts: Vec::new(),
            document,
            caller: Caller::new(&environment)?,
            folder,
            listed: HostList::default(),
            http,
            programs: self.programs.clone(),
            settings: FleetSettings {
                environment,
                drain_notice: self.drain_notice,
                control: self.control,
            },
        };
        fleet
            .promote_directly(&fleet.document.clone(), Revision(1))
            .await?;
        for spec in &template.engines {
            fleet
                .list_host(spec.name.as_str(), spec.zone.as_str(), HostState::Live)
                .await?;
        }
        for (name, zone) in &self.hosts {
            fleet.add_host(name, zone).await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn engine_command(
        &self,
        document: &Document,
        spec: &EngineSpec,
        weights: SocketAddr,
    ) -> (Program, Vec<String>) {
        let kind = document.backend(&spec.backend).map(|backend| backend.kind);
        let mut args = vec![
            "--listen=127.0.0.1:0".to_owned(),
            format!("--name={}", spec.name),
            format!("--zone={}", spec.zone),
            format!("--version={}", spec.version),
        ];
        if kind == Some(BackendKind::Service) {
            args.extend(self.service_args.iter().cloned());
            return (Program::Service, args);
        }
        args.push(format!("--model={}", spec.backend));
        args.push(format!("--weights=http://{weights}"));
        if spec.checks_fencing {
            args.push("--checks-fencing".to_owned());
        }
        args.extend(self.engine_args.iter().cloned());
        (Program::Engine, args)
    }
}
