//! Calls of stand-ins as their clients make them.

use std::net::SocketAddr;

use carawayseam_external::engine::{AttemptRef, Frame, FrameBody, GENERATE_PATH, GenerateRequest};
use carawayseam_standins::{Running, engine};
use carawayseam_types::{AttemptId, Millis};
use reqwest::{Client, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

pub const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A client with a fresh connection for each call.
pub fn client() -> Client {
    let builder = Client::builder().no_proxy().retry(reqwest::retry::never());
    let builder = builder
        .redirect(reqwest::redirect::Policy::none())
        .pool_max_idle_per_host(0);
    builder.build().expect("the client can be made")
}

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

pub async fn try_post(server: &Running, path: &str, body: &impl Serialize) -> reqwest::Result<Response> {
    client()
        .post(format!("{}{path}", server.url()))
        .json(body)
        .send()
        .await
}

pub async fn post<T: DeserializeOwned>(server: &Running, path: &str, body: &impl Serialize) -> T {
    let answer = try_post(server, path, body).await.expect("the stand-in answers");
    let answer = answer.error_for_status().expect("the stand-in agrees");
    answer.json().await.expect("the answer has its shape")
}

pub async fn status(server: &Running, path: &str, body: &impl Serialize) -> u16 {
    let answer = try_post(server, path, body).await;
    answer.expect("the stand-in answers").status().as_u16()
}

pub async fn get<T: DeserializeOwned>(server: &Running, path: &str) -> T {
    let answer = client().get(format!("{}{path}", server.url())).send().await;
    let answer = answer.expect("the stand-in answers").error_for_status();
    answer
        .expect("the stand-in agrees")
        .json()
        .await
        .expect("the answer has its shape")
}

/// A fast engine `e1` with `guide-1` loaded.
pub async fn engine_with(change: impl FnOnce(&mut engine::Config)) -> Running {
    let mut cfg = engine::Config::local(name("e1"), name("guide"), name("guide-1"));
    change(&mut cfg);
    engine::serve(cfg).await.expect("a free port")
}

pub fn attempt(number: u64) -> AttemptRef {
    AttemptRef {
        host: name("entry-1"),
        incarnation: 1,
        attempt: AttemptId(number),
    }
}

pub fn ask(number: u64, prompt: &str) -> GenerateRequest {
    GenerateRequest {
        attempt: attempt(number),
        model: name("guide"),
        version: name("guide-1"),
        prompt: prompt.to_owned(),
        max_output_tokens: 400,
        resume_offset: 0,
        kv: None,
    }
}

/// A stream's frames, and whether it was closed in order.
pub struct Streamed {
    pub frames: Vec<Frame>,
    pub closed: bool,
}

impl Streamed {
    /// The text of the frames of one attempt.
    pub fn text(&self, number: u64) -> String {
        let own = self
            .frames
            .iter()
            .filter(|frame| frame.attempt == AttemptId(number));
        let texts = own.map(|frame| match &frame.body {
            FrameBody::Tokens { text, .. } => text.as_str(),
            _ => "",
        });
        texts.collect()
    }

    /// The length that the end mark gives, if there is one.
    pub fn end(&self) -> Option<u32> {
        match self.frames.last().map(|frame| &frame.body) {
            Some(FrameBody::End { tokens }) => Some(*tokens),
            _ => None,
        }
    }
}

pub async fn generate(server: &Running, req: &GenerateRequest) -> Streamed {
    let mut answer = try_post(server, GENERATE_PATH, req)
        .await
        .expect("the engine answers");
    assert!(answer.status().is_success(), "status {}", answer.status());
    let mut bytes = Vec::new();
    let closed = loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8(bytes).expect("frames are text");
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let frames = data.map(|data| serde_json::from_str(data).expect("frames are JSON"));
    Streamed {
        frames: frames.collect(),
        closed,
    }
}

/// A time span in which nothing happens by itself.
pub const LONG: Millis = Millis::from_secs(3_600);
