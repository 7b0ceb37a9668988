//! A caller: sends requests to an entry host and checks what comes back.

use std::net::SocketAddr;

use carawayseam_external::engine::estimate_tokens;
use carawayseam_standins::{answer_length, answer_token};
use carawayseam_types::Millis;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::TestbedError;

const NO_PROXY_CONNECT_TIMEOUT: Millis = Millis(2_000);

/// Sends requests.
#[derive(Debug, Clone)]
pub struct Caller {
    http: reqwest::Client,
    environment: String,
}

/// What came back.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// A whole answer.
    Ran(Answer),
    /// Refused: not run.
    NotRun {
        /// The reason's name.
        reason: String,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// Nobody knows whether it ran.
    Unknown {
        /// The reason's name.
        reason: String,
    },
    /// The connection broke before an answer was whole.
    Broken,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The text of a model's answer.
    pub text: String,
    /// Its length in tokens, as the end mark told it.
    pub tokens: u32,
    /// The result of a plain service.
    pub result: Value,
    /// The version that served, where the answer tells it.
    pub version: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Body {
    outcome: String,
    #[serde(default)]
    reason: String,
    retry_after_ms: Option<u64>,
    #[serde(default)]
    text: String,
    #[serde(default)]
    tokens: u32,
    #[serde(default)]
    result: Value,
    version: Option<String>,
}

impl Caller {
    /// Calls in one environment.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Http`] when the HTTP library cannot be set up.
    pub fn new(environment: &str) -> Result<Self, TestbedError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(0)
            .connect_timeout(NO_PROXY_CONNECT_TIMEOUT.to_duration())
            .build()?;
        Ok(Self {
            http,
            environment: environment.to_owned(),
        })
    }

    /// Asks a model for tokens, as a plain call.
    pub async fn ask(
        &self,
        entry: SocketAddr,
        route: &str,
        organisation: &str,
        prompt: &str,
        deadline: Millis,
    ) -> Reply {
        let body = json!({"organisation": organisation, "deadline_ms": deadline.0, "prompt": prompt});
        self.send(entry, route, &body).await
    }

    /// Asks a model for tokens, as a stream.
    pub async fn stream(
        &self,
        entry: SocketAddr,
        route: &str,
        organisation: &str,
        prompt: &str,
        deadline: Millis,
    ) -> Reply {
        let body = json!({"organisation": organisation, "deadline_ms": deadline.0, "prompt": prompt, "stream": true});
        let req = self.http.post(self.url(entry, route)).json(&body);
        match req.send().await {
            Ok(answer) if answer.status().is_success() => match answer.text().await {
                Ok(text) => read_events(&text),
                Err(_) => Reply::Broken,
            },
            Ok(answer) => read_body(answer).await,
            Err(_) => Reply::Broken,
        }
    }

    /// Calls a plain service.
    pub async fn call(
        &self,
        entry: SocketAddr,
        route: &str,
        organisation: &str,
        request_id: &str,
        body: &Value,
        repeat: bool,
    ) -> Reply {
        let body = json!({
            "organisation": organisation, "deadline_ms": 8_000, "request_id": request_id,
            "body": body, "repeat": repeat,
        });
        self.send(entry, route, &body).await
    }

    /// Sends a body as it is.
    pub async fn send(&self, entry: SocketAddr, route: &str, body: &Value) -> Reply {
        match self.http.post(self.url(entry, route)).json(body).send().await {
            Ok(answer) => read_body(answer).await,
            Err(_) => Reply::Broken,
        }
    }

    fn url(&self, entry: SocketAddr, route: &str) -> String {
        format!("http://{entry}/v1/{}/{route}", self.environment)
    }
}

impl Reply {
    /// Whether this is the whole answer to `prompt` and to no other.
    #[must_use]
    pub fn answers(&self, prompt: &str, max_output: u32) -> bool {
        let wanted = answer_length(prompt, max_output);
        let text: String = (0..wanted).map(|offset| answer_token(prompt, offset)).collect();
        matches!(self, Self::Ran(answer) if answer.tokens == wanted && answer.text == text)
    }

    /// The estimated length of a text, in tokens.
    #[must_use]
    pub const fn estimate(text: &str) -> u32 {
        estimate_tokens(text).0
    }
}

async fn read_body(answer: reqwest::Response) -> Reply {
    match answer.json::<Body>().await {
        Ok(body) => reply_of(body),
        Err(_) => Reply::Broken,
    }
}

fn reply_of(body: Body) -> Reply {
    match body.outcome.as_str() {
        "ran" => Reply::Ran(Answer {
            text: body.text,
            tokens: body.tokens,
            result: body.result,
            version: body.version,
        }),
        "not-run" => Reply::NotRun {
            reason: body.reason,
            retry_after_ms: body.retry_after_ms,
        },
        "unknown" => Reply::Unknown { reason: body.reason },
        _ => Reply::Broken,
    }
}

/// Reads the server-sent events of a whole stream; one without its end mark is broken.
fn read_events(text: &str) -> Reply {
    let mut answer = Answer {
        text: String::new(),
        tokens: 0,
        result: Value::Null,
        version: None,
    };
    for event in text.split("\n\n") {
        let field = |name: &str| {
            event
                .lines()
                .find_map(|line| line.strip_prefix(name))
                .map(str::trim)
        };
        let data = field("data:")
            .and_then(|data| serde_json::from_str::<Value>(data).ok())
            .unwrap_or_default();
        match field("event:") {
            Some("tokens") => answer.text.push_str(data["text"].as_str().unwrap_or_default()),
            Some("end") => {
                answer.tokens = data["tokens"].as_u64().unwrap_or_default() as u32;
                return Reply::Ran(answer);
            }
            Some("error") => return serde_json::from_value(data).map_or(Reply::Broken, reply_of),
            _ => {}
        }
    }
    Reply::Broken
}
