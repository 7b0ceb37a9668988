//! Encodes messages with a leading version byte.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Datagram;

/// The version of all messages; a message of another version is rejected.
pub const PROTOCOL_VERSION: u8 = 1;
/// The maximum size of a datagram, below the usual MTU of a network.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The maximum size of a message on a stream.
pub const MAX_STREAM_BYTES: usize = 2 * 1_024 * 1_024;

/// An error of encoding or decoding a message.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum WireError {
    /// The message is empty.
    #[display("the message is empty")]
    Empty,
    /// The message is longer than its limit.
    #[display("the message has {found} bytes, more than {limit}")]
    TooLong {
        /// Its size in bytes.
        found: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The message has another protocol version.
    #[display("protocol version {found} is not {PROTOCOL_VERSION}")]
    Version {
        /// The version found.
        found: u8,
    },
    /// The message is truncated or corrupt.
    #[display("the message cannot be decoded: {_0}")]
    Codec(postcard::Error),
    /// Bytes follow the message.
    #[display("{extra} bytes follow the message")]
    Trailing {
        /// The number of bytes.
        extra: usize,
    },
}

/// Encodes a message, preceded by the protocol version.
///
/// # Errors
///
/// Returns [`WireError::Codec`] for a type that cannot be encoded, which is a bug.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    postcard::to_extend(message, vec![PROTOCOL_VERSION]).map_err(WireError::Codec)
}

/// Decodes a message that [`encode`] wrote.
///
/// # Errors
///
/// Returns [`WireError`] for bytes that are not exactly one message of this protocol version.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, WireError> {
    let (version, body) = buf.split_first().ok_or(WireError::Empty)?;
    if *version != PROTOCOL_VERSION {
        return Err(WireError::Version { found: *version });
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(WireError::Trailing { extra: rest.len() }),
        Err(e) => Err(WireError::Codec(e)),
    }
}

/// Decodes a datagram of at most [`MAX_DATAGRAM_BYTES`].
///
/// # Errors
///
/// Returns the errors of [`decode`], and [`WireError::TooLong`] for a larger datagram.
pub fn decode_datagram(buf: &[u8]) -> Result<Datagram, WireError> {
    if buf.len() > MAX_DATAGRAM_BYTES {
        return Err(WireError::TooLong {
            found: buf.len(),
            limit: MAX_DATAGRAM_BYTES,
        });
    }
    decode(buf)
}
