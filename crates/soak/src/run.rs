//! One run, from its seed to its verdict.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use carawayseam_types::Millis;
use eyre::WrapErr;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::broken::Broken;
use crate::callers::Caller;
use crate::recorder::Recorder;
use crate::schedule::{Schedule, Size};
use crate::world::World;

/// Callers of each gateway.
const CALLERS: u64 = 4;
const KEYS: usize = 6;
/// Ids are long enough not to stand in other text by chance.
const FIRST_ID: u64 = 1_000_000;
/// The share of requests that must be served in calm.
const LEAST_SERVED: f64 = 0.95;

/// How a run ended.
#[derive(Debug)]
pub struct Verdict {
    /// What happened when.
    pub schedule: Schedule,
    /// What took part.
    pub size: Size,
    /// The first broken promise, and when it was seen.
    pub broken: Option<(Millis, Broken)>,
    /// Requests that callers sent.
    pub requests: usize,
    /// Served and sent in calm.
    pub calm: (u32, u32),
    /// Where logs and settings lie, if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// Plays the faults of a seed against the gateway program.
///
/// # Errors
///
/// When a process, proxy or server cannot be started or stopped.
pub async fn run(program: &Path, seed: u64, size: Size) -> eyre::Result<Verdict> {
    let dir = tempfile::tempdir().wrap_err("no folder for logs")?;
    let schedule = Schedule::draw(seed, size);
    let recorder = Recorder::new();
    let played = play(program, dir.path(), &schedule, size, &recorder).await;
    recorder.judge(|_, ledger| ledger.finish(LEAST_SERVED));
    let broken = recorder.broken();
    let (requests, calm) = recorder.note(|_, ledger| (ledger.request_count(), ledger.calm()));
    let is_kept = broken.is_some() || played.is_err();
    let logs = is_kept.then(|| dir.keep());
    if let (Err(e), Some(logs)) = (played, &logs) {
        return Err(e.wrap_err(format!("seed {seed}; logs in {}", logs.display())));
    }
    Ok(Verdict {
        schedule,
        size,
        broken,
        requests,
        calm,
        logs,
    })
}

/// Starts everything, and plays until the run ends or a promise is broken.
async fn play(
    program: &Path,
    dir: &Path,
    schedule: &Schedule,
    size: Size,
    recorder: &Recorder,
) -> eyre::Result<()> {
    let seed = schedule.seed;
    let keys: Arc<Vec<String>> = Arc::new((0..KEYS).map(|key| format!("key-{seed}-{key}")).collect());
    let world = World::start(program, dir, size, &keys, recorder.clone()).await?;
    let began = recorder.now();
    let until = began + size.length;
    let mut callers = start_callers(&world, &keys, seed, until);
    let ended = tokio::select! {
        ended = play_faults(&world, schedule, began, &mut callers) => ended,
        () = recorder.wait_for_broken() => Ok(()),
    };
    callers.shutdown().await;
    ended
}

fn start_callers(world: &World, keys: &Arc<Vec<String>>, seed: u64, until: Millis) -> JoinSet<()> {
    let ids = Arc::new(AtomicU64::new(FIRST_ID));
    let mut callers = JoinSet::new();
    for (number, gateway) in world.gateways.iter().enumerate() {
        for place in 0..CALLERS {
            let caller = Caller {
                gateway: Arc::clone(gateway),
                number,
                keys: Arc::clone(keys),
                recorder: world.recorder.clone(),
                ids: Arc::clone(&ids),
                until,
            };
            callers.spawn(caller.run(seed ^ (number as u64 * CALLERS + place)));
        }
    }
    callers
}

/// Lets all faults happen, and waits for their ends and for the callers.
async fn play_faults(
    world: &Arc<World>,
    schedule: &Schedule,
    began: Millis,
    callers: &mut JoinSet<()>,
) -> eyre::Result<()> {
    let mut faults = JoinSet::new();
    for entry in schedule.entries.iter().copied() {
        let (world, recorder) = (Arc::clone(world), world.recorder.clone());
        faults.spawn(async move {
            let wait = (began + entry.at).since(recorder.now());
            sleep(wait.to_duration()).await;
            world
                .apply(entry)
                .await
                .wrap_err_with(|| format!("{:?}", entry.fault))
        });
    }
    while let Some(ended) = callers.join_next().await {
        ended.wrap_err("a caller failed")?;
    }
    while let Some(ended) = faults.try_join_next() {
        ended.wrap_err("a fault failed")??;
    }
    faults.shutdown().await;
    Ok(())
}
