//! Heartbeats of hosts that route alone.

use carawayseam_types::{EngineId, EngineKey, Incarnation};
use carawayseam_wire::{Beat, EngineLoad, MAX_DATAGRAM_BYTES, PeerMessage, decode, encode};

/// Backend servers of the larger of the deployments that are planned next.
const ENGINES: u32 = 145;

fn beat(engines: u32) -> Beat {
    let load = |number: u32| {
        let engine: EngineId = format!("i-{number:010x}").parse().expect("a valid name");
        EngineLoad {
            engine: EngineKey::from(&engine),
            running: 5,
            prompt_ahead: 7,
        }
    };
    Beat {
        host: "front-th-central-a-1".parse().expect("a valid name"),
        incarnation: Incarnation(1_796_361_674_670),
        seq: 100_000,
        serves_keys: true,
        engines: (0..engines).map(load).collect(),
        waiting: Vec::new(),
        moves: Vec::new(),
        crashes: Vec::new(),
        leavers: Vec::new(),
    }
}

#[test]
fn the_loads_of_a_grown_deployment_fit_one_datagram() {
    let message = PeerMessage::Beat(beat(ENGINES));
    let buf = encode(&message).expect("it can be encoded");
    assert!(buf.len() <= MAX_DATAGRAM_BYTES, "{} bytes", buf.len());
    let back: PeerMessage = decode(&buf).expect("it can be decoded");
    assert_eq!(back, message);
}
