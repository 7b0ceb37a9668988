//! One caller: sends a request, reads the answer and checks it.

use std::time::{Duration, Instant};

use carawayseam_types::Millis;
use futures_util::StreamExt;
use reqwest::{Client, Response};

use super::check::{Ending, StreamCheck, check_call, check_refusal};
use super::sse::SseReader;
use super::workload::{Ask, Mix, Shot};

/// A caller waits this long past its deadline before it gives up on the host.
const PATIENCE: Millis = Millis::from_secs(5);

/// One request's end, with its times from the sending on.
#[derive(Debug, Clone)]
pub struct Served {
    /// The request.
    pub shot: Shot,
    /// What became of it.
    pub ending: Ending,
    /// The time to the first token, or to a plain answer.
    pub first: Option<Duration>,
    /// The time to the end.
    pub whole: Duration,
    /// Tokens received in order.
    pub tokens: u32,
}

/// What was read of an answer.
struct Read {
    ending: Ending,
    first: Option<Duration>,
    tokens: u32,
}

impl Read {
    const fn ended(ending: Ending) -> Self {
        Self {
            ending,
            first: None,
            tokens: 0,
        }
    }
}

/// Sends `shot` to the entry host at `url` and reads its answer to the end.
pub(crate) async fn send(client: Client, url: String, mix: &Mix, shot: Shot) -> Served {
    let target = format!("{url}/v1/{}/{}", mix.environment, shot.route);
    let sent_at = Instant::now();
    let limit = (shot.deadline + PATIENCE).to_duration();
    let req = client.post(target).timeout(limit).json(&body(&shot));
    let read = match req.send().await {
        Ok(answer) if answer.status().is_success() => read(answer, &shot.ask, sent_at).await,
        Ok(refusal) => refused(refusal).await,
        Err(_) => Read::ended(Ending::NoEnd),
    };
    Served {
        shot,
        ending: read.ending,
        first: read.first,
        whole: sent_at.elapsed(),
        tokens: read.tokens,
    }
}

fn body(shot: &Shot) -> serde_json::Value {
    let mut body = serde_json::json!({
        "organisation": shot.organisation,
        "tier": shot.tier_name,
        "deadline_ms": shot.deadline,
        "request_id": shot.request_id,
    });
    match &shot.ask {
        Ask::Generate { prompt, .. } => {
            body["stream"] = true.into();
            body["prompt"] = prompt.as_str().into();
        }
        Ask::Call { body: inner, .. } => body["body"] = inner.clone(),
    }
    body
}

async fn refused(answer: Response) -> Read {
    match answer.bytes().await {
        Ok(body) => Read::ended(check_refusal(&body)),
        Err(_) => Read::ended(Ending::NoEnd),
    }
}

async fn read(answer: Response, ask: &Ask, sent_at: Instant) -> Read {
    match ask {
        Ask::Generate { prompt, max_output } => read_stream(answer, prompt, *max_output, sent_at).await,
        Ask::Call { operation, body } => read_plain(answer, operation, body, sent_at).await,
    }
}

async fn read_plain(answer: Response, operation: &str, body: &serde_json::Value, sent_at: Instant) -> Read {
    let Ok(bytes) = answer.bytes().await else {
        return Read::ended(Ending::NoEnd);
    };
    Read {
        ending: check_call(operation, body, &bytes),
        first: Some(sent_at.elapsed()),
        tokens: 0,
    }
}

async fn read_stream(answer: Response, prompt: &str, max_output: u32, sent_at: Instant) -> Read {
    let mut check = StreamCheck::new(prompt, max_output);
    let mut reader = SseReader::default();
    let mut first = None;
    let mut chunks = answer.bytes_stream();
    // A broken connection ends the stream as a missing end does.
    while let Some(Ok(chunk)) = chunks.next().await {
        for event in reader.push(&chunk) {
            check.take(&event);
        }
        if first.is_none() && check.tokens() > 0 {
            first = Some(sent_at.elapsed());
        }
    }
    Read {
        ending: check.ending(),
        first,
        tokens: check.tokens(),
    }
}
