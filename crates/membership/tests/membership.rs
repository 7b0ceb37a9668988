//! Joining, failure detection, and the spread of records and published values.

mod network;

use carawayseam_membership::{Action, Event, Membership};
use carawayseam_types::{Millis, Revision};
use carawayseam_wire::{Body, Datagram, GossipUpdate, PeerState, Topic};
use network::{Faults, Network, record, record_key};

/// Defines a test on a network of the given size, run after all processes have joined.
macro_rules! network_case {
    ($name:ident, $processes:literal in $zones:literal zones, $body:expr) => {
        #[test]
        fn $name() {
            let mut network = Network::new($processes, $zones, 7);
            network.run_until(20_000, Network::all_know_all_peers);
            let body: fn(&mut Network) = $body;
            body(&mut network);
            assert!(network.nodes.iter().all(network::Node::never_reverts));
        }
    };
}

network_case!(all_join_through_seeds, 10 in 3 zones, |network| {
    assert!(network.nodes.iter().all(|node| node.refused.is_empty()));
});

network_case!(record_reaches_everyone, 10 in 3 zones, |network| {
    network.inject(4, Event::Record(record(1)));
    let took = network.run_until(5_000, |network| network.all_have_revision(1));
    assert!(took <= 1_000, "{took} ms");
});

network_case!(record_reaches_a_hundred_processes, 100 in 7 zones, |network| {
    network.inject(40, Event::Record(record(1)));
    network.run_until(5_000, |network| network.all_have_revision(1));
});

network_case!(dead_process_is_suspected_first, 10 in 3 zones, |network| {
    network.nodes[4].up = false;
    network.run_until(5_000, |network| network.peer_state(1, 4) == Some(PeerState::Suspect));
    assert!(network.nodes[1].peers.iter().any(|peer| peer.address == network::address(4)));
    network.run_until(10_000, |network| network.peer_state(1, 4) == Some(PeerState::Dead));
    network.run_until(2_000, Network::all_know_all_peers);
});

network_case!(no_peer_is_declared_dead_under_heavy_loss, 10 in 3 zones, |network| {
    network.faults = Faults { loss_percent: 20, duplicate_percent: 10, jitter_ms: 80 };
    for _ in 0..60 {
        network.run(1_000);
        assert!(network.all_know_all_peers(), "at {} ms", network.now);
    }
});

network_case!(leaving_peer_is_known_at_once, 10 in 3 zones, |network| {
    network.inject(4, Event::Leave);
    network.run(100);
    for by in [0, 1, 2, 9] {
        assert_eq!(network.peer_state(by, 4), Some(PeerState::Leaving));
        assert_eq!(network.nodes[by].peers.len(), 9);
    }
});

network_case!(paused_process_declares_no_peer_dead, 10 in 3 zones, |network| {
    network.nodes[4].up = false;
    network.run(60_000);
    network.nodes[4].up = true;
    for _ in 0..100 {
        network.run(50);
        assert_eq!(network.nodes[4].peers.len(), 10);
    }
    network.run_until(5_000, Network::all_know_all_peers);
});

network_case!(partitioned_zone_keeps_records_and_catches_up, 10 in 2 zones, |network| {
    network.inject(0, Event::Record(record(1)));
    network.run_until(5_000, |network| network.all_have_revision(1));
    for (index, node) in network.nodes.iter_mut().enumerate() {
        node.side = (index / 2 % 2) as u8;
    }
    network.run(30_000);
    assert!(network.all_have_revision(1));
    network.inject(0, Event::Record(record(2)));
    network.run(5_000);
    assert_eq!(network.nodes[2].revision(), Some(Revision(1)));
    for node in &mut network.nodes {
        node.side = 0;
    }
    let took = network.run_until(15_000, |network| network.all_have_revision(2) && network.all_know_all_peers());
    assert!(took <= 10_000, "{took} ms");
});

network_case!(restart_with_a_lower_incarnation_rejoins, 6 in 3 zones, |network| {
    network.restart(4, 3, 0);
    network.run_until(10_000, |network| network.peer_state(0, 4) == Some(PeerState::Alive));
    network.inject(4, Event::Publish { topic: Topic::Stopped, name: "m".to_owned(), payload: vec![1] });
    network.run(2_000);
    assert!(network.nodes[0].topics().contains("stopped"));
});

network_case!(new_process_pulls_records_from_peers_while_the_store_is_down, 6 in 3 zones, |network| {
    network.inject(0, Event::Record(record(9)));
    network.run_until(5_000, |network| network.all_have_revision(9));
    network.restart(5, 3, 2);
    network.run_until(3_000, |network| network.all_have_revision(9));
});

/// Guards against records delayed by updates about peers.
///
/// When regions of 420 processes reconnected after a partition, the queue held
/// so many peer updates that no record crossed for a minute.
#[test]
fn many_peer_updates_do_not_delay_records() {
    let peer = |index: usize| Membership::new(network::config(index, 7, 1)).dump().me;
    let datagram = |body, updates| {
        let (from, sender) = (network::address(1), peer(1));
        Event::Datagram {
            from,
            datagram: Datagram {
                from: sender,
                body,
                updates,
            },
        }
    };
    let mut membership = Membership::new(network::config(0, 7, 1));
    let mut actions = Vec::new();
    membership.handle(Millis(1_000), Event::Record(record(1)), &mut actions);
    for seq in 0..40 {
        let peer_updates = (2..400).map(|index| GossipUpdate::Peer(peer(index))).collect();
        membership.handle(Millis(1_000), datagram(Body::Gossip, peer_updates), &mut actions);
        actions.clear();
        membership.handle(
            Millis(1_000),
            datagram(Body::Probe { seq }, Vec::new()),
            &mut actions,
        );
        let join_reply = GossipUpdate::Head(record(1).head);
        let has_head = |action: &Action| match action {
            Action::Send { datagram, .. } => datagram.updates.contains(&join_reply),
            _ => false,
        };
        assert!(actions.iter().any(has_head), "answer {seq}: {actions:?}");
    }
}

/// Guards against a restarted process that reverts to an older record.
///
/// If it were caught up after the answer of one peer, and that peer lagged
/// behind, it would apply an older revision than before its restart.
#[test]
fn new_process_is_caught_up_after_several_peers_answered() {
    let peer = |index: usize| Membership::new(network::config(index, 1, 1)).dump().me;
    let join_reply = |index: usize, updates: Vec<GossipUpdate>| {
        let body = Body::JoinReply { heads: 1 };
        let (from, sender) = (network::address(index), peer(index));
        Event::Datagram {
            from,
            datagram: Datagram {
                from: sender,
                body,
                updates,
            },
        }
    };
    let mut new_process = Membership::new(network::config(7, 1, 1));
    let mut handle_event = |event| {
        new_process.handle(Millis(1_000), event, &mut Vec::new());
        new_process.is_caught_up()
    };
    let others = vec![
        GossipUpdate::Peer(peer(1)),
        GossipUpdate::Peer(peer(2)),
        GossipUpdate::Head(record(8).head),
    ];
    assert!(!handle_event(join_reply(0, others)));
    assert!(!handle_event(Event::Record(record(8))));
    assert!(!handle_event(join_reply(1, Vec::new())));
    assert!(!handle_event(join_reply(
        2,
        vec![GossipUpdate::Head(record(9).head)]
    )));
    assert!(handle_event(Event::Record(record(9))));
}

network_case!(record_survives_replacement_of_all_but_one_while_the_store_is_down, 6 in 3 zones, |network| {
    network.inject(0, Event::Record(record(9)));
    network.run_until(5_000, |network| network.all_have_revision(9));
    for index in 1..6 {
        network.restart(index, 3, 2);
    }
    network.run_until(5_000, |network| network.all_have_revision(9));
});

network_case!(stop_of_a_version_reaches_everyone_at_once, 10 in 3 zones, |network| {
    network.inject(4, Event::Publish { topic: Topic::Stopped, name: "m".to_owned(), payload: vec![1] });
    network.run(100);
    let others = network.nodes.iter().enumerate().filter(|(index, _)| *index != 4);
    assert!(others.into_iter().all(|(_, node)| node.topics().contains("stopped")));
});

network_case!(stop_of_a_version_reaches_a_hundred_under_loss, 100 in 7 zones, |network| {
    network.faults = Faults { loss_percent: 20, duplicate_percent: 0, jitter_ms: 20 };
    network.inject(4, Event::Publish { topic: Topic::Stopped, name: "m".to_owned(), payload: vec![1] });
    network.run_until(3_000, |network| {
        let mut others = network.nodes.iter().enumerate().filter(|(index, _)| *index != 4);
        others.all(|(_, node)| node.topics().contains("stopped"))
    });
});

network_case!(later_joiner_receives_earlier_poison, 6 in 3 zones, |network| {
    network.inject(4, Event::Publish { topic: Topic::Poison, name: "d".to_owned(), payload: vec![1] });
    network.run(60_000);
    network.restart(1, 3, 2);
    network.run_until(5_000, |network| network.nodes[1].topics().contains("poison"));
});

network_case!(evidence_reaches_control_processes_only, 10 in 3 zones, |network| {
    network.inject(4, Event::Publish { topic: Topic::Evidence, name: "m".to_owned(), payload: vec![1] });
    network.run(5_000);
    assert!(network.nodes[1].topics().contains("evidence"));
    assert!(!network.nodes[2].topics().contains("evidence"));
});

network_case!(
    evidence_too_long_for_a_datagram_arrives_complete,
    10 in 3 zones,
    |network| {
        network.faults.jitter_ms = 200;
        let payload: Vec<u8> = (0..5_000_u32).map(|byte| byte as u8).collect();
        let (topic, name) = (Topic::Evidence, "m".to_owned());
        let event = Event::Publish { topic, name, payload: payload.clone() };
        network.inject(4, event);
        network.run(10_000);
        let came = network.nodes[1].delivered.iter().find(|(_, item)| item.key.topic == topic);
        assert_eq!(came.map(|(_, item)| &item.payload), Some(&payload));
    }
);

network_case!(older_value_never_replaces_a_newer_one, 4 in 2 zones, |network| {
    network.faults.jitter_ms = 900;
    for value in 0..50 {
        let payload = vec![value];
        network.inject(0, Event::Publish { topic: Topic::EngineStatus, name: "e".to_owned(), payload });
        network.run(100);
    }
    network.run(5_000);
    for node in &network.nodes[1..] {
        let seqs: Vec<u64> = node.delivered.iter().map(|(_, item)| item.seq).collect();
        assert!(seqs.is_sorted());
        assert_eq!(seqs.last(), Some(&49));
    }
});

network_case!(dump_names_peers_and_heads, 4 in 2 zones, |network| {
    network.inject(0, Event::Record(record(3)));
    let dump = network.nodes[0].membership.dump();
    assert_eq!(dump.heads[0].key, record_key());
    assert_eq!(dump.peers.len(), 3);
});
