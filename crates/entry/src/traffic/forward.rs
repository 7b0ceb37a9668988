//! Hands a request to the host that owns the engines for it.

use std::net::SocketAddr;

use carawayseam_node::{FrameStream, StreamError, connect};
use carawayseam_rollout::Observation;
use carawayseam_types::{Millis, Tokens, VersionId};
use carawayseam_wire::{ForwardFrame, ForwardedRequest, StreamRequest, decode};

use super::Traffic;
use super::answers::{Answers, Part};
use super::job::{Job, Work};
use super::model::Delivered;

/// An owner says every second that a request waits, so this long a silence is a lost connection.
const SILENCE_LIMIT: Millis = Millis(3_000);

/// How a hand-over ended.
#[derive(Debug)]
pub(super) enum Handed {
    /// The owner answered finally.
    Final(Part),
    /// The connection broke; the request is to be submitted again.
    Broken,
}

/// Hands a request over and passes the answer on.
pub(super) async fn run(
    traffic: &Traffic,
    job: &Job,
    owner: SocketAddr,
    version: &VersionId,
    answers: &Answers,
    delivered: &mut Delivered,
) -> Handed {
    match pass_on(traffic, job, owner, version, answers, delivered).await {
        Ok(part) => Handed::Final(part),
        Err(e) => {
            traffic.metrics.count("forwards.broken");
            log::info!(request:% = job.request_id, owner:% = owner; "hand-over broke: {e}");
            Handed::Broken
        }
    }
}

async fn pass_on(
    traffic: &Traffic,
    job: &Job,
    owner: SocketAddr,
    version: &VersionId,
    answers: &Answers,
    delivered: &mut Delivered,
) -> Result<Part, StreamError> {
    let mut stream = open(traffic, job, owner, version, delivered).await?;
    loop {
        let part = match stream.receive_within(SILENCE_LIMIT).await? {
            ForwardFrame::Waiting => Part::Waiting,
            ForwardFrame::Started { version } => {
                delivered.version = Some(version.clone());
                Part::Started(version)
            }
            ForwardFrame::Observed(buf) => {
                observe(traffic, job, &buf);
                continue;
            }
            ForwardFrame::Tokens { offset, count, text } if offset == delivered.tokens => {
                delivered.tokens += count;
                Part::Tokens { offset, count, text }
            }
            ForwardFrame::End { tokens } if tokens == delivered.tokens => return Ok(Part::End { tokens }),
            ForwardFrame::Tokens { .. } | ForwardFrame::End { .. } => return Err(StreamError::Unexpected),
            ForwardFrame::Refused(refusal) if delivered.tokens == Tokens(0) => {
                return Ok(Part::NotRun(refusal));
            }
            ForwardFrame::Refused(refusal) => {
                let reason = carawayseam_types::UnknownReason::StreamCut;
                return Ok(Part::Unknown {
                    reason,
                    retry_after: refusal.retry_after,
                });
            }
            ForwardFrame::Abandoned { reason, retry_after } => {
                return Ok(Part::Unknown { reason, retry_after });
            }
        };
        // A caller that went away is seen by the task around this one, which then drops the stream.
        if answers.send(part).await.is_err() {
            return Err(StreamError::Closed);
        }
    }
}

/// Tells this host's gate what an owner observed, since the version was picked here.
fn observe(traffic: &Traffic, job: &Job, buf: &[u8]) {
    match decode::<Observation>(buf) {
        Ok(observation) => traffic
            .control
            .observed(job.environment.clone(), job.seq, observation),
        Err(e) => log::warn!("an owner's observation was not read: {e}"),
    }
}

async fn open(
    traffic: &Traffic,
    job: &Job,
    owner: SocketAddr,
    version: &VersionId,
    delivered: &Delivered,
) -> Result<FrameStream, StreamError> {
    let Work::Model { prompt } = &job.work else {
        return Err(StreamError::Unexpected);
    };
    let mut stream = connect(owner).await?;
    let request = ForwardedRequest {
        from: traffic.owner.host.clone(),
        environment: job.environment.clone(),
        organisation: job.organisation.clone(),
        tier: job.tier,
        route: job.route.clone(),
        backend: job.backend.clone(),
        version: version.clone(),
        prompt: prompt.to_string(),
        max_output: job.max_output,
        delivered: delivered.tokens,
        remaining: job.deadline.since(traffic.clock.now()),
    };
    stream.send(&StreamRequest::Forward(Box::new(request))).await?;
    Ok(stream)
}
