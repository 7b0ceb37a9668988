//! Model engines.

use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use carawayseam_external::engine::{
    AttemptRef, CACHE_EVENTS_PATH, CANCEL_PATH, CacheEvents, CancelRequest, EngineState, Frame,
    GENERATE_PATH, GenerateRequest, KV_EXPORT_PATH, KvExport, KvExportRequest, LOAD_PATH, LoadReport,
    ORDER_PATH, Order, STATE_PATH,
};
use carawayseam_types::Millis;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;

use crate::http::{send, send_json};
use crate::{CallError, Http};

const SHORT_TIMEOUT: Millis = Millis(2_000);
const DATA_FIELD: &[u8] = b"data:";

/// A client of model engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    /// For attempts and orders, each over a connection of its own.
    fresh: Http,
    /// For readings, which may be made again.
    reads: Http,
}

/// A stream of tokens that broke.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum FrameError {
    /// The connection broke.
    #[display("the connection broke")]
    Connection(#[error(source)] reqwest::Error),
    /// The stream ended without its end mark.
    #[display("the stream ended without its end mark")]
    Truncated,
    /// A frame cannot be read.
    #[display("a frame cannot be read")]
    Malformed(#[error(source)] serde_json::Error),
}

/// The frames of one attempt.
pub struct FrameStream {
    chunks: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    // Kept between frames, since a chunk may end in the middle of one.
    buf: BytesMut,
}

impl std::fmt::Debug for FrameStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameStream")
            .field("buffered", &self.buf.len())
            .finish_non_exhaustive()
    }
}

impl FrameStream {
    /// Waits for the next frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`]; the stream is over then.
    pub async fn next(&mut self) -> Result<Frame, FrameError> {
        loop {
            if let Some(line) = self.take_line() {
                match line.strip_prefix(DATA_FIELD) {
                    Some(data) => return serde_json::from_slice(data).map_err(FrameError::Malformed),
                    None => continue,
                }
            }
            match self.chunks.next().await {
                Some(Ok(chunk)) => self.buf.extend_from_slice(&chunk),
                Some(Err(e)) => return Err(FrameError::Connection(e)),
                None => return Err(FrameError::Truncated),
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        let line = self.buf.split_to(end);
        self.buf.advance(1);
        Some(line)
    }
}

impl EngineClient {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// [`CallError`] when the HTTP library cannot be set up.
    pub fn new() -> Result<Self, CallError> {
        // Model work is idempotent, yet a resend by the library would prefill
        // twice behind the scheduler's back, so it has fresh connections too.
        let fresh = Http::builder().disable_pooling().build()?;
        let reads = Http::builder().timeout(SHORT_TIMEOUT).build()?;
        Ok(Self { fresh, reads })
    }

    /// Starts an attempt; its frames follow.
    ///
    /// # Errors
    ///
    /// [`CallError`] when the engine did not begin to answer.
    pub async fn generate(
        &self,
        engine: SocketAddr,
        req: &GenerateRequest,
    ) -> Result<FrameStream, CallError> {
        let answer = send(self.fresh.post(&url(engine, GENERATE_PATH), req)).await?;
        if !answer.status().is_success() {
            return Err(CallError::Status {
                status: answer.status().as_u16(),
            });
        }
        Ok(FrameStream {
            chunks: answer.bytes_stream().boxed(),
            buf: BytesMut::new(),
        })
    }

    /// Cancels an attempt, whether or not it is known.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came.
    pub async fn cancel(&self, engine: SocketAddr, attempt: AttemptRef) -> Result<(), CallError> {
        let req = self
            .fresh
            .post(&url(engine, CANCEL_PATH), &CancelRequest { attempt });
        send(req.timeout(SHORT_TIMEOUT.to_duration())).await.map(drop)
    }

    /// Reads the load as the engine last reported it.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came.
    pub async fn load(&self, engine: SocketAddr) -> Result<LoadReport, CallError> {
        send_json(self.reads.get(&url(engine, LOAD_PATH))).await
    }

    /// Reads cache events past a number.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came.
    pub async fn cache_events(&self, engine: SocketAddr, after: u64) -> Result<CacheEvents, CallError> {
        let req = self
            .reads
            .get(&url(engine, CACHE_EVENTS_PATH))
            .query(&[("after", after)]);
        send_json(req).await
    }

    /// Exports an attempt's prefilled state.
    ///
    /// # Errors
    ///
    /// [`CallError`] when there is nothing to export.
    pub async fn export_kv(&self, engine: SocketAddr, attempt: AttemptRef) -> Result<KvExport, CallError> {
        let req = self
            .fresh
            .post(&url(engine, KV_EXPORT_PATH), &KvExportRequest { attempt });
        send_json(req.timeout(SHORT_TIMEOUT.to_duration())).await
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`CallError::Status`] 409 when the engine knows a newer fencing token.
    pub async fn order(&self, engine: SocketAddr, order: &Order) -> Result<EngineState, CallError> {
        let req = self.fresh.post(&url(engine, ORDER_PATH), order);
        send_json(req.timeout(SHORT_TIMEOUT.to_duration())).await
    }

    /// Reads an engine's state back.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came.
    pub async fn state(&self, engine: SocketAddr) -> Result<EngineState, CallError> {
        send_json(self.reads.get(&url(engine, STATE_PATH))).await
    }
}

fn url(engine: SocketAddr, path: &str) -> String {
    format!("http://{engine}{path}")
}
