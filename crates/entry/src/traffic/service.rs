//! Serves one call to a plain service.

use carawayseam_claims::{Claim, ClaimState, ExistingClaim, Held};
use carawayseam_clients::{CallError, ClaimOutcome};
use carawayseam_external::service::{Call, CallResponse};
use carawayseam_rollout::Served;
use carawayseam_scheduler::AttemptFailure;
use carawayseam_types::{Millis, NotRunReason, Refusal, Tokens, UnknownReason};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{sleep, timeout};

use super::Traffic;
use super::answers::{Answers, Part};
use super::job::{Job, Work};
use super::model::COME_BACK;
use super::observe::{Stopwatch, judge_failure};
use crate::state::{Assignment, AttemptNews, Signal, Submission};

/// The first wait before another host's claim is read again; it doubles.
const FIRST_LOOK: Millis = Millis(50);
/// Reads of another host's claim before the outcome counts as unknown.
const MAX_LOOKS: u32 = 6;
const STATUS_TOO_MANY: u16 = 429;

/// Serves a call that may run twice without harm.
pub(super) async fn serve(traffic: &Traffic, job: &Job, answers: &Answers) {
    let part = tokio::select! {
        part = dispatch(traffic, job) => Some(part),
        () = answers.closed() => None,
    };
    traffic.control.caller_gone(job.environment.clone(), job.seq);
    finish(job, answers, part.map(Called::into_part)).await;
}

/// Serves a call that may not be repeated: claim, dispatch once, record.
///
/// It is not given up when the caller goes away, since the claim stands and a
/// repeat must be able to find the answer.
pub(super) async fn serve_unrepeatable(traffic: &Traffic, job: &Job, answers: &Answers) {
    let part = match claim_and_run(traffic, job).await {
        Some(part) => part,
        None => look_again(traffic, job).await,
    };
    finish(job, answers, Some(part)).await;
}

/// Claims and runs a call; none while another host's claim is open.
async fn claim_and_run(traffic: &Traffic, job: &Job) -> Option<Part> {
    match claim(traffic, job).await {
        ClaimOutcome::Held(claim) => Some(run_claimed(traffic, job, &claim).await),
        ClaimOutcome::Settled(ExistingClaim::Completed(answer)) => Some(recorded(answer)),
        ClaimOutcome::Settled(ExistingClaim::Claimed(_)) => None,
        ClaimOutcome::Settled(ExistingClaim::Conflict) => Some(not_run(NotRunReason::Conflict, None)),
        ClaimOutcome::Unprovable => Some(unproved(job)),
    }
}

async fn finish(job: &Job, answers: &Answers, part: Option<Part>) {
    let Some(part) = part else { return };
    if answers.send(part).await.is_err() {
        log::debug!(request:% = job.request_id; "the caller went away");
    }
}

async fn claim(traffic: &Traffic, job: &Job) -> ClaimOutcome {
    let nonce = traffic.numbers.next_nonce();
    let claims = &traffic.claims;
    let left = job.deadline.since(traffic.clock.now());
    let claiming = claims.claim(
        &job.environment,
        &job.organisation,
        &job.request_id,
        job.content,
        nonce,
        job.claim_ttl,
    );
    // A claim that comes too late is never followed by a dispatch.
    timeout(left.to_duration(), claiming)
        .await
        .unwrap_or(ClaimOutcome::Unprovable)
}

async fn run_claimed(traffic: &Traffic, job: &Job, claim: &Claim<Held>) -> Part {
    let called = dispatch(traffic, job).await;
    traffic.control.caller_gone(job.environment.clone(), job.seq);
    match &called {
        Called::Ran(answer) => record(traffic, job, claim, answer).await,
        Called::NotRun(_) => release(traffic, job, claim).await,
        Called::Unknown { .. } => {}
    }
    called.into_part()
}

/// Records the answer before the caller gets it, so that no repeat hears less than the caller did.
async fn record(traffic: &Traffic, job: &Job, claim: &Claim<Held>, answer: &CallResponse) {
    let value = match serde_json::to_value(answer) {
        Ok(value) => value,
        Err(e) => return log::error!(request:% = job.request_id; "an answer was not encoded: {e}"),
    };
    if let Err(e) = traffic.claims.record(claim, value, job.claim_ttl).await {
        traffic.metrics.count("claims.unrecorded");
        log::warn!(request:% = job.request_id; "an answer was not recorded, so a repeat gets none: {e}");
    }
}

async fn release(traffic: &Traffic, job: &Job, claim: &Claim<Held>) {
    if let Err(e) = traffic.claims.release(claim, job.claim_ttl).await {
        traffic.metrics.count("claims.unreleased");
        log::warn!(request:% = job.request_id; "a claim was not released, so a repeat hears `unknown`: {e}");
    }
}

/// Reads another host's claim until it is settled, or nobody can tell.
async fn look_again(traffic: &Traffic, job: &Job) -> Part {
    let unknown = Part::Unknown {
        reason: UnknownReason::ClaimedElsewhere,
        retry_after: Some(COME_BACK),
    };
    let mut wait = FIRST_LOOK;
    for _ in 0..MAX_LOOKS {
        if traffic.clock.now() + wait >= job.deadline {
            break;
        }
        sleep(wait.to_duration()).await;
        wait = wait.times(2);
        match traffic
            .claims
            .read_claim(&job.environment, &job.organisation, &job.request_id)
            .await
        {
            Ok(Some(value)) if value.body != job.content => return not_run(NotRunReason::Conflict, None),
            Ok(Some(value)) => match value.state {
                ClaimState::Completed { response: answer } => return recorded(answer),
                ClaimState::Released => return claim_and_run(traffic, job).await.unwrap_or(unknown),
                ClaimState::Claimed => {}
            },
            Ok(None) => {}
            Err(e) => log::debug!(request:% = job.request_id; "a claim was not read: {e}"),
        }
    }
    unknown
}

/// What is true when no claim can be proved.
///
/// This host dispatched nothing. Of an id that was sent before, an earlier
/// attempt may have run, so such a request is not said to be not run.
const fn unproved(job: &Job) -> Part {
    match &job.work {
        Work::UnrepeatableCall { repeat: true, .. } => Part::Unknown {
            reason: UnknownReason::ClaimedElsewhere,
            retry_after: Some(COME_BACK),
        },
        _ => not_run(NotRunReason::NoClaim, Some(COME_BACK)),
    }
}

const fn not_run(reason: NotRunReason, retry_after: Option<Millis>) -> Part {
    Part::NotRun(Refusal { reason, retry_after })
}

fn recorded(answer: serde_json::Value) -> Part {
    match serde_json::from_value::<CallResponse>(answer) {
        Ok(answer) => Part::Result {
            version: answer.version,
            result: answer.result,
        },
        Err(e) => {
            log::error!("a recorded answer cannot be read: {e}");
            Part::Unknown {
                reason: UnknownReason::ClaimedElsewhere,
                retry_after: None,
            }
        }
    }
}

/// Where a call led.
#[derive(Debug)]
enum Called {
    Ran(CallResponse),
    NotRun(Refusal),
    Unknown {
        reason: UnknownReason,
        retry_after: Option<Millis>,
    },
}

impl Called {
    fn into_part(self) -> Part {
        match self {
            Self::Ran(answer) => Part::Result {
                version: answer.version,
                result: answer.result,
            },
            Self::NotRun(refusal) => Part::NotRun(refusal),
            Self::Unknown { reason, retry_after } => Part::Unknown { reason, retry_after },
        }
    }
}

/// Follows the scheduler's decisions until one is final.
async fn dispatch(traffic: &Traffic, job: &Job) -> Called {
    let mut signals = submit(traffic, job);
    let may_repeat = matches!(job.work, Work::Call { .. });
    // Set once a byte may have left; from then on nothing is said to be not run.
    let mut may_have_run = false;
    let mut early = None;
    loop {
        let signal = match early.take() {
            Some(signal) => Some(signal),
            None => signals.recv().await,
        };
        match signal {
            // The scheduler never asks for this; a second run would charge a card twice.
            Some(Signal::Dispatch(_)) if may_have_run && !may_repeat => {
                log::error!(request:% = job.request_id; "a second dispatch of an unrepeatable call was refused");
                return Called::Unknown {
                    reason: UnknownReason::ConnectionLost,
                    retry_after: None,
                };
            }
            Some(Signal::Dispatch(assignment)) => {
                let is_first = !may_have_run;
                let called = tokio::select! {
                    called = call(traffic, job, &assignment, is_first) => called,
                    signal = interrupted(&mut signals, &assignment), if may_repeat => {
                        early = signal;
                        Err(AttemptFailure::Silent)
                    }
                };
                match called {
                    Ok(answer) => return Called::Ran(answer),
                    Err(failure) => may_have_run |= may_run(failure),
                }
            }
            Some(Signal::Cancel(_)) => {}
            Some(Signal::Refused(refusal)) if !may_have_run => return Called::NotRun(refusal),
            Some(Signal::Refused(refusal)) => {
                return Called::Unknown {
                    reason: UnknownReason::ConnectionLost,
                    retry_after: refusal.retry_after,
                };
            }
            Some(Signal::Abandoned { reason, retry_after }) => {
                return Called::Unknown { reason, retry_after };
            }
            Some(Signal::Forward { .. }) | None if !may_have_run => {
                return Called::NotRun(Refusal {
                    reason: NotRunReason::NoEngine,
                    retry_after: Some(COME_BACK),
                });
            }
            Some(Signal::Forward { .. }) | None => {
                return Called::Unknown {
                    reason: UnknownReason::ConnectionLost,
                    retry_after: Some(COME_BACK),
                };
            }
        }
    }
}

/// Waits until the scheduler gives an attempt up, and gives a decision that came instead.
async fn interrupted(signals: &mut UnboundedReceiver<Signal>, assignment: &Assignment) -> Option<Signal> {
    loop {
        match signals.recv().await {
            Some(Signal::Cancel(attempt)) if attempt == assignment.attempt => return None,
            Some(Signal::Cancel(_)) => {}
            Some(signal) => return Some(signal),
            None => std::future::pending().await,
        }
    }
}

const fn may_run(failure: AttemptFailure) -> bool {
    !matches!(failure, AttemptFailure::NotSent | AttemptFailure::EngineRefused)
}

fn submit(traffic: &Traffic, job: &Job) -> UnboundedReceiver<Signal> {
    let (tx, rx) = unbounded_channel();
    let request = job.to_request(Tokens(0));
    let environment = job.environment.clone();
    traffic.control.submit(Submission {
        environment,
        request,
        pick_version: true,
        signals: tx,
    });
    rx
}

async fn call(
    traffic: &Traffic,
    job: &Job,
    assignment: &Assignment,
    is_first: bool,
) -> Result<CallResponse, AttemptFailure> {
    let watch = Stopwatch::start(traffic.clock.now(), Tokens(0));
    let result = call_once(traffic, job, assignment, is_first).await;
    let served = match &result {
        Ok(_) => Served::Whole,
        Err(failure) => judge_failure(*failure, Tokens(0)),
    };
    let observation = watch.observe(traffic.clock.now(), job, assignment, served, Tokens(0));
    traffic
        .control
        .observed(job.environment.clone(), job.seq, observation);
    let news = match &result {
        Ok(_) => AttemptNews::Finished(Tokens(0)),
        Err(failure) => AttemptNews::Failed(*failure, Tokens(0)),
    };
    traffic
        .control
        .attempt(job.environment.clone(), assignment.attempt, news);
    result
}

async fn call_once(
    traffic: &Traffic,
    job: &Job,
    assignment: &Assignment,
    is_first: bool,
) -> Result<CallResponse, AttemptFailure> {
    let (operation, body, idempotent) = match &job.work {
        Work::Call { operation, body } => (operation, body, true),
        Work::UnrepeatableCall { operation, body, .. } => (operation, body, false),
        Work::Model { .. } => return Err(AttemptFailure::NotSent),
    };
    let call = Call {
        organisation: job.organisation.clone(),
        request_id: job.request_id.clone(),
        operation: operation.clone(),
        body: body.clone(),
    };
    let left = job.deadline.since(traffic.clock.now());
    if left == Millis::ZERO {
        return Err(AttemptFailure::NotSent);
    }
    // A connection of the pool may have gone silent, so only a first attempt uses one.
    let may_reuse = idempotent && is_first;
    let calling = traffic.services.call(assignment.address, &call, may_reuse, left);
    match timeout(left.to_duration(), calling).await {
        Ok(Ok(answer)) if answer.request_id == job.request_id => Ok(answer),
        // An answer to another request must reach nobody.
        Ok(Ok(_)) => Err(AttemptFailure::EngineFailed),
        Ok(Err(e)) => Err(sort_call(&e, idempotent)),
        Err(_) => Err(AttemptFailure::DeadlinePassed),
    }
}

const fn sort_call(error: &CallError, idempotent: bool) -> AttemptFailure {
    match error {
        CallError::NotSent(_) => AttemptFailure::NotSent,
        // A status only tells that a call was not run where running it again does no harm.
        CallError::Status {
            status: STATUS_TOO_MANY,
        } if idempotent => AttemptFailure::EngineRefused,
        CallError::Status { .. } | CallError::MalformedResponse(_) | CallError::MalformedId(_) => {
            AttemptFailure::EngineFailed
        }
        CallError::ResponseLost(_) => AttemptFailure::ConnectionLost,
    }
}
