//! Serves one request to a model, over as many attempts as it takes.

use carawayseam_types::{Millis, NotRunReason, Refusal, Tokens, UnknownReason, VersionId};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::sleep;

use super::Traffic;
use super::answers::{Answers, Part};
use super::attempt::{self, Ended};
use super::forward::{self, Handed};
use super::job::Job;
use crate::state::{Signal, Submission};

/// When a caller may come back to a host that is stopping or not ready.
pub(crate) const COME_BACK: Millis = Millis::from_secs(1);
/// How much longer than the deadline a decision may take before the task ends by itself.
const DECISION_GRACE: Millis = Millis(250);
/// Hand-overs to owners tried before the request is given up.
const MAX_FORWARDS: u8 = 4;
/// The pause after a hand-over that broke.
const OWNER_PAUSE: Millis = Millis(50);

/// What the caller has so far.
#[derive(Debug, Default)]
pub(super) struct Delivered {
    /// The answer's length so far.
    pub(super) tokens: Tokens,
    /// The version whose tokens these are; only it may go on.
    pub(super) version: Option<VersionId>,
}

/// Serves a request to its final part.
pub(super) async fn serve(traffic: &Traffic, job: &Job, answers: &Answers) {
    let mut delivered = Delivered::default();
    let limit = job.deadline.since(traffic.clock.now()) + DECISION_GRACE;
    let ended = tokio::select! {
        part = decide(traffic, job, answers, &mut delivered) => Some(part),
        () = sleep(limit.to_duration()) => Some(Some(late(&delivered))),
        () = answers.closed() => None,
    };
    // Whatever ended it, the scheduler forgets the request and cancels what still runs.
    traffic.control.caller_gone(job.environment.clone(), job.seq);
    if let Some(Some(part)) = ended
        && answers.send(part).await.is_err()
    {
        log::debug!(request:% = job.request_id; "the caller went away");
    }
}

fn late(delivered: &Delivered) -> Part {
    match delivered.tokens {
        Tokens(0) => Part::NotRun(Refusal {
            reason: NotRunReason::DeadlineUnreachable,
            retry_after: Some(COME_BACK),
        }),
        _ => Part::Unknown {
            reason: UnknownReason::TimedOut,
            retry_after: Some(COME_BACK),
        },
    }
}

/// Follows the scheduler's decisions until one is final; none if the final part was sent already.
async fn decide(traffic: &Traffic, job: &Job, answers: &Answers, delivered: &mut Delivered) -> Option<Part> {
    let mut forwards = 0;
    let mut signals = submit(traffic, job, delivered);
    loop {
        match signals.recv().await {
            Some(Signal::Dispatch(assignment)) => {
                match attempt::run(traffic, job, assignment, &mut signals, answers, delivered).await {
                    Ended::Whole(tokens) => return Some(Part::End { tokens }),
                    Ended::Open => {}
                    Ended::Final(signal) => return Some(final_part(&signal, delivered)),
                }
            }
            Some(Signal::Cancel(_)) => {}
            Some(Signal::Forward {
                host,
                address,
                version,
            }) if forwards < MAX_FORWARDS => {
                forwards += 1;
                log::debug!(request:% = job.request_id, owner:% = host; "request handed to the owner");
                let handed = match address {
                    Some(owner) => forward::run(traffic, job, owner, &version, answers, delivered).await,
                    None => Handed::Broken,
                };
                match handed {
                    Handed::Final(part) => return Some(part),
                    Handed::Broken => {
                        // The live hosts, and with them the owner, are another in a moment.
                        sleep(OWNER_PAUSE.to_duration()).await;
                        signals = submit(traffic, job, delivered);
                    }
                }
            }
            Some(Signal::Forward { .. }) | None => {
                let reason = NotRunReason::NoEngine;
                let refusal = Refusal {
                    reason,
                    retry_after: Some(COME_BACK),
                };
                return Some(final_part(&Signal::Refused(refusal), delivered));
            }
            Some(signal) => return Some(final_part(&signal, delivered)),
        }
    }
}

fn submit(traffic: &Traffic, job: &Job, delivered: &Delivered) -> UnboundedReceiver<Signal> {
    let (tx, rx) = unbounded_channel();
    // Once part of an answer is out, only the version that began it may go on.
    let picked = delivered.version.as_ref().or(job.version.as_ref());
    let mut request = job.to_request(delivered.tokens);
    if let Some(version) = picked {
        request.version = version.clone();
    }
    let environment = job.environment.clone();
    traffic.control.submit(Submission {
        environment,
        request,
        pick_version: picked.is_none(),
        signals: tx,
    });
    rx
}

/// The caller's final part; a refusal after the first token is no longer one.
fn final_part(signal: &Signal, delivered: &Delivered) -> Part {
    match *signal {
        Signal::Refused(refusal) if delivered.tokens == Tokens(0) => Part::NotRun(refusal),
        Signal::Refused(refusal) => Part::Unknown {
            reason: UnknownReason::StreamCut,
            retry_after: refusal.retry_after,
        },
        Signal::Abandoned { reason, retry_after } => Part::Unknown { reason, retry_after },
        Signal::Dispatch(_) | Signal::Cancel(_) | Signal::Forward { .. } => Part::Unknown {
            reason: UnknownReason::StreamCut,
            retry_after: None,
        },
    }
}
