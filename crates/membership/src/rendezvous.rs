//! Rendezvous hashing, which assigns keys to processes without communication.

use carawayseam_types::Digest;
use carawayseam_wire::{Peer, PeerRole};

/// Returns the processes among `peers` that own a key, at most `count`.
///
/// All processes with the same list of peers choose the same owners, and the
/// loss of a process moves only the keys that it owned.
///
/// ```
/// use carawayseam_membership::rendezvous;
///
/// assert!(rendezvous(&[], "environments/ben-slama", 2).is_empty());
/// ```
#[must_use]
pub fn rendezvous<'a>(peers: &[&'a Peer], key: &str, count: usize) -> Vec<&'a Peer> {
    let mut scored: Vec<(Digest, &Peer)> = peers.iter().map(|peer| (score(peer, key), *peer)).collect();
    scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.truncate(count);
    scored.into_iter().map(|(_, peer)| peer).collect()
}

/// Returns the control processes of `zone_peers` that watch the store for a key.
///
/// `zone_peers` are the live peers of one availability zone, including this process.
#[must_use]
pub fn watchers<'a>(zone_peers: &[&'a Peer], key: &str, count: usize) -> Vec<&'a Peer> {
    let is_control = |peer: &&&Peer| peer.role == PeerRole::Control;
    let control: Vec<&Peer> = zone_peers.iter().filter(is_control).copied().collect();
    rendezvous(&control, key, count)
}

fn score(peer: &Peer, key: &str) -> Digest {
    let text = format!("{key}\0{}\0{}", peer.host, peer.role);
    Digest::of(text.as_bytes())
}
