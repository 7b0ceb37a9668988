//! A small environment of stand-ins, with files for its document.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use carawayseam_cli::{CliError, Command, Done, StoreFlags, run};
use carawayseam_standins::{Running, engine, kv, service};
use carawayseam_types::{EnvironmentId, Millis, RolloutId};

static FILES: AtomicU32 = AtomicU32::new(0);

/// A store, an engine and a service, and the document that declares them.
pub struct World {
    pub store: Running,
    pub engine: Running,
    pub service: Running,
}

impl World {
    pub async fn start() -> Self {
        let model = engine::Config::local(name("model-a"), name("planner"), name("planner-1"));
        let passes = service::Config {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name("passes-a"),
            zone: None,
            version: name("passes-1"),
            service_time: Millis(1),
        };
        Self {
            store: kv::serve(kv::Config::local()).await.expect("a free port"),
            engine: engine::serve(model).await.expect("a free port"),
            service: service::serve(passes).await.expect("a free port"),
        }
    }

    pub fn yaml(&self) -> String {
        format!(
            "environment: khao-rang
zones: [saraburi-a]
tiers: [rider, desk]
organisations:
  - {{name: gate, share: 45, tiers: [rider]}}
backends:
  - {{name: planner, kind: model, version: planner-1}}
  - {{name: passes, kind: service, version: passes-1}}
engines:
  - {{name: model-a, backend: planner, version: planner-1, zone: saraburi-a, address: \"{0}\"}}
  - {{name: model-b, backend: planner, version: planner-2, zone: saraburi-a, address: \"{0}\"}}
  - {{name: passes-a, backend: passes, version: passes-1, zone: saraburi-a, address: \"{1}\"}}
routes:
  - {{name: trip-plan, backend: planner, idempotent: true, max_output: 300}}
  - {{name: renew, backend: passes, idempotent: false}}
moves:
  - {{name: planner-to-2, backend: planner, from: planner-1, to: planner-2, within: 1h}}
",
            self.engine.address(),
            self.service.address(),
        )
    }

    /// A document whose every engine answers.
    pub fn plain_yaml(&self) -> String {
        let yaml = self.yaml();
        let kept = yaml
            .lines()
            .filter(|line| !line.contains("planner-2") && !line.starts_with("moves"));
        kept.collect::<Vec<_>>().join("\n")
    }

    pub fn flags(&self) -> StoreFlags {
        StoreFlags {
            url: self.store.url(),
            attempts: 5,
            retry_wait: Millis(1),
        }
    }

    pub async fn trial(&self, file: PathBuf) -> Result<Done, CliError> {
        let store = self.flags();
        run(Command::Trial {
            store,
            allow_missing: 0,
            file,
        })
        .await
    }

    pub async fn promote(&self, file: PathBuf, operator: &str) -> Result<Done, CliError> {
        let store = self.flags();
        let operator = operator.into();
        run(Command::Promote {
            store,
            operator,
            file,
        })
        .await
    }

    pub async fn take_back(&self, environment: &str, move_id: &str) -> Result<Done, CliError> {
        run(Command::TakeBack {
            store: self.flags(),
            environment: name::<EnvironmentId>(environment),
            operator: "malee".into(),
            move_id: name::<RolloutId>(move_id),
        })
        .await
    }

    pub async fn status(&self, wait: bool, timeout: Millis) -> Result<Done, CliError> {
        let environment = Some(name("khao-rang"));
        let store = self.flags();
        run(Command::Status {
            store,
            environment,
            wait,
            timeout,
        })
        .await
    }
}

/// Writes a file that no other test uses.
pub fn file(text: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("document-{}-{number}.yaml", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the build's directory can be written");
    path
}

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}
