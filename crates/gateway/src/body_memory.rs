//! Bounds the memory that the bodies of all requests and responses hold together.
//!
//! The size of each body is bounded, but many together would exceed the memory of a small host, and a process
//! that ends for want of memory loses the requests of all callers. A body is counted before it is read, and its sender
//! waits while there is no room: small ones in the budget of all clients, larger ones in a supply of their own.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use carawayseam_types::{Bytes as Size, Clock, Millis};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout_at};

use crate::client_memory::{Charge, ClientMemory, ClientState, Scarce};

/// The size up to which a body needs no room, and counts in the common budget only.
pub(crate) const SMALL_BODY_BYTES: usize = 64 * 1_024;
/// The unit in which room is counted.
const UNIT_BYTES: usize = 1_024;
/// The bytes that may be read beyond a body's room before it has more.
const HEADROOM_BYTES: usize = 64 * 1_024;
/// The first part of a body without a length that is counted; each further one is as large as those before.
const FIRST_PART_BYTES: usize = 4 * 1_024;
/// The size of the parts in which a body without a length is held until it is complete. Growing buffers of many bodies
/// beside each other left as much unused memory in the allocator as they held.
const SEGMENT_BYTES: usize = 32 * 1_024;
/// The interval at which a body that waits for memory looks for it, or for clients to close.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
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
    clients: Arc<ClientMemory>,
    clock: Clock,
}

impl BodyMemory {
    /// Creates the supply of a process that may use this much memory.
    pub(crate) fn new(process_memory: Size, clients: Arc<ClientMemory>) -> Self {
        let room = (process_memory.0 as f64 * BODY_SHARE) as usize;
        Self {
            clients,
            ..Self::with_room(room)
        }
    }

    /// Creates a supply of this many bytes.
    pub(crate) fn with_room(bytes: usize) -> Self {
        let units = (bytes / UNIT_BYTES).clamp(1, Semaphore::MAX_PERMITS);
        Self {
            room: Arc::new(Semaphore::new(units)),
            units,
            clients: Arc::new(ClientMemory::unlimited()),
            clock: Clock::boot(),
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
        let reserving = async {
            tokio::select! {
                biased;
                reserved = reserving => reserved,
                never = self.close_stalled_bodies() => match never {},
            }
        };
        // The semaphore is never closed, so only the time limit ends the wait without room.
        if let Ok(Ok(permit)) = timeout_at(room_by, reserving).await {
            return Ok(permit);
        }
        log::warn!(bytes = bytes; "no memory left for a body");
        Err(BodyReadError::NoRoom)
    }
}

impl BodyMemory {
    /// Closes clients with large bodies that stop half-way, as long as another body waits for their room.
    async fn close_stalled_bodies(&self) -> std::convert::Infallible {
        loop {
            self.clients.close_stalled(self.clock.now(), Scarce::BodyRoom);
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Waits until a small body's charge has this size, at most until `room_by`.
    async fn charge(
        &self,
        charge: &mut Option<Charge>,
        bytes: usize,
        room_by: Instant,
    ) -> Result<(), BodyReadError> {
        let charge = charge.get_or_insert_with(|| Charge::none(&self.clients));
        while !charge.try_resize(bytes) {
            if Instant::now() >= room_by {
                log::warn!(bytes = bytes; "no memory left for a body");
                return Err(BodyReadError::NoRoom);
            }
            self.clients.close_stalled(self.clock.now(), Scarce::Connections);
            sleep(RETRY_INTERVAL).await;
        }
        Ok(())
    }
}

/// The client whose body it is waits for the gateway as long as this exists.
struct Wait<'a> {
    client: Option<&'a ClientState>,
    clock: &'a Clock,
    since: Millis,
}

impl<'a> Wait<'a> {
    fn new(client: Option<&'a ClientState>, clock: &'a Clock) -> Self {
        if let Some(client) = client {
            client.begin_wait();
        }
        Self {
            client,
            clock,
            since: clock.now(),
        }
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if let Some(client) = self.client {
            client.end_wait(self.clock.now(), self.since);
        }
    }
}

/// The room of a large body, which counts as held by its client.
#[derive(Debug)]
struct Room {
    permit: OwnedSemaphorePermit,
    client: Option<Arc<ClientState>>,
}

impl Drop for Room {
    fn drop(&mut self) {
        if let Some(client) = &self.client {
            client.remove_body_room(self.permit.num_permits());
        }
    }
}

/// The part of a body that has been read, and its room.
#[derive(Debug, Default)]
pub(crate) struct BodyBuf {
    /// The last segment of a body without a length; other bodies have only this one.
    bytes: BytesMut,
    held: Box<HeldBody>,
}

/// What a body holds beside its last segment.
#[derive(Debug, Default)]
struct HeldBody {
    /// The earlier segments of a body without a length, of [`SEGMENT_BYTES`] each.
    segments: Vec<BytesMut>,
    room: Option<Room>,
    /// The memory of a body without room.
    small: Option<Charge>,
    /// The client that sends or gets the body.
    client: Option<Arc<ClientState>>,
}

/// A complete body, which keeps its room until it is no longer used.
struct ReservedBody {
    bytes: Bytes,
    _held: Box<HeldBody>,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBuf {
    /// Creates the buffer of a body that a client sends or gets.
    pub(crate) fn of(client: Arc<ClientState>) -> Self {
        let mut buf = Self::default();
        buf.held.client = Some(client);
        buf
    }

    pub(crate) fn len(&self) -> usize {
        self.held.segments.iter().map(BytesMut::len).sum::<usize>() + self.bytes.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes that have been read.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Appends bytes of a body without a length, in segments that are filled exactly and so never grow.
    fn push_to_segments(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.bytes.len() >= SEGMENT_BYTES {
                let segment = std::mem::replace(&mut self.bytes, BytesMut::with_capacity(SEGMENT_BYTES));
                self.held.segments.push(segment);
            }
            let room = SEGMENT_BYTES - self.bytes.len();
            let (part, rest) = bytes.split_at(room.min(bytes.len()));
            self.bytes.extend_from_slice(part);
            bytes = rest;
        }
    }

    /// Returns all segments as one, each of which is given back as soon as it was copied.
    fn join(&mut self) -> BytesMut {
        if self.held.segments.is_empty() {
            return std::mem::take(&mut self.bytes);
        }
        let mut joined = BytesMut::with_capacity(self.len());
        for segment in std::mem::take(&mut self.held.segments) {
            joined.extend_from_slice(&segment);
        }
        joined.extend_from_slice(&std::mem::take(&mut self.bytes));
        joined
    }

    /// Returns what has been read, and forgets it.
    pub(crate) fn split(&mut self) -> BytesMut {
        self.held.room = None;
        self.held.small = None;
        self.join()
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
                let bytes = self.len().saturating_mul(2).max(FIRST_PART_BYTES);
                self.grow(memory, bytes, room_by).await?;
            }
            let Some(frame) = body.frame().await else {
                return Ok(());
            };
            if let Some(bytes) = frame?.data_ref() {
                match known_length {
                    Some(_) => self.push(bytes),
                    None => self.push_to_segments(bytes),
                }
            }
            if self.len() > max_bytes {
                return Err(BodyReadError::Overlong);
            }
        }
    }

    /// Returns the complete body.
    pub(crate) fn freeze(mut self) -> Bytes {
        let bytes = self.join().freeze();
        if self.held.room.is_none() && self.held.small.is_none() {
            return bytes;
        }
        Bytes::from_owner(ReservedBody {
            bytes,
            _held: self.held,
        })
    }

    fn room_bytes(&self) -> usize {
        let room = self.held.room.as_ref();
        room.map_or(SMALL_BODY_BYTES, |room| room.permit.num_permits() * UNIT_BYTES)
    }

    /// Waits until there is room for this many bytes in all, at most until `room_by`.
    async fn grow(
        &mut self,
        memory: &BodyMemory,
        bytes: usize,
        room_by: Instant,
    ) -> Result<(), BodyReadError> {
        let client = self.held.client.clone();
        let _wait = Wait::new(client.as_deref(), &memory.clock);
        if bytes <= SMALL_BODY_BYTES && self.held.room.is_none() {
            let charged = self.held.small.as_ref().map_or(0, Charge::bytes);
            if bytes > charged {
                memory.charge(&mut self.held.small, bytes, room_by).await?;
            }
            return Ok(());
        }
        if bytes <= self.room_bytes() {
            return Ok(());
        }
        let held = self
            .held
            .room
            .as_ref()
            .map_or(0, |room| room.permit.num_permits());
        let units = bytes.div_ceil(UNIT_BYTES).min(memory.units);
        if units <= held {
            return Ok(());
        }
        let more = memory.reserve((units - held) * UNIT_BYTES, room_by).await?;
        if let Some(client) = &self.held.client {
            client.add_body_room(more.num_permits());
        }
        match &mut self.held.room {
            Some(room) => room.permit.merge(more),
            None => {
                self.held.room = Some(Room {
                    permit: more,
                    client: self.held.client.clone(),
                });
            }
        }
        self.held.small = None;
        Ok(())
    }
}
