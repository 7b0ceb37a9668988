//! Sizes of the heartbeats of gateway hosts.

use carawayseam_types::{EngineId, EngineKey, Incarnation, Millis, Revision, StoreEra, StoreRevision};
use carawayseam_wire::{
    ConfigurationVersion, EngineLoad, Heartbeat, MAX_DATAGRAM_BYTES, PartAnswer, PartCrash, PeerMessage,
    decode, encode,
};

/// The number of backend servers in the larger of the planned deployments.
const ENGINES: u32 = 145;
/// The maximum number of crashes, and of answers, in one update of prompt parts.
const PARTS_IN_UPDATE: usize = 26;

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
        configuration: Some(ConfigurationVersion {
            revision: Revision(1_000_000),
            item: StoreRevision::new(StoreEra(9), 100_000_000),
        }),
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

/// Guards against an update of prompt parts that no host can read because it exceeds a datagram.
#[test]
fn the_largest_update_of_prompt_parts_fits_one_datagram() {
    let crash = PartCrash {
        part: u64::MAX,
        depth: u8::MAX,
        crash: u32::MAX,
        age: Millis::from_secs(900),
        organisation: Some(u32::MAX),
        weight: u16::MAX,
    };
    let answer = PartAnswer {
        part: u64::MAX,
        begun: Millis::from_secs(900),
        complete: Some(Millis::from_secs(900)),
    };
    let message = PeerMessage::PromptParts {
        crashes: vec![crash; PARTS_IN_UPDATE],
        answers: vec![answer; PARTS_IN_UPDATE],
    };
    let buf = encode(&message).expect("it can be encoded");
    assert!(buf.len() <= MAX_DATAGRAM_BYTES, "{} bytes", buf.len());
}
