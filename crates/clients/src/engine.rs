//! A client of model engines.

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

/// Limits every call other than a token stream.
const UNARY_TIMEOUT: Millis = Millis(2_000);
const DATA_FIELD: &[u8] = b"data:";

/// A client of model engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    /// For attempts, cancellations, exports and orders: a new connection for each call.
    unpooled: Http,
    /// For reads, which may be repeated.
    pooled: Http,
}

/// An error while reading a token stream.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum FrameError {
    /// The connection failed.
    #[display("connection to the engine failed during the stream")]
    Connection(#[error(source)] reqwest::Error),
    /// The stream ended without an end frame.
    #[display("token stream truncated: no end frame received")]
    Truncated,
    /// A frame is not valid JSON of the expected shape.
    #[display("malformed frame in the token stream")]
    Malformed(#[error(source)] serde_json::Error),
}

/// The stream of frames of one attempt.
pub struct FrameStream {
    chunks: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    // Holds received bytes not yet returned: a chunk may end in the middle of a frame.
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
    /// Waits for the next frame and returns it.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if the stream fails; it yields no frame after that.
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
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the HTTP library cannot be initialised.
    pub fn new() -> Result<Self, CallError> {
        // Model work is idempotent, but a retry by the HTTP library would run a
        // second prefill that the scheduler does not know of, so attempts do not
        // reuse connections.
        let unpooled = Http::builder().disable_pooling().build()?;
        let pooled = Http::builder().timeout(UNARY_TIMEOUT).build()?;
        Ok(Self { unpooled, pooled })
    }

    /// Starts an attempt and returns the stream of its frames.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the engine sends no successful response status.
    pub async fn generate(
        &self,
        engine: SocketAddr,
        req: &GenerateRequest,
    ) -> Result<FrameStream, CallError> {
        let response = send(self.unpooled.post(&url(engine, GENERATE_PATH), req)).await?;
        if !response.status().is_success() {
            return Err(CallError::Status {
                status: response.status().as_u16(),
            });
        }
        Ok(FrameStream {
            chunks: response.bytes_stream().boxed(),
            buf: BytesMut::new(),
        })
    }

    /// Cancels an attempt; succeeds also if the engine does not know it.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails.
    pub async fn cancel(&self, engine: SocketAddr, attempt: AttemptRef) -> Result<(), CallError> {
        let req = self
            .unpooled
            .post(&url(engine, CANCEL_PATH), &CancelRequest { attempt });
        send(req.timeout(UNARY_TIMEOUT.to_duration())).await.map(drop)
    }

    /// Reads the last load report of an engine.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails.
    pub async fn load(&self, engine: SocketAddr) -> Result<LoadReport, CallError> {
        send_json(self.pooled.get(&url(engine, LOAD_PATH))).await
    }

    /// Reads the cache events after the sequence number `after`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails.
    pub async fn cache_events(&self, engine: SocketAddr, after: u64) -> Result<CacheEvents, CallError> {
        let req = self
            .pooled
            .get(&url(engine, CACHE_EVENTS_PATH))
            .query(&[("after", after)]);
        send_json(req).await
    }

    /// Exports the prefilled state of an attempt.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails or the engine holds no state of the attempt.
    pub async fn export_kv(&self, engine: SocketAddr, attempt: AttemptRef) -> Result<KvExport, CallError> {
        let req = self
            .unpooled
            .post(&url(engine, KV_EXPORT_PATH), &KvExportRequest { attempt });
        send_json(req.timeout(UNARY_TIMEOUT.to_duration())).await
    }

    /// Sends an order and returns the state of the engine.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Status`] 409 if the engine has seen a newer fencing token.
    pub async fn order(&self, engine: SocketAddr, order: &Order) -> Result<EngineState, CallError> {
        let req = self.unpooled.post(&url(engine, ORDER_PATH), order);
        send_json(req.timeout(UNARY_TIMEOUT.to_duration())).await
    }

    /// Reads the state of an engine.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails.
    pub async fn state(&self, engine: SocketAddr) -> Result<EngineState, CallError> {
        send_json(self.pooled.get(&url(engine, STATE_PATH))).await
    }
}

fn url(engine: SocketAddr, path: &str) -> String {
    format!("http://{engine}{path}")
}
