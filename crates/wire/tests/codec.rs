//! Encoding and decoding round-trips messages; malformed messages are rejected with a typed error.

use carawayseam_types::Revision;
use carawayseam_wire::{
    MAX_DATAGRAM_BYTES, PROTOCOL_VERSION, Record, RecordKey, StreamReply, StreamRequest, WireError, decode,
    decode_datagram, encode,
};

fn record_reply() -> StreamReply {
    let key = RecordKey::Configuration("ben-slama".parse().expect("a name"));
    StreamReply::Record(Some(Record::new(
        key,
        Revision(7),
        "environment: ben-slama".to_owned(),
    )))
}

#[test]
fn record_round_trips() {
    let buf = encode(&record_reply()).expect("it encodes");
    assert_eq!(decode::<StreamReply>(&buf).expect("it decodes"), record_reply());
}

#[test]
fn digest_of_a_head_takes_16_bytes() {
    let StreamReply::Record(Some(record)) = record_reply() else {
        unreachable!("it is a record");
    };
    let key = encode(&record.head.key).expect("it encodes");
    let head = encode(&record.head).expect("it encodes");
    assert_eq!(head.len() - key.len(), 1 + 16);
}

#[test]
fn every_truncated_message_is_refused() {
    let buf = encode(&record_reply()).expect("it encodes");
    for end in 0..buf.len() {
        let truncated = decode::<StreamReply>(&buf[..end]);
        assert!(
            matches!(truncated, Err(WireError::Empty | WireError::Codec(_))),
            "{end} bytes: {truncated:?}"
        );
    }
}

#[test]
fn other_protocol_version_is_refused() {
    let mut buf = encode(&StreamRequest::Heads).expect("it encodes");
    buf[0] = PROTOCOL_VERSION + 1;
    let found = PROTOCOL_VERSION + 1;
    assert_eq!(decode::<StreamRequest>(&buf), Err(WireError::Version { found }));
}

#[test]
fn trailing_bytes_are_refused() {
    let mut buf = encode(&StreamRequest::Heads).expect("it encodes");
    buf.push(0);
    assert_eq!(
        decode::<StreamRequest>(&buf),
        Err(WireError::Trailing { extra: 1 })
    );
}

#[test]
fn long_datagram_is_refused() {
    let buf = vec![PROTOCOL_VERSION; MAX_DATAGRAM_BYTES + 1];
    assert!(matches!(decode_datagram(&buf), Err(WireError::TooLong { .. })));
}
