//! `trial`: asks every declared engine whether it is as the document says.

use carawayseam_clients::{CallError, EngineClient};
use carawayseam_config::{BackendKind, Document, EngineSpec};
use carawayseam_external::service::{STATE_PATH, ServerState};
use carawayseam_types::{EngineId, Millis, VersionId};
use compact_str::CompactString;
use futures_util::{StreamExt, stream};
use serde::Serialize;

use crate::error::CliError;
use crate::http;

/// Engines asked at the same time.
const PARALLEL_CHECKS: usize = 64;
const CHECK_TIMEOUT: Millis = Millis(3_000);

/// What was found at one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display)]
#[display("{engine}: {fault}")]
pub struct Finding {
    /// The engine.
    pub engine: EngineId,
    /// What is wrong.
    #[serde(flatten)]
    pub fault: Fault,
}

/// What is wrong at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// It does not answer.
    #[display("does not answer ({reason})")]
    NoAnswer {
        /// The failure.
        reason: CompactString,
    },
    /// Another engine answers at its address.
    #[display("the engine at its address calls itself `{found}`")]
    OtherEngine {
        /// The name it gives itself.
        found: EngineId,
    },
    /// A plain service's server runs another version, and takes no orders.
    #[display("runs version `{found}`, declared is `{declared}`")]
    OtherVersion {
        /// The version declared.
        declared: VersionId,
        /// The version it runs.
        found: VersionId,
    },
}

impl Fault {
    const fn is_silence(&self) -> bool {
        matches!(self, Self::NoAnswer { .. })
    }
}

/// A trial that was passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Passed {
    /// Engines that answered.
    pub engines_checked: u32,
    /// Model engines that will be ordered to load their declared version.
    pub to_load: Vec<EngineId>,
    /// Engines that did not answer, within the number allowed.
    pub missing: Vec<EngineId>,
}

/// What an engine answered.
enum Checked {
    AsDeclared,
    ToLoad,
    Wrong(Fault),
}

/// Asks every engine of `document`; at most `allow_missing` may be silent.
pub(crate) async fn run(document: &Document, allow_missing: u32) -> Result<Passed, CliError> {
    let prober = Prober::new().map_err(|source| CliError::Client { source })?;
    let checks = document
        .engines
        .iter()
        .map(|engine| check(&prober, document, engine));
    let checked: Vec<(EngineId, Checked)> = stream::iter(checks).buffered(PARALLEL_CHECKS).collect().await;
    judge(checked, allow_missing)
}

fn judge(checked: Vec<(EngineId, Checked)>, allow_missing: u32) -> Result<Passed, CliError> {
    let mut engines_checked = 0;
    let (mut to_load, mut findings) = (Vec::new(), Vec::new());
    for (engine, checked) in checked {
        engines_checked += 1;
        match checked {
            Checked::AsDeclared => {}
            Checked::ToLoad => to_load.push(engine),
            Checked::Wrong(fault) => findings.push(Finding { engine, fault }),
        }
    }
    let silent = findings
        .iter()
        .filter(|finding| finding.fault.is_silence())
        .count();
    if silent < findings.len() || silent > allow_missing as usize {
        return Err(CliError::TrialFailed { findings });
    }
    Ok(Passed {
        engines_checked: engines_checked - silent as u32,
        to_load,
        missing: findings.into_iter().map(|finding| finding.engine).collect(),
    })
}

async fn check(prober: &Prober, document: &Document, engine: &EngineSpec) -> (EngineId, Checked) {
    let kind = document.backend(&engine.backend).map(|backend| backend.kind);
    let asked = match kind {
        Some(BackendKind::Service) => prober.service(engine).await,
        _ => prober.model(engine).await,
    };
    let checked = asked.unwrap_or_else(|e| {
        Checked::Wrong(Fault::NoAnswer {
            reason: compact_str::format_compact!("{e}"),
        })
    });
    (engine.name.clone(), checked)
}

struct Prober {
    models: EngineClient,
    services: reqwest::Client,
}

impl Prober {
    fn new() -> Result<Self, CallError> {
        Ok(Self {
            models: EngineClient::new()?,
            services: http::client(CHECK_TIMEOUT).map_err(CallError::NotSent)?,
        })
    }

    async fn model(&self, engine: &EngineSpec) -> Result<Checked, CallError> {
        let state = self.models.state(engine.address).await?;
        let loaded = state.loaded.as_ref();
        let as_declared = loaded.is_some_and(|l| l.model == engine.backend && l.version == engine.version);
        Ok(match state.engine {
            found if found != engine.name => Checked::Wrong(Fault::OtherEngine { found }),
            _ if as_declared => Checked::AsDeclared,
            _ => Checked::ToLoad,
        })
    }

    async fn service(&self, engine: &EngineSpec) -> Result<Checked, CallError> {
        let url = format!("http://{}{STATE_PATH}", engine.address);
        let asked = http::get_json(&self.services, &url).await;
        let state: ServerState = asked.map_err(CallError::ResponseLost)?;
        Ok(match state {
            state if state.engine != engine.name => {
                Checked::Wrong(Fault::OtherEngine { found: state.engine })
            }
            state if state.version != engine.version => Checked::Wrong(Fault::OtherVersion {
                declared: engine.version.clone(),
                found: state.version,
            }),
            _ => Checked::AsDeclared,
        })
    }
}
