//! Callers that send requests and check what they get.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use carawayseam_platform_standins::{Client, Outcome, ReceivedResponse};
use carawayseam_types::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::metered::{self, METERED_KEY};
use crate::recorder::Recorder;
use crate::request::{Answer, RequestId, Route};
use crate::servers::EVENTS;

/// The longest pause between two requests of a caller.
const LONGEST_PAUSE_MS: u64 = 40;
/// The part of all requests that come from the organisation with a quota.
const METERED_SHARE: f64 = 0.2;
/// The pause after a gateway could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(60);
/// The routes' time limit.
pub(crate) const TIME_LIMIT: Millis = Millis(1_500);
/// Requests whose answers the callers wait for beyond the run's end.
const LAST_REQUESTS: Millis = Millis(500);

/// A caller's settings.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) number: usize,
    pub(crate) keys: Arc<Vec<String>>,
    pub(crate) recorder: Recorder,
    pub(crate) ids: Arc<AtomicU64>,
    pub(crate) until: Millis,
}

impl Caller {
    /// Sends requests on one connection until the run ends.
    pub(crate) async fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut client = Client::new(self.gateway.callers);
        while self.recorder.now() + LAST_REQUESTS < self.until {
            let pause = if client.connect().await {
                self.send(&mut client, &mut rng).await;
                Duration::from_millis(rng.random_range(0..LONGEST_PAUSE_MS))
            } else {
                UNREACHABLE_PAUSE
            };
            sleep(pause).await;
        }
    }

    /// The next request's route and the number of its key.
    fn draw(&self, rng: &mut StdRng) -> (Route, usize) {
        if rng.random_bool(METERED_SHARE) {
            return (Route::Calls, METERED_KEY);
        }
        let route = match rng.random_range(0..10) {
            0..=2 => Route::Calls,
            3 | 4 => Route::Reads,
            5 | 6 => Route::Guides,
            _ => Route::Steps,
        };
        (route, rng.random_range(0..self.keys.len()))
    }

    fn key(&self, number: usize) -> &str {
        self.keys.get(number).map_or(metered::KEY, String::as_str)
    }

    async fn send(&self, client: &mut Client, rng: &mut StdRng) {
        let id = RequestId(self.ids.fetch_add(1, Ordering::Relaxed));
        let (route, key) = self.draw(rng);
        let gateway = (self.number, self.gateway.incarnation());
        self.recorder
            .note(|now, ledger| ledger.sent(now, id, gateway, route, key));
        let path = format!("/{route}/{id}");
        let outcome = client
            .send(&path, &id.to_string(), self.key(key), TIME_LIMIT.0)
            .await;
        let answer = judge(route, id, outcome);
        self.recorder
            .judge(|now, ledger| ledger.answered(now, id, &answer, TIME_LIMIT));
    }
}

fn judge(route: Route, id: RequestId, outcome: Outcome) -> Answer {
    let reply = match outcome {
        Outcome::Unreachable | Outcome::Disconnected => return Answer::Cut,
        Outcome::Responded(reply) => reply,
    };
    let id = id.to_string();
    if reply.request_id.as_ref().is_some_and(|named| *named != id) {
        return Answer::Wrong(format!("it is an answer to {:?}", reply.request_id));
    }
    if reply.guarantees_not_run() {
        return Answer::Refused {
            status: reply.status,
            says_when: reply.has_retry_after,
        };
    }
    if !reply.is_success() {
        return Answer::Failure(reply.status);
    }
    if !reply.is_signed {
        return Answer::Wrong("a success without a server's signature".to_owned());
    }
    match route {
        Route::Guides => judge_stream(&reply, &id),
        _ if !reply.is_complete => Answer::Cut,
        _ if reply.body == format!("{id} done") => Answer::Success,
        _ => Answer::Wrong(format!("its body is {:?}", reply.body)),
    }
}

/// Events must follow each other from the first, and be complete where the stream ends as if it were.
fn judge_stream(reply: &ReceivedResponse, id: &str) -> Answer {
    let text = String::from_utf8_lossy(&reply.body);
    let mut expected = 1;
    let (whole, partial) = match text.rfind("\n\n") {
        Some(end) => text.split_at(end + 2),
        None => ("", &*text),
    };
    for event in whole.split_terminator("\n\n") {
        if event != format!("id: {expected}\ndata: {id}") {
            return Answer::Wrong(format!("event {expected} is {event:?}"));
        }
        expected += 1;
    }
    match reply.is_complete {
        true if expected == EVENTS + 1 && partial.is_empty() => Answer::Success,
        true => Answer::Wrong(format!(
            "the stream ends as complete after {} events",
            expected - 1
        )),
        false => Answer::Cut,
    }
}
