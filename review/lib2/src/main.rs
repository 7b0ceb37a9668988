//! Plays one case of the review and exits with 0 if its rule held, 1 if it was broken, 2 if the case could not run.

mod deadly;
mod deadly_prompt;
mod http;
mod memory;
mod quota;
mod world;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use tokio::time::timeout;

use world::{Failed, Record};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, dir, tmp] = args.as_slice() else {
        eprintln!("usage: review-cases-2 CASE ROOT DIR TMP");
        return ExitCode::from(2);
    };
    let (root, dir, tmp) = (PathBuf::from(root), PathBuf::from(dir), PathBuf::from(tmp));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(2);
    };
    let played = runtime.block_on(async {
        let record = Record::create(&dir.join("record.txt"))?;
        let played = play(case, &root, &tmp, &record, trouble);
        match timeout(Duration::from_secs(100), played).await {
            Ok(Ok(held)) => {
                record.say(if held {
                    "the rule held"
                } else {
                    "the rule was broken"
                });
                Ok(held)
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err("the case took too long".to_owned()),
        }
    });
    // Ends the gateways, which are killed when their handles are dropped.
    drop(runtime);
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

async fn play(case: &str, root: &Path, tmp: &Path, record: &Record, trouble: bool) -> Result<bool, Failed> {
    match case {
        "quota-kill" => {
            let kill = quota::Trouble::Kill { down_ms: 1_000 };
            quota::run(root, tmp, record, trouble.then_some(kill)).await
        }
        "quota-freeze" => {
            let freeze = quota::Trouble::Freeze { for_ms: 3_500 };
            quota::run(root, tmp, record, trouble.then_some(freeze)).await
        }
        "memory-of-prompts" => memory::run(root, tmp, record, trouble).await,
        "deadly-prompt" => deadly_prompt::run(root, tmp, record, trouble).await,
        "deadly-request" => deadly::run(root, tmp, record, trouble).await,
        other => Err(format!("no case {other}")),
    }
}
