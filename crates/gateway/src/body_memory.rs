//! Bounds the memory that the bodies of all requests and responses hold together.
//!
//! The size of each body is bounded, but many together would exceed the memory of a small host, and a process
//! that ends for want of memory loses the requests of all callers. Small bodies always have room. A larger one
//! takes its room from a common supply before it is read, and its sender waits while there is none.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use carawayseam_types::Bytes as Size;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

/// The size up to which a body needs no room.
pub(crate) const SMALL_BODY_BYTES: usize = 64 * 1_024;
/// The unit in which room is counted.
const UNIT_BYTES: usize = 1_024;
/// The bytes that may be read beyond a body's room before it has more.
const HEADROOM_BYTES: usize = 64 * 1_024;
/// The share of the process's memory that larger bodies may hold together.
const BODY_SHARE: f64 = 0.3;

/// Why a body was not read to its end.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(crate) enum BodyReadError {
    /// The connection broke.
    #[display("the connection broke: {_0}")]
    Lost(hyper::Error),
    /// It is larger than its limit.
    #[display("the body exceeds the size limit")]
    #[from(ignore)]
    Overlong,
    /// Other bodies hold all the memory.
    #[display("the host has no memory left for the body")]
    #[from(ignore)]
    NoRoom,
}

/// The room for larger bodies.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    room: Arc<Semaphore>,
    units: usize,
}

impl BodyMemory {
    /// Creates the supply of a process that may use this much memory.
    pub(crate) fn new(process_memory: Size) -> Self {
        Self::with_room((process_memory.0 as f64 * BODY_SHARE) as usize)
    }

    /// Creates a supply of this many bytes.
    pub(crate) fn with_room(bytes: usize) -> Self {
        let units = (bytes / UNIT_BYTES).clamp(1, Semaphore::MAX_PERMITS);
        Self {
            room: Arc::new(Semaphore::new(units)),
            units,
        }
    }

    /// Waits for room for this many bytes, or all room if there is less, until `room_by`.
    ///
    /// # Errors
    ///
    /// [`BodyReadError::NoRoom`] if there is none by then.
    pub(crate) async fn reserve(
        &self,
        bytes: usize,
        room_by: Instant,
    ) -> Result<OwnedSemaphorePermit, BodyReadError> {
        let units = bytes.div_ceil(UNIT_BYTES).min(self.units);
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        let reserving = Arc::clone(&self.room).acquire_many_owned(units);
        // The semaphore is never closed, so only the time limit ends the wait without room.
        if let Ok(Ok(permit)) = timeout_at(room_by, reserving).await {
            return Ok(permit);
        }
        log::warn!(bytes = bytes; "no memory left for a body");
        Err(BodyReadError::NoRoom)
    }
}

/// The part of a body that has been read, and its room.
#[derive(Debug, Default)]
pub(crate) struct BodyBuf {
    bytes: BytesMut,
    room: Option<OwnedSemaphorePermit>,
}

/// A complete body, which keeps its room until it is no longer used.
struct ReservedBody {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBuf {
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes that have been read.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns what has been read, and forgets it.
    pub(crate) fn split(&mut self) -> BytesMut {
        self.room = None;
        self.bytes.split()
    }

    /// Reads the rest of a body, and waits for room until `room_by`.
    ///
    /// Nothing that was read is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// [`BodyReadError`], for a body of more than `max_bytes` among others.
    pub(crate) async fn read_to_end(
        &mut self,
        memory: &BodyMemory,
        body: &mut Incoming,
        max_bytes: usize,
        room_by: Instant,
    ) -> Result<(), BodyReadError> {
        let known_length = body.size_hint().exact();
        if let Some(left) = known_length {
            let left = usize::try_from(left).unwrap_or(usize::MAX);
            if left > max_bytes.saturating_sub(self.len()) {
                return Err(BodyReadError::Overlong);
            }
            self.grow(memory, self.len() + left, room_by).await?;
            self.bytes.reserve(left);
        }
        loop {
            if known_length.is_none() && self.len() + HEADROOM_BYTES > self.room_bytes() {
                self.grow(memory, self.len().saturating_mul(2), room_by).await?;
                self.bytes.reserve(self.room_bytes().saturating_sub(self.len()));
            }
            let Some(frame) = body.frame().await else {
                return Ok(());
            };
            if let Some(bytes) = frame?.data_ref() {
                self.push(bytes);
            }
            if self.len() > max_bytes {
                return Err(BodyReadError::Overlong);
            }
        }
    }

    /// Returns the complete body.
    pub(crate) fn freeze(self) -> Bytes {
        let bytes = self.bytes.freeze();
        match self.room {
            Some(room) => Bytes::from_owner(ReservedBody { bytes, _room: room }),
            None => bytes,
        }
    }

    fn room_bytes(&self) -> usize {
        let room = self.room.as_ref();
        room.map_or(SMALL_BODY_BYTES, |room| room.num_permits() * UNIT_BYTES)
    }

    /// Waits until there is room for this many bytes in all, at most until `room_by`.
    async fn grow(
        &mut self,
        memory: &BodyMemory,
        bytes: usize,
        room_by: Instant,
    ) -> Result<(), BodyReadError> {
        if bytes <= self.room_bytes() {
            return Ok(());
        }
        let held = self.room.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let units = bytes.div_ceil(UNIT_BYTES).min(memory.units);
        if units <= held {
            return Ok(());
        }
        let more = memory.reserve((units - held) * UNIT_BYTES, room_by).await?;
        match &mut self.room {
            Some(room) => room.merge(more),
            None => self.room = Some(more),
        }
        Ok(())
    }
}
