//! Length-delimited messages over TCP.

use std::net::SocketAddr;

use bytes::Bytes;
use carawayseam_types::Millis;
use carawayseam_wire::{
    Head, MAX_STREAM_BYTES, Record, RecordKey, StreamReply, StreamRequest, WireError, decode, encode,
};
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};

const CONNECT_TIMEOUT: Millis = Millis(500);
const PULL_TIMEOUT: Millis = Millis(2_000);
/// A connection on which a send does not complete within this time is considered dead.
const SEND_TIMEOUT: Millis = Millis::from_secs(10);

/// A stream of messages to a peer.
#[derive(Debug)]
pub struct FrameStream(Framed<TcpStream, LengthDelimitedCodec>);

/// An error of a stream.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StreamError {
    /// The connection could not be established.
    #[display("the connection could not be made")]
    Connect(#[error(source)] std::io::Error),
    /// The connection broke.
    #[display("the connection broke")]
    Io(#[error(source)] std::io::Error),
    /// No message was received in time, or a send did not complete.
    #[display("nothing came within {_0}")]
    #[error(ignore)]
    Timeout(Millis),
    /// The peer closed the stream.
    #[display("the peer closed the stream")]
    Closed,
    /// A message could not be encoded or decoded.
    #[display("a message cannot be read")]
    Wire(#[error(source)] WireError),
    /// The peer sent a reply of another kind.
    #[display("the peer answered something else")]
    Unexpected,
}

impl FrameStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // Frames are small requests and replies, so Nagle's algorithm would only delay them.
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("TCP_NODELAY could not be set: {e}");
        }
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_STREAM_BYTES)
            .new_codec();
        Self(Framed::new(stream, codec))
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError`] if the message cannot be encoded or sent.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), StreamError> {
        let buf = encode(message).map_err(StreamError::Wire)?;
        match timeout(SEND_TIMEOUT.to_duration(), self.0.send(Bytes::from(buf))).await {
            Ok(sent) => sent.map_err(StreamError::Io),
            Err(_) => Err(StreamError::Timeout(SEND_TIMEOUT)),
        }
    }

    /// Receives one message.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::Closed`] at the end of the stream, or the error of reading or decoding.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, StreamError> {
        match self.0.next().await {
            Some(Ok(buf)) => decode(&buf).map_err(StreamError::Wire),
            Some(Err(e)) => Err(StreamError::Io(e)),
            None => Err(StreamError::Closed),
        }
    }

    /// Receives one message within `limit`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`FrameStream::receive`], and [`StreamError::Timeout`].
    pub async fn receive_within<T: DeserializeOwned>(&mut self, limit: Millis) -> Result<T, StreamError> {
        match timeout(limit.to_duration(), self.receive()).await {
            Ok(received) => received,
            Err(_) => Err(StreamError::Timeout(limit)),
        }
    }

    /// Returns the connection, for its socket options.
    #[must_use]
    pub fn tcp(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Returns the connection, for bytes that are no longer framed.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Trailing`] if bytes after the last message were already read.
    pub fn into_tcp(self) -> Result<TcpStream, StreamError> {
        let FramedParts { io, read_buf, .. } = self.0.into_parts();
        match read_buf.len() {
            0 => Ok(io),
            extra => Err(StreamError::Wire(WireError::Trailing { extra })),
        }
    }
}

/// Connects to a peer.
///
/// # Errors
///
/// Returns [`StreamError::Connect`] or [`StreamError::Timeout`].
pub async fn connect(to: SocketAddr) -> Result<FrameStream, StreamError> {
    match timeout(CONNECT_TIMEOUT.to_duration(), TcpStream::connect(to)).await {
        Ok(Ok(stream)) => Ok(FrameStream::new(stream)),
        Ok(Err(e)) => Err(StreamError::Connect(e)),
        Err(_) => Err(StreamError::Timeout(CONNECT_TIMEOUT)),
    }
}

/// Pulls a record from a peer; returns `None` if the peer does not have it.
///
/// # Errors
///
/// Returns [`StreamError`] if the peer does not send the expected reply.
async fn fetch_record(from: SocketAddr, key: RecordKey) -> Result<Option<Record>, StreamError> {
    match request(from, &StreamRequest::Pull(key)).await? {
        StreamReply::Record(record) => Ok(record),
        StreamReply::Heads(_) => Err(StreamError::Unexpected),
    }
}

/// Pulls a record from a peer; returns `None` also on an error, after which the caller tries another peer.
pub async fn pull_record(from: SocketAddr, key: RecordKey) -> Option<Record> {
    match fetch_record(from, key.clone()).await {
        Ok(record) => record,
        Err(e) => {
            log::debug!("{key} was not pulled from {from}: {e}");
            None
        }
    }
}

/// Fetches all heads known to a peer.
///
/// # Errors
///
/// Returns [`StreamError`] if the peer does not send the expected reply.
pub async fn fetch_heads(from: SocketAddr) -> Result<Vec<Head>, StreamError> {
    match request(from, &StreamRequest::Heads).await? {
        StreamReply::Heads(heads) => Ok(heads),
        StreamReply::Record(_) => Err(StreamError::Unexpected),
    }
}

async fn request(from: SocketAddr, req: &StreamRequest) -> Result<StreamReply, StreamError> {
    let mut stream = connect(from).await?;
    stream.send(req).await?;
    stream.receive_within(PULL_TIMEOUT).await
}
