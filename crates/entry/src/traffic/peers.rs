//! Streams from peers: records they ask for and requests they hand over.

use std::sync::Arc;

use carawayseam_node::{FrameStream, StreamError};
use carawayseam_scheduler::Origin;
use carawayseam_types::{Digest, Millis, NotRunReason, Refusal};
use carawayseam_wire::{ForwardFrame, ForwardedRequest, StreamReply, StreamRequest, encode};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{MissedTickBehavior, interval};

use super::Traffic;
use super::answers::{Part, Parts, channel};
use super::job::{Job, Work, own_id};
use super::model::{self, COME_BACK};

const FIRST_MESSAGE_LIMIT: Millis = Millis(2_000);
/// How often a peer hears that its request still waits.
const WAITING_PERIOD: Millis = Millis(1_000);

/// Takes peers' streams until the process ends.
pub(crate) async fn accept(traffic: Arc<Traffic>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(take(Arc::clone(&traffic), stream))),
            Err(e) => log::warn!("a peer's stream was not accepted: {e}"),
        }
    }
}

async fn take(traffic: Arc<Traffic>, stream: TcpStream) {
    if let Err(e) = answer(&traffic, FrameStream::new(stream)).await {
        log::debug!("a peer's stream ended: {e}");
    }
}

async fn answer(traffic: &Arc<Traffic>, mut stream: FrameStream) -> Result<(), StreamError> {
    match stream.receive_within(FIRST_MESSAGE_LIMIT).await? {
        StreamRequest::Heads => {
            let heads = traffic.control.local_heads().await;
            stream.send(&StreamReply::Heads(heads)).await
        }
        StreamRequest::Pull(key) => {
            let record = traffic.control.local_record(key).await;
            stream.send(&StreamReply::Record(record)).await
        }
        StreamRequest::Forward(request) => serve(traffic, stream, *request).await,
    }
}

async fn serve(
    traffic: &Arc<Traffic>,
    mut stream: FrameStream,
    request: ForwardedRequest,
) -> Result<(), StreamError> {
    let open = traffic.stopping.open();
    if traffic.stopping.is_refusing() {
        let refusal = Refusal {
            reason: NotRunReason::Stopping,
            retry_after: Some(COME_BACK),
        };
        return stream.send(&ForwardFrame::Refused(refusal)).await;
    }
    let job = job_of(traffic, request);
    let (answers, parts) = channel();
    let serving = tokio::spawn({
        let traffic = Arc::clone(traffic);
        async move { model::serve(&traffic, &job, &answers).await }
    });
    let sent = pass_back(&mut stream, parts).await;
    // Dropping the parts ended the request, so this does not wait long.
    if serving.await.is_err() {
        log::error!("a handed-over request's task ended early");
    }
    drop(open);
    sent
}

async fn pass_back(stream: &mut FrameStream, mut parts: Parts) -> Result<(), StreamError> {
    let mut waiting = interval(WAITING_PERIOD.to_duration());
    waiting.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let part = tokio::select! {
            part = parts.recv() => part,
            _ = waiting.tick() => Some(Part::Waiting),
        };
        let Some(part) = part else { return Ok(()) };
        if let Some(frame) = frame_of(part) {
            stream.send(&frame).await?;
        }
    }
}

fn frame_of(part: Part) -> Option<ForwardFrame> {
    match part {
        Part::Waiting => Some(ForwardFrame::Waiting),
        Part::Started(version) => Some(ForwardFrame::Started { version }),
        Part::Tokens { offset, count, text } => Some(ForwardFrame::Tokens { offset, count, text }),
        Part::End { tokens } => Some(ForwardFrame::End { tokens }),
        Part::NotRun(refusal) => Some(ForwardFrame::Refused(refusal)),
        Part::Unknown { reason, retry_after } => Some(ForwardFrame::Abandoned { reason, retry_after }),
        Part::Observed(observation) => encode(&observation).ok().map(ForwardFrame::Observed),
        // Only calls to plain services end so, and these are not handed over.
        Part::Result { .. } => None,
    }
}

fn job_of(traffic: &Traffic, request: ForwardedRequest) -> Job {
    let seq = traffic.numbers.next_request();
    Job {
        seq,
        request_id: own_id(seq),
        origin: Origin::Peer(request.from),
        environment: request.environment,
        organisation: request.organisation,
        tier: request.tier,
        route: request.route,
        backend: request.backend,
        version: Some(request.version),
        max_output: request.max_output,
        deadline: traffic.clock.now() + request.remaining,
        content: Digest::of(request.prompt.as_bytes()),
        claim_ttl: Millis::ZERO,
        work: Work::Model {
            prompt: request.prompt.into(),
        },
    }
}
