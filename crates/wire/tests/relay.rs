//! The handshake of a relayed connection round-trips and is small.

use carawayseam_types::Millis;
use carawayseam_wire::{RelayRefusal, RelayRequest, RelayResponse, decode, encode};

/// The maximum size of a handshake's messages with names of usual length.
const MAX_BYTES: usize = 48;

fn request() -> RelayRequest {
    RelayRequest {
        host: "front-th-central-a-1".parse().expect("a valid name"),
        engine: "i-0123456789".parse().expect("a valid name"),
        connect_timeout: Millis(250),
    }
}

#[test]
fn a_request_round_trips() {
    let buf = encode(&request()).expect("it encodes");
    assert!(buf.len() <= MAX_BYTES, "{} bytes", buf.len());
    assert_eq!(decode::<RelayRequest>(&buf).expect("it decodes"), request());
}

/// Hosts of two versions talk to each other, so a response keeps its encoding.
#[test]
fn each_response_keeps_its_encoding() {
    let responses = [
        (RelayResponse::Connected, vec![1, 0]),
        (RelayResponse::Unreachable, vec![1, 1]),
        (RelayResponse::Refused(RelayRefusal::UnknownServer), vec![1, 2, 0]),
        (RelayResponse::Refused(RelayRefusal::Draining), vec![1, 2, 1]),
        (RelayResponse::Refused(RelayRefusal::Stopping), vec![1, 2, 2]),
        (RelayResponse::Refused(RelayRefusal::TooMany), vec![1, 2, 3]),
        (RelayResponse::Refused(RelayRefusal::UnknownHost), vec![1, 2, 4]),
    ];
    for (response, bytes) in responses {
        assert_eq!(encode(&response).expect("it encodes"), bytes, "{response:?}");
        assert_eq!(decode::<RelayResponse>(&bytes).expect("it decodes"), response);
    }
}
