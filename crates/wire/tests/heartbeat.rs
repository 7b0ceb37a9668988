//! Sizes of the heartbeats of gateway hosts.

use carawayseam_types::{EngineId, EngineKey, Incarnation};
use carawayseam_wire::{EngineLoad, Heartbeat, MAX_DATAGRAM_BYTES, PeerMessage, decode, encode};

/// The number of backend servers in the larger of the planned deployments.
const ENGINES: u32 = 145;

fn heartbeat(engines: u32) -> Heartbeat {
    let load = |number: u32| {
        let engine: EngineId = format!("i-{number:010x}").parse().expect("a valid name");
        EngineLoad {
            engine: EngineKey::from(&engine),
            running: 5,
            pending_prompt_tokens: 7,
        }
    };
    Heartbeat {
        host: "front-th-central-a-1".parse().expect("a valid name"),
        incarnation: Incarnation(1_796_361_674_670),
        seq: 100_000,
        serves_keys: true,
        engines: (0..engines).map(load).collect(),
        waiting: Vec::new(),
        rollouts: Vec::new(),
        crashes: Vec::new(),
        draining_servers: Vec::new(),
    }
}

#[test]
fn loads_of_a_145_server_deployment_fit_one_datagram() {
    let message = PeerMessage::Heartbeat(heartbeat(ENGINES));
    let buf = encode(&message).expect("it can be encoded");
    assert!(buf.len() <= MAX_DATAGRAM_BYTES, "{} bytes", buf.len());
    let back: PeerMessage = decode(&buf).expect("it can be decoded");
    assert_eq!(back, message);
}
