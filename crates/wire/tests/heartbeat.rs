//! Sizes of the messages of gateway hosts.

use carawayseam_types::{EngineId, EngineKey, Incarnation, Millis, Revision, StoreEra, StoreRevision, Tier};
use carawayseam_wire::{
    ConfigurationVersion, EngineLoad, GossipRound, Heartbeat, MAX_DATAGRAM_BYTES, MeasuredLoad, PartAnswer,
    PartCrash, PeerMessage, WaitingLoad, decode, encode,
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

/// Guards against a round that no host can read, since long names let it exceed a datagram.
#[test]
fn a_round_with_long_names_is_limited_to_one_datagram() {
    let name = |number: u32| format!("{number:03}{}", "x".repeat(60));
    let waiting = (0..16).map(|number| WaitingLoad {
        backend: name(number).parse().expect("a valid name"),
        tier: Tier(0),
        count: u32::MAX,
    });
    let load = MeasuredLoad {
        engine: EngineKey::from(&"i-1".parse::<EngineId>().expect("a valid name")),
        owner: u32::MAX,
        version: u64::MAX,
        age: Millis(3_000),
        running: 9,
        pending_prompt_tokens: u32::MAX,
    };
    let draining = (0..10).map(|number| (name(number).parse().expect("a valid name"), Some(u64::MAX)));
    let mut round = GossipRound {
        host: name(0).parse().expect("a valid name"),
        incarnation: Incarnation(u64::MAX),
        seq: u64::MAX,
        serves_keys: true,
        configuration: heartbeat(0).configuration,
        waiting: waiting.collect(),
        draining_servers: draining.collect(),
        loads: vec![load; 32],
    };
    round.limit_to_datagram();
    assert_eq!(
        round.draining_servers.len(),
        10,
        "no later round is in time for these"
    );
    let buf = encode(&PeerMessage::GossipRound(round)).expect("it can be encoded");
    assert!(buf.len() <= MAX_DATAGRAM_BYTES, "{} bytes", buf.len());
}
