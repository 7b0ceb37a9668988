//! The two ways to the same stand-in: directly, and through an entry host.

use carawayseam_config::{BackendKind, Document};
use carawayseam_external::engine::{AttemptRef, Frame, FrameBody, GENERATE_PATH, GenerateRequest};
use carawayseam_external::service::{CALL_PATH, Call};
use carawayseam_types::{
    AttemptId, BackendName, EnvironmentId, Millis, OrganisationId, RouteName, VersionId,
};
use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};

use super::check::{Ending, StreamCheck, check_call};
use super::flags::PlanError;
use super::sse::SseReader;
use crate::answer::Answer;

/// The name that direct calls give as their host.
const DIRECT_HOST: &str = "direct";

/// Which way a call takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// To the stand-in itself.
    Direct,
    /// Through the entry host.
    Entry,
}

/// A route, as both ways name it.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) client: Client,
    pub(super) entry: String,
    pub(super) direct: String,
    environment: EnvironmentId,
    organisation: OrganisationId,
    route: RouteName,
    operation: String,
    backend: BackendName,
    version: VersionId,
    max_output: u32,
    deadline: Millis,
    pub(super) kind: BackendKind,
}

impl Target {
    pub(super) fn new(
        client: Client,
        entry: String,
        direct: String,
        document: &Document,
        route: &RouteName,
    ) -> Result<Self, PlanError> {
        let found = document.route(route).filter(|route| route.idempotent);
        let backend = found.and_then(|route| document.backend(&route.backend));
        let organisation = document.organisations.first();
        let Some(((spec, backend), organisation)) = found.zip(backend).zip(organisation) else {
            return Err(PlanError::UnknownRoute { route: route.clone() });
        };
        Ok(Self {
            client,
            entry,
            direct,
            environment: document.environment.clone(),
            organisation: organisation.name.clone(),
            route: route.clone(),
            operation: spec.operation.clone(),
            backend: backend.name.clone(),
            version: backend.version.clone(),
            max_output: spec.max_output.0,
            deadline: spec.max_deadline,
            kind: backend.kind,
        })
    }

    /// A prompt that no other call of the measurement has.
    pub(super) fn prompt(number: u64, tokens: u32) -> String {
        format!("overhead {number} #tokens={tokens}")
    }

    /// Makes a call and reads its answer; true if it is whole and its own.
    pub(super) async fn call(&self, way: Way, number: u64) -> bool {
        let prompt = Self::prompt(number, 1);
        let sent = self.request(way, number, &prompt).send().await;
        let Ok(answer) = sent else {
            return false;
        };
        match answer.bytes().await {
            Ok(body) => self.is_whole(way, number, &prompt, &body),
            Err(_) => false,
        }
    }

    /// The request for `prompt`, or for the service's call of this number.
    pub(super) fn request(&self, way: Way, number: u64, prompt: &str) -> RequestBuilder {
        match (way, self.kind) {
            (Way::Entry, _) => {
                let url = format!("{}/v1/{}/{}", self.entry, self.environment, self.route);
                self.client.post(url).json(&self.entry_body(number, prompt))
            }
            (Way::Direct, BackendKind::Model) => {
                let url = format!("{}{GENERATE_PATH}", self.direct);
                self.client.post(url).json(&self.generate(number, prompt))
            }
            (Way::Direct, BackendKind::Service) => {
                let url = format!("{}{CALL_PATH}", self.direct);
                self.client.post(url).json(&self.plain_call(number))
            }
        }
    }

    fn entry_body(&self, number: u64, prompt: &str) -> Value {
        let mut body = json!({ "organisation": self.organisation, "deadline_ms": self.deadline });
        match self.kind {
            BackendKind::Model => {
                body["stream"] = true.into();
                body["prompt"] = prompt.into();
            }
            BackendKind::Service => body["body"] = json!({ "number": number }),
        }
        body
    }

    fn generate(&self, number: u64, prompt: &str) -> GenerateRequest {
        GenerateRequest {
            attempt: AttemptRef {
                host: DIRECT_HOST.parse().expect("the name is valid"),
                incarnation: 1,
                attempt: AttemptId(number),
            },
            model: self.backend.clone(),
            version: self.version.clone(),
            prompt: prompt.to_owned(),
            max_output_tokens: self.max_output,
            resume_offset: 0,
            kv: None,
        }
    }

    fn plain_call(&self, number: u64) -> Call {
        Call {
            organisation: self.organisation.clone(),
            request_id: format!("direct-{number}").parse().expect("the id is valid"),
            operation: self.operation.clone(),
            body: json!({ "number": number }),
        }
    }

    fn is_whole(&self, way: Way, number: u64, prompt: &str, body: &[u8]) -> bool {
        let sent = json!({ "number": number });
        match (way, self.kind) {
            (Way::Entry, BackendKind::Model) => {
                let mut check = StreamCheck::new(prompt, self.max_output);
                SseReader::default()
                    .push(body)
                    .iter()
                    .for_each(|event| check.take(event));
                check.ending() == Ending::Whole
            }
            (Way::Direct, BackendKind::Model) => is_whole_direct(prompt, self.max_output, body),
            (Way::Entry, BackendKind::Service) => check_call(&self.operation, &sent, body) == Ending::Whole,
            (Way::Direct, BackendKind::Service) => {
                let answer: Value = serde_json::from_slice(body).unwrap_or_default();
                answer["result"]["echo"] == sent
            }
        }
    }
}

/// Whether an engine's own frames are the whole answer.
fn is_whole_direct(prompt: &str, max_output: u32, body: &[u8]) -> bool {
    let events = SseReader::default().push(body);
    let frames = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Frame>(&event.data).ok());
    let (mut text, mut end) = (String::new(), None);
    for frame in frames {
        match frame.body {
            FrameBody::Tokens { text: more, .. } => text.push_str(&more),
            FrameBody::End { tokens } => end = Some(tokens),
            FrameBody::Failed { .. } => return false,
        }
    }
    let answer = Answer::to(prompt);
    let length = answer.length(max_output);
    end == Some(length) && text == answer.text(0, length)
}
