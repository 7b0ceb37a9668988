//! Malformed datagrams are rejected with a typed error and never cause a panic.

use carawayseam_types::{Incarnation, Revision};
use carawayseam_wire::{
    Body, Datagram, GossipUpdate, Item, ItemKey, MAX_DATAGRAM_BYTES, PROTOCOL_VERSION, Peer, PeerRole,
    PeerState, Record, RecordKey, Topic, WireError, decode_datagram, encode,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 2_000;

fn datagram() -> Datagram {
    let from = Peer {
        host: "host-a1".parse().expect("a name"),
        role: PeerRole::Control,
        zone: "sfax-a".parse().expect("a name"),
        address: ([10, 20, 1, 1], 7400).into(),
        incarnation: Incarnation(3),
        state: PeerState::Alive,
    };
    let key = RecordKey::Configuration("ben-slama".parse().expect("a name"));
    let record = Record::new(key, Revision(7), "environment: ben-slama".to_owned());
    let item = Item {
        key: ItemKey {
            host: from.host.clone(),
            role: from.role,
            topic: Topic::Stopped,
            name: "guide-to-2".to_owned(),
        },
        incarnation: Incarnation(3),
        seq: 9,
        payload: vec![1, 2, 3],
    };
    let updates = vec![
        GossipUpdate::Peer(from.clone()),
        GossipUpdate::Head(record.head),
        GossipUpdate::Item(item),
    ];
    Datagram {
        from,
        body: Body::Probe { seq: 5 },
        updates,
    }
}

/// Defines a test that corrupts an encoded datagram and expects a decoding error.
macro_rules! refused {
    ($name:ident, $corrupt:expr, $pattern:pat) => {
        #[test]
        fn $name() {
            let mut buf = encode(&datagram()).expect("it encodes");
            let corrupt: fn(&mut Vec<u8>) = $corrupt;
            corrupt(&mut buf);
            let found = decode_datagram(&buf);
            assert!(matches!(found, Err($pattern)), "{found:?}");
        }
    };
}

refused!(empty_datagram_is_refused, Vec::clear, WireError::Empty);
refused!(
    cut_datagram_is_refused,
    |buf| buf.truncate(buf.len() - 1),
    WireError::Codec(_)
);
refused!(
    datagram_with_trailing_bytes_is_refused,
    |buf| buf.push(0),
    WireError::Trailing { extra: 1 }
);
refused!(
    datagram_of_another_version_is_refused,
    |buf| buf[0] = PROTOCOL_VERSION + 1,
    WireError::Version { .. }
);
refused!(
    datagram_beyond_the_limit_is_refused,
    |buf| buf.resize(MAX_DATAGRAM_BYTES + 1, 0),
    WireError::TooLong { .. }
);

#[test]
fn datagram_round_trips() {
    let buf = encode(&datagram()).expect("it encodes");
    assert_eq!(decode_datagram(&buf), Ok(datagram()));
}

#[test]
fn flipped_bytes_never_panic() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let encoded = encode(&datagram()).expect("it encodes");
    let flips = proptest::collection::vec((0..encoded.len(), any::<u8>()), 1..8);
    let result = runner.run(&flips, |flips| {
        let mut buf = encoded.clone();
        for (at, byte) in flips {
            buf[at] = byte;
        }
        // The flipped bytes may still form a valid datagram; decoding must only terminate without a panic.
        if let Ok(datagram) = decode_datagram(&buf) {
            prop_assert!(datagram.updates.len() <= MAX_DATAGRAM_BYTES);
        }
        Ok(())
    });
    result.expect("every datagram is decoded or rejected");
}
