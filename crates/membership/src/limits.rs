//! Periods, time-outs, fan-outs and sizes of the protocol.

use carawayseam_types::Millis;

/// Number of peers that are asked to probe an unresponsive one.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// One of this many probes goes to another zone, the rest to the own zone.
pub(crate) const OTHER_ZONE_PROBE_INTERVAL: u64 = 3;
/// Upper bound of the local health count, by which the time-outs grow.
pub(crate) const MAX_LOCAL_HEALTH: u32 = 4;
/// Time without any datagram after which a process that probes is isolated.
pub(crate) const ISOLATION_TIMEOUT: Millis = Millis(1_000);
/// Time without any datagram from a zone after which a process whose probes to it fail is cut off from the zone.
pub(crate) const ZONE_TIMEOUT: Millis = Millis(2_500);
/// Maximum number of seeds and dead peers that a process without live peers probes at a time.
pub(crate) const MAX_REJOIN_PROBES: usize = 4;
/// Interval between checks for peers whose state has expired.
pub(crate) const EXPIRE_PERIOD: Millis = Millis(200);
/// Time after which a leaving peer is declared dead.
pub(crate) const LEAVING_TTL: Millis = Millis::from_secs(60);
/// Time after which a dead peer that is not in the host list is removed.
pub(crate) const DEAD_TTL: Millis = Millis::from_secs(600);
/// Interval between probes of a seed or dead peer that may be back.
pub(crate) const REJOIN_PERIOD: Millis = Millis(1_000);
/// Number of peers that must send all their heads before a process counts as caught up.
pub(crate) const MIN_SYNCED_PEERS: usize = 3;
/// Maximum number of rounds of join requests in the life of a process.
pub(crate) const MAX_JOIN_ROUNDS: u32 = 20;
/// Maximum age of a host list by which unknown hosts are refused.
pub(crate) const HOST_LIST_TTL: Millis = Millis::from_secs(60);
/// Maximum step of the internal time.
///
/// A longer step of the clock counts as a pause of this process, not as time in
/// which its peers did not answer.
pub(crate) const MAX_CLOCK_STEP: Millis = Millis(500);

/// Number of random peers to which urgent updates are sent at once if there are more.
pub(crate) const FANOUT: usize = 4;
/// Number of times that an update is sent, multiplied by the binary logarithm of the number of peers.
pub(crate) const RETRANSMIT_FACTOR: u32 = 2;
/// Maximum bytes of updates on a probe or ack, which bounds the traffic while many updates are queued.
pub(crate) const MAX_PROBE_UPDATE_BYTES: usize = 360;
/// Maximum bytes per datagram for the rotation, which repeats known state.
pub(crate) const MAX_ROTATION_BYTES: usize = 120;
/// Maximum number of datagrams that answer a join request.
pub(crate) const MAX_TRANSFER_DATAGRAMS: usize = 64;
/// Rate at which the byte budget of bulk updates refills; they wait while it is spent.
pub(crate) const BULK_BYTES_PER_SECOND: u64 = 1_000;
/// Maximum size of the byte budget of bulk updates, and so of one burst.
pub(crate) const BULK_BURST_BYTES: u64 = 8_000;
/// Number of times that own values with a limited audience are resent.
pub(crate) const DIRECTED_RESENDS: u32 = 2;
/// Interval between those resends.
pub(crate) const RESEND_PERIOD: Millis = Millis(2_000);
/// Time without a heartbeat after which a lease holder no longer receives values for lease holders.
pub(crate) const HOLDER_TTL: Millis = Millis::from_secs(30);
/// Size of the UDP and IP headers of a datagram.
pub(crate) const PACKET_OVERHEAD_BYTES: usize = 28;

/// Time without an answer after which a pull has failed.
pub(crate) const PULL_TIMEOUT: Millis = Millis(1_500);
/// Delay after the first failed pull; it doubles with each further failure.
pub(crate) const MIN_PULL_BACKOFF: Millis = Millis(100);
/// Maximum delay between two pulls of one record.
pub(crate) const MAX_PULL_BACKOFF: Millis = Millis(3_200);
/// Maximum number of concurrent pulls.
pub(crate) const MAX_PULLS: usize = 8;
/// Maximum number of sources kept for one record.
pub(crate) const MAX_SOURCES: usize = 4;
/// Number of failed pulls after which a record is abandoned until it is announced again.
pub(crate) const MAX_PULL_FAILURES: u32 = 20;
