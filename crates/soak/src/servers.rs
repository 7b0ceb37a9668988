//! Backend servers that tell the ledger what they run, and misbehave on demand.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use carawayseam_platform_standins::documents::{SLOTS, ServerEntry};
use carawayseam_platform_standins::engine::{
    chunk, draining, event, misdirected, rate_limited, rejected, rejected_with_retry_after, response_to,
    stream_head,
};
use carawayseam_platform_standins::{Engine, ReceivedRequest, Step};
use carawayseam_testbed::{Relay, TestbedError};
use carawayseam_types::Millis;
use rand::RngExt;

use crate::limited;
use crate::recorder::Recorder;
use crate::request::RequestId;
use crate::schedule::Misbehaviour;

/// Events of a stream.
pub(crate) const EVENTS: u32 = 6;
/// The time between two events, in milliseconds.
const EVENT_GAP_MS: u64 = 25;
/// The same in long streams, which are still open when a planned stop goes on.
const LONG_GAP_MS: u64 = 200;
const LONG_STREAM_SHARE: f64 = 0.2;
/// How long a plain answer takes, in milliseconds.
const SHORTEST_WORK_MS: u64 = 5;
const LONGEST_WORK_MS: u64 = 60;
/// The share of requests that a misbehaving server harms.
const HARMED_SHARE: f64 = 0.5;
/// How long a server that closes wants nothing.
const CLOSED_FOR: Millis = Millis(1_500);
/// The share of failures in a bad version's answers.
const BAD_VERSION_SHARE: f64 = 0.5;

/// What a server is.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// Numbers servers of all starts.
    pub(crate) number: usize,
    pub(crate) backend: String,
    pub(crate) version: String,
    /// The configuration whose requests come here, for the backends of the steps route.
    pub(crate) step: Option<usize>,
    /// Whether half of its answers are failures.
    pub(crate) is_bad: bool,
}

impl Identity {
    pub(crate) fn id(&self) -> String {
        format!("i-{:04}", self.number)
    }

    /// Whether a request names this server, or none.
    fn is_addressed_by(&self, received: &ReceivedRequest) -> bool {
        received.expected_server().is_none_or(|id| id == self.id())
    }
}

/// A server with its proxy.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) identity: Identity,
    pub(crate) link: Relay,
    engine: Engine,
    conduct: Arc<Mutex<Conduct>>,
}

/// How a server behaves now.
#[derive(Debug, Clone, Copy, Default)]
struct Conduct {
    trouble: Option<Misbehaviour>,
    /// Whether its answers say that it leaves.
    says_leaving: bool,
    /// Whether its answers report a rate limit.
    is_limited: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    pub(crate) async fn start(identity: Identity, recorder: Recorder) -> Result<Self, TestbedError> {
        let conduct = Arc::new(Mutex::new(Conduct::default()));
        let behaves = Arc::clone(&conduct);
        let me = identity.clone();
        let engine = Engine::start(move |received, _| {
            let conduct = *lock(&behaves);
            let mut steps = serve(&me, &recorder, received, conduct);
            if conduct.is_limited && me.is_addressed_by(received) {
                report_limit(&mut steps);
            }
            steps
        });
        let engine = engine.await;
        let link = Relay::start(engine.address).await?;
        Ok(Self {
            identity,
            link,
            engine,
            conduct,
        })
    }

    pub(crate) fn misbehave(&self, trouble: Option<Misbehaviour>) {
        lock(&self.conduct).trouble = trouble;
    }

    /// Says in all answers from now on that it leaves.
    pub(crate) fn say_leaving(&self) {
        lock(&self.conduct).says_leaving = true;
    }

    /// Reports a rate limit in all answers from now on, or no longer does.
    pub(crate) fn limit(&self, is_limited: bool) {
        lock(&self.conduct).is_limited = is_limited;
    }

    /// Ends at once, with all its connections.
    pub(crate) fn stop(&self) {
        self.engine.stop();
    }

    /// Its entry in the store.
    pub(crate) fn entry(&self, draining: bool) -> ServerEntry {
        ServerEntry {
            backend: self.identity.backend.clone(),
            address: self.address(),
            version: self.identity.version.clone(),
            draining,
            started_unix_ms: self.identity.number as u64 + 1,
            slots: SLOTS,
        }
    }

    const fn address(&self) -> SocketAddr {
        self.link.address()
    }
}

fn serve(me: &Identity, recorder: &Recorder, received: &ReceivedRequest, conduct: Conduct) -> Vec<Step> {
    let mut rng = rand::rng();
    let id = RequestId(received.request_id().parse().unwrap_or_default());
    let trouble = conduct.trouble.filter(|_| rng.random_bool(HARMED_SHARE));
    if conduct.is_limited && me.is_addressed_by(received) {
        recorder.judge(|now, ledger| ledger.came_to_limited(now, id, me.number));
    }
    match trouble {
        _ if !me.is_addressed_by(received) => {
            return vec![Step::Write(misdirected(received))];
        }
        Some(Misbehaviour::Full) => return vec![Step::Write(rejected(received))],
        Some(Misbehaviour::Closes) => {
            recorder.judge(|now, ledger| ledger.closed(now, id, me.number, CLOSED_FOR));
            return vec![Step::Write(rejected_with_retry_after(
                received,
                &CLOSED_FOR.as_secs_f64().to_string(),
            ))];
        }
        _ => {}
    }
    note_run(me, recorder, id);
    if conduct.says_leaving {
        recorder.note(|_, ledger| ledger.says_leaving(id, me.number));
    }
    let work = Step::WaitMs(rng.random_range(SHORTEST_WORK_MS..LONGEST_WORK_MS));
    let fails = me.is_bad && rng.random_bool(BAD_VERSION_SHARE);
    let steps = match trouble {
        Some(Misbehaviour::Fails) => failure(received),
        Some(Misbehaviour::LosesAnswers) => vec![Step::Close],
        Some(Misbehaviour::Endless) => endless(received),
        Some(Misbehaviour::Garbles) => {
            let id = received.request_id();
            let other = response_to(received, "200 OK", &format!("{id} done"));
            vec![Step::Write(other.replace(id, "other"))]
        }
        _ if fails => failure(received),
        trouble => success(received, trouble == Some(Misbehaviour::BreaksOff)),
    };
    let mut steps: Vec<Step> = std::iter::once(work).chain(steps).collect();
    if conduct.says_leaving
        && let Some(Step::Write(head)) = steps.get_mut(1)
    {
        *head = draining(head);
    }
    steps
}

/// Adds the rate limit to the head of an answer.
fn report_limit(steps: &mut [Step]) {
    let head = steps.iter_mut().find_map(|step| match step {
        Step::Write(head) => Some(head),
        _ => None,
    });
    if let Some(head) = head {
        *head = rate_limited(head, &limited::PER_SECOND.to_string());
    }
}

/// A stream with an event that has no end, or an answer with a header that has none.
fn endless(received: &ReceivedRequest) -> Vec<Step> {
    let head = if received.head.contains("/guides/") {
        stream_head(received) + "ffffff\r\nid: 1\ndata: "
    } else {
        "HTTP/1.1 200 OK\r\nX-Filler: ".to_owned()
    };
    vec![Step::Write(head), Step::WriteForever("x".to_owned())]
}

fn note_run(me: &Identity, recorder: &Recorder, id: RequestId) {
    recorder.judge(|now, ledger| ledger.ran(now, id, me.number));
    match me.step {
        Some(step) => recorder.judge(|now, ledger| ledger.stepped(now, id, step)),
        None => recorder.judge(|_, ledger| ledger.exposed(me.is_bad)),
    }
}

fn failure(received: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Write(response_to(
        received,
        "500 Internal Server Error",
        "failed",
    ))]
}

fn success(received: &ReceivedRequest, breaks_off: bool) -> Vec<Step> {
    if received.head.contains("/guides/") {
        return stream(received, breaks_off);
    }
    let whole = response_to(received, "200 OK", &format!("{} done", received.request_id()));
    if breaks_off {
        return vec![Step::Write(whole[..whole.len() - 3].to_owned()), Step::Close];
    }
    vec![Step::Write(whole)]
}

/// Events from the one after the last that the caller has.
fn stream(received: &ReceivedRequest, breaks_off: bool) -> Vec<Step> {
    let first = received.last_event_id().unwrap_or(0) + 1;
    let is_long = rand::rng().random_bool(LONG_STREAM_SHARE);
    let gap = if is_long { LONG_GAP_MS } else { EVENT_GAP_MS };
    let mut steps = vec![Step::Write(stream_head(received))];
    for number in first..=EVENTS {
        steps.push(Step::WaitMs(gap));
        if breaks_off && number == first + 1 {
            let partial = event(number);
            steps.push(Step::Write(partial[..partial.len() / 2].to_owned()));
            steps.push(Step::Close);
            return steps;
        }
        steps.push(Step::Write(event_of(received, number)));
    }
    steps.push(Step::Write("0\r\n\r\n".to_owned()));
    steps
}

fn event_of(received: &ReceivedRequest, number: u32) -> String {
    chunk(&format!("id: {number}\ndata: {}\n\n", received.request_id()))
}
