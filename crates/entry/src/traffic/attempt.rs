//! One attempt on a model engine.

use carawayseam_clients::{CallError, FrameError, FrameStream};
use carawayseam_external::engine::{Frame, FrameBody, GenerateRequest, KvExport};
use carawayseam_rollout::Served;
use carawayseam_scheduler::AttemptFailure;
use carawayseam_types::{Millis, Tokens};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use super::Traffic;
use super::answers::{Answers, Part};
use super::job::{Job, Work};
use super::model::Delivered;
use super::observe::{Stopwatch, judge_failure};
use crate::state::{Assignment, AttemptNews, Signal};

/// How often the control thread hears how far an attempt has come.
const PROGRESS_PERIOD: Millis = Millis(200);
/// How long an export may take before the prompt is prefilled again.
const EXPORT_TIMEOUT: Millis = Millis(300);
const STATUS_CONFLICT: u16 = 409;
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum Ended {
    /// The whole answer is out but for its end mark.
    Whole(Tokens),
    /// It failed or was cancelled; another decision follows.
    Open,
    /// A final decision came while it ran.
    Final(Signal),
}

/// Why an attempt stopped taking frames.
enum Stop {
    Whole(Tokens),
    Failed(AttemptFailure),
    Signal(Signal),
    CallerGone,
}

/// Runs one attempt and tells the control thread how it went.
pub(super) async fn run(
    traffic: &Traffic,
    job: &Job,
    assignment: Assignment,
    signals: &mut UnboundedReceiver<Signal>,
    answers: &Answers,
    delivered: &mut Delivered,
) -> Ended {
    let attempt = assignment.attempt;
    let mut watch = Stopwatch::start(traffic.clock.now(), delivered.tokens);
    let stop = tokio::select! {
        stop = stream(traffic, job, &assignment, answers, delivered, &mut watch) => stop,
        signal = signal_for(signals, &assignment) => Stop::Signal(signal),
    };
    let served = judge(&stop, delivered.tokens);
    let observation = watch.observe(traffic.clock.now(), job, &assignment, served, delivered.tokens);
    traffic.observe(job, answers, observation).await;
    let tell = |news| traffic.control.attempt(job.environment.clone(), attempt, news);
    if !matches!(stop, Stop::Whole(_)) {
        cancel(traffic, &assignment);
    }
    match stop {
        Stop::Whole(tokens) => {
            tell(AttemptNews::Finished(tokens));
            Ended::Whole(tokens)
        }
        Stop::Failed(failure) => {
            log::info!(engine:% = assignment.engine, request:% = job.request_id; "attempt failed: {failure}");
            traffic.metrics.count("attempts.failed");
            tell(AttemptNews::Failed(failure, delivered.tokens));
            Ended::Open
        }
        Stop::Signal(Signal::Cancel(_)) | Stop::CallerGone => Ended::Open,
        Stop::Signal(signal) => Ended::Final(signal),
    }
}

fn judge(stop: &Stop, delivered: Tokens) -> Served {
    match stop {
        Stop::Whole(_) => Served::Whole,
        Stop::Failed(failure) => judge_failure(*failure, delivered),
        Stop::Signal(_) | Stop::CallerGone => Served::Excused,
    }
}

/// Waits for a decision that ends this attempt.
async fn signal_for(signals: &mut UnboundedReceiver<Signal>, assignment: &Assignment) -> Signal {
    loop {
        match signals.recv().await {
            Some(Signal::Cancel(attempt)) if attempt != assignment.attempt => {}
            Some(signal) => return signal,
            None => std::future::pending().await,
        }
    }
}

/// Cancels in the background; an engine that does not hear it ends the attempt when the stream closes.
fn cancel(traffic: &Traffic, assignment: &Assignment) {
    let engines = traffic.engines.clone();
    let attempt = traffic.attempt_ref(assignment.attempt);
    let address = assignment.address;
    tokio::spawn(async move {
        if let Err(e) = engines.cancel(address, attempt).await {
            log::debug!("an attempt was not cancelled: {e}");
        }
    });
}

async fn stream(
    traffic: &Traffic,
    job: &Job,
    assignment: &Assignment,
    answers: &Answers,
    delivered: &mut Delivered,
    watch: &mut Stopwatch,
) -> Stop {
    let Work::Model { prompt } = &job.work else {
        return Stop::Failed(AttemptFailure::EngineFailed);
    };
    let limits = Limits::of(traffic, job);
    let req = GenerateRequest {
        attempt: traffic.attempt_ref(assignment.attempt),
        model: job.backend.clone(),
        version: assignment.version.clone(),
        prompt: prompt.to_string(),
        max_output_tokens: job.max_output.0,
        resume_offset: delivered.tokens.0,
        kv: import(traffic, assignment).await,
    };
    if answers
        .send(Part::Started(assignment.version.clone()))
        .await
        .is_err()
    {
        return Stop::CallerGone;
    }
    let opening = traffic.engines.generate(assignment.address, &req);
    let mut frames = match timeout(limits.first_token.to_duration(), opening).await {
        Ok(Ok(frames)) => frames,
        Ok(Err(e)) => return Stop::Failed(sort_call(&e)),
        Err(_) => return Stop::Failed(AttemptFailure::Silent),
    };
    let taking = Taking {
        traffic,
        job,
        assignment,
        answers,
    };
    taking.run(delivered, &mut frames, &limits, watch).await
}

/// Time limits that find a silent connection.
struct Limits {
    first_token: Millis,
    gap: Millis,
}

impl Limits {
    fn of(traffic: &Traffic, job: &Job) -> Self {
        let document = traffic.control.document(&job.environment);
        let limits = document.map(|document| document.limits);
        Self {
            first_token: limits.map_or(Millis::from_secs(10), |limits| limits.first_token_timeout),
            gap: limits.map_or(Millis::from_secs(3), |limits| limits.token_gap_timeout),
        }
    }
}

async fn import(traffic: &Traffic, assignment: &Assignment) -> Option<KvExport> {
    let (address, attempt) = assignment.import_from.clone()?;
    let export = traffic.engines.export_kv(address, attempt);
    match timeout(EXPORT_TIMEOUT.to_duration(), export).await {
        Ok(Ok(export)) => Some(export),
        Ok(Err(e)) => {
            log::debug!("nothing was exported: {e}");
            None
        }
        Err(_) => None,
    }
}

/// Takes the frames of one attempt.
struct Taking<'a> {
    traffic: &'a Traffic,
    job: &'a Job,
    assignment: &'a Assignment,
    answers: &'a Answers,
}

impl Taking<'_> {
    async fn run(
        &self,
        delivered: &mut Delivered,
        frames: &mut FrameStream,
        limits: &Limits,
        watch: &mut Stopwatch,
    ) -> Stop {
        let mut wait = limits.first_token;
        let mut told = self.traffic.clock.now();
        loop {
            let frame = match timeout(wait.to_duration(), frames.next()).await {
                Ok(Ok(frame)) => frame,
                Ok(Err(e)) => return Stop::Failed(sort_frame(&e)),
                Err(_) => return Stop::Failed(AttemptFailure::Silent),
            };
            let part = match accept(self.assignment, delivered, frame) {
                Accepted::Part(part) => part,
                Accepted::Dropped => {
                    self.traffic.metrics.count("frames.dropped");
                    continue;
                }
                Accepted::Whole(tokens) => return Stop::Whole(tokens),
                Accepted::Broken => return Stop::Failed(AttemptFailure::EngineFailed),
            };
            wait = limits.gap;
            let now = self.traffic.clock.now();
            if watch.note_first(now) {
                self.tell(AttemptNews::FirstToken);
            }
            if self.answers.send(part).await.is_err() {
                return Stop::CallerGone;
            }
            if now.since(told) >= PROGRESS_PERIOD {
                told = now;
                self.tell(AttemptNews::Progress(delivered.tokens));
            }
        }
    }

    fn tell(&self, news: AttemptNews) {
        self.traffic
            .control
            .attempt(self.job.environment.clone(), self.assignment.attempt, news);
    }
}

/// What a frame is to the caller.
enum Accepted {
    Part(Part),
    Dropped,
    Whole(Tokens),
    Broken,
}

/// Checks that a frame belongs to this attempt and goes on exactly where the answer stands.
fn accept(assignment: &Assignment, delivered: &mut Delivered, frame: Frame) -> Accepted {
    if frame.attempt != assignment.attempt {
        return Accepted::Dropped;
    }
    match frame.body {
        FrameBody::Tokens { offset, count, text } if offset == delivered.tokens.0 => {
            delivered.tokens += Tokens(count);
            delivered.version = Some(assignment.version.clone());
            Accepted::Part(Part::Tokens {
                offset: Tokens(offset),
                count: Tokens(count),
                text,
            })
        }
        // A repeat of what the caller has already.
        FrameBody::Tokens { offset, count, .. } if offset.saturating_add(count) <= delivered.tokens.0 => {
            Accepted::Dropped
        }
        FrameBody::End { tokens } if tokens == delivered.tokens.0 => Accepted::Whole(Tokens(tokens)),
        FrameBody::Tokens { .. } | FrameBody::End { .. } | FrameBody::Failed { .. } => Accepted::Broken,
    }
}

const fn sort_call(error: &CallError) -> AttemptFailure {
    match error {
        CallError::NotSent(_) => AttemptFailure::NotSent,
        CallError::Status {
            status: STATUS_CONFLICT | STATUS_TOO_MANY | STATUS_UNAVAILABLE,
        } => AttemptFailure::EngineRefused,
        CallError::Status { .. } | CallError::MalformedResponse(_) | CallError::MalformedId(_) => {
            AttemptFailure::EngineFailed
        }
        CallError::ResponseLost(_) => AttemptFailure::ConnectionLost,
    }
}

const fn sort_frame(error: &FrameError) -> AttemptFailure {
    match error {
        FrameError::Connection(_) | FrameError::Truncated => AttemptFailure::ConnectionLost,
        FrameError::Malformed(_) => AttemptFailure::EngineFailed,
    }
}
