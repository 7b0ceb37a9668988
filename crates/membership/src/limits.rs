//! Periods, fan-outs and sizes of the protocol.

use carawayseam_types::Millis;

/// One probe of a random peer is sent each period.
pub(crate) const PROBE_PERIOD: Millis = Millis(500);
/// A probe unanswered for this long is tried through other peers.
pub(crate) const DIRECT_TIMEOUT: Millis = Millis(200);
/// A probe unanswered for this long makes its target suspect.
pub(crate) const PROBE_TIMEOUT: Millis = Millis(600);
/// Peers that are asked to probe a silent one.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// Of this many probes, one goes to another zone.
pub(crate) const OTHER_ZONE_PROBE_INTERVAL: u64 = 3;
/// A suspect that does not refute for this long, times the peers' order of magnitude, is dead.
pub(crate) const SUSPICION_TIMEOUT: Millis = Millis(2_000);
/// How often peers are looked through for those whose time is up.
pub(crate) const EXPIRE_PERIOD: Millis = Millis(200);
/// A leaving peer counts as dead after this long.
pub(crate) const LEAVING_TTL: Millis = Millis::from_secs(60);
/// A dead peer that the host list does not name is forgotten after this long.
pub(crate) const DEAD_TTL: Millis = Millis::from_secs(600);
/// How often one seed or dead peer that might be back is probed.
pub(crate) const REJOIN_PERIOD: Millis = Millis(1_000);
/// A process asks this many peers for everything before it counts as caught up.
pub(crate) const MIN_SYNCED_PEERS: usize = 3;
/// How often in its life a process asks for everything.
pub(crate) const MAX_JOIN_ROUNDS: u32 = 20;
/// A host list older than this no longer shuts unknown hosts out.
pub(crate) const HOST_LIST_TTL: Millis = Millis::from_secs(60);
/// A step of the clock beyond this counts as a pause of the process, not as silence of its peers.
pub(crate) const MAX_CLOCK_STEP: Millis = Millis(500);

/// Up to this many live peers, urgent news goes to all of them at once.
pub(crate) const MAX_BROADCAST_PEERS: usize = 32;
/// Beyond that size, urgent news goes at once to this many peers.
pub(crate) const FANOUT: usize = 4;
/// Each piece of news is sent this often, times the binary logarithm of the number of peers.
pub(crate) const RETRANSMIT_FACTOR: u32 = 2;
/// Bytes of news on a probe or its answer, so that a storm of news does not become one of bytes.
pub(crate) const MAX_PROBE_UPDATE_BYTES: usize = 360;
/// Bytes that a datagram spends on news it happens to know, beside what is new.
pub(crate) const MAX_ROTATION_BYTES: usize = 120;
/// Datagrams that tell a newcomer everything.
pub(crate) const MAX_TRANSFER_DATAGRAMS: usize = 64;
/// Bytes a second for frequent news that is sent at once; it waits when they are spent.
pub(crate) const BULK_BYTES_PER_SECOND: u64 = 1_000;
/// The most bytes that frequent news may spend in one burst.
pub(crate) const BULK_BURST_BYTES: u64 = 8_000;
/// How many times own values that go only to some peers are sent again.
pub(crate) const DIRECTED_RESENDS: u32 = 2;
/// The time between those times.
pub(crate) const RESEND_PERIOD: Millis = Millis(2_000);
/// A lease holder that gave no sign of life for this long gets no counts.
pub(crate) const HOLDER_TTL: Millis = Millis::from_secs(30);
/// What UDP and IP add to a datagram, in bytes.
pub(crate) const PACKET_OVERHEAD_BYTES: usize = 28;

/// A pull that was not answered for this long has failed.
pub(crate) const PULL_TIMEOUT: Millis = Millis(1_500);
/// The wait after a first failed pull; it doubles with each.
pub(crate) const MIN_PULL_BACKOFF: Millis = Millis(100);
/// The longest wait between two pulls of one record.
pub(crate) const MAX_PULL_BACKOFF: Millis = Millis(3_200);
/// Pulls under way at once.
pub(crate) const MAX_PULLS: usize = 8;
/// Sources remembered for one record.
pub(crate) const MAX_SOURCES: usize = 4;
/// A record that could not be pulled this often is given up.
pub(crate) const MAX_PULL_FAILURES: u32 = 20;
