//! Watches one environment's keys in the store.

use carawayseam_clients::KvClient;
use carawayseam_types::{EnvironmentId, Millis};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::state::{ControlHandle, Note};

/// How long the store holds an unanswered watch.
pub(crate) const WATCH_WAIT: Millis = Millis(5_000);
/// How much longer an answer may be on its way before the connection counts as silent.
const WATCH_GRACE: Millis = Millis(1_500);
/// The pause after a failed call, so that an outage is not met with a storm.
const PAUSE: Millis = Millis(500);

/// The prefix of an environment's keys.
pub(crate) fn prefix_of(environment: &EnvironmentId) -> String {
    format!("environments/{environment}/")
}

/// A running watch; dropping it closes its connection.
#[derive(Debug)]
pub(crate) struct Watch(JoinHandle<()>);

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts a watch that first reads all keys unless it continues past a revision.
pub(crate) fn start(
    store: KvClient,
    environment: EnvironmentId,
    after: u64,
    control: ControlHandle,
) -> Watch {
    Watch(tokio::spawn(run(store, environment, after, control)))
}

async fn run(store: KvClient, environment: EnvironmentId, mut after: u64, control: ControlHandle) {
    let prefix = prefix_of(&environment);
    loop {
        let limit = (WATCH_WAIT + WATCH_GRACE).to_duration();
        let asked = async {
            if after == 0 {
                store.range(&prefix).await
            } else {
                store.watch(&prefix, after, WATCH_WAIT).await
            }
        };
        match timeout(limit, asked).await {
            Ok(Ok(range)) => {
                after = after.max(range.revision);
                control.tell(Note::Watched(environment.clone(), range));
            }
            Ok(Err(e)) => {
                log::info!(environment:% = environment; "the store was not watched: {e}");
                sleep(PAUSE.to_duration()).await;
            }
            Err(_) => log::warn!(environment:% = environment; "a silent watch is opened anew"),
        }
    }
}
