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
            network.run_until(20_000, Network::all_know_all);
            let body: fn(&mut Network) = $body;
            body(&mut network);
            assert!(network.nodes.iter().all(network::Node::never_reverted));
        }
    };
}

network_case!(all_join_through_seeds, 10 in 3 zones, |network| {
    assert!(network.nodes.iter().all(|node| node.refused.is_empty()));
});

network_case!(record_reaches_everyone, 10 in 3 zones, |network| {
    network.give(4, Event::Record(record(1)));
    let took = network.run_until(5_000, |network| network.all_have(1));
    assert!(took <= 1_000, "{took} ms");
});

network_case!(record_reaches_a_hundred_processes, 100 in 7 zones, |network| {
    network.give(40, Event::Record(record(1)));
    network.run_until(5_000, |network| network.all_have(1));
});

network_case!(dead_process_is_suspected_first, 10 in 3 zones, |network| {
    network.nodes[4].up = false;
    network.run_until(5_000, |network| network.view(1, 4) == Some(PeerState::Suspect));
    assert!(network.nodes[1].peers.iter().any(|peer| peer.address == network::address(4)));
    network.run_until(10_000, |network| network.view(1, 4) == Some(PeerState::Dead));
    network.run_until(2_000, Network::all_know_all);
});

network_case!(nobody_is_buried_under_heavy_loss, 10 in 3 zones, |network| {
    network.faults = Faults { loss_percent: 20, duplicate_percent: 10, jitter_ms: 80 };
    for _ in 0..60 {
        network.run(1_000);
        assert!(network.all_know_all(), "at {} ms", network.now);
    }
});

network_case!(leaving_is_known_at_once, 10 in 3 zones, |network| {
    network.give(4, Event::Leave);
    network.run(100);
    for by in [0, 1, 2, 9] {
        assert_eq!(network.view(by, 4), Some(PeerState::Leaving));
        assert_eq!(network.nodes[by].peers.len(), 9);
    }
});

network_case!(paused_process_buries_nobody, 10 in 3 zones, |network| {
    network.nodes[4].up = false;
    network.run(60_000);
    network.nodes[4].up = true;
    for _ in 0..100 {
        network.run(50);
        assert_eq!(network.nodes[4].peers.len(), 10);
    }
    network.run_until(5_000, Network::all_know_all);
});

network_case!(cut_zone_keeps_records_and_catches_up, 10 in 2 zones, |network| {
    network.give(0, Event::Record(record(1)));
    network.run_until(5_000, |network| network.all_have(1));
    for (index, node) in network.nodes.iter_mut().enumerate() {
        node.side = (index / 2 % 2) as u8;
    }
    network.run(30_000);
    assert!(network.all_have(1));
    network.give(0, Event::Record(record(2)));
    network.run(5_000);
    assert_eq!(network.nodes[2].revision(), Some(Revision(1)));
    for node in &mut network.nodes {
        node.side = 0;
    }
    let took = network.run_until(15_000, |network| network.all_have(2) && network.all_know_all());
    assert!(took <= 10_000, "{took} ms");
});

network_case!(restart_with_a_clock_that_stepped_back_comes_in, 6 in 3 zones, |network| {
    network.restart(4, 3, 0);
    network.run_until(10_000, |network| network.view(0, 4) == Some(PeerState::Alive));
    network.give(4, Event::Publish { topic: Topic::Stopped, name: "m".to_owned(), payload: vec![1] });
    network.run(2_000);
    assert!(network.nodes[0].topics().contains("stopped"));
});

network_case!(fresh_process_asks_peers_while_the_store_is_down, 6 in 3 zones, |network| {
    network.give(0, Event::Record(record(9)));
    network.run_until(5_000, |network| network.all_have(9));
    network.restart(5, 3, 2);
    network.run_until(3_000, |network| network.all_have(9));
});

/// Guards against records delayed by updates about peers.
///
/// When regions of 420 processes reconnected after a partition, the queue held
/// so many peer updates that no record crossed for a minute.
#[test]
fn storm_of_peers_does_not_keep_records_back() {
    let peer = |index: usize| Membership::new(network::config(index, 7, 1)).dump().me;
    let datagram = |body, news| {
        let (from, sender) = (network::address(1), peer(1));
        Event::Datagram {
            from,
            datagram: Datagram {
                from: sender,
                body,
                updates: news,
            },
        }
    };
    let mut membership = Membership::new(network::config(0, 7, 1));
    let mut actions = Vec::new();
    membership.handle(Millis(1_000), Event::Record(record(1)), &mut actions);
    for seq in 0..40 {
        let storm = (2..400).map(|index| GossipUpdate::Peer(peer(index))).collect();
        membership.handle(Millis(1_000), datagram(Body::Gossip, storm), &mut actions);
        actions.clear();
        membership.handle(
            Millis(1_000),
            datagram(Body::Probe { seq }, Vec::new()),
            &mut actions,
        );
        let told = GossipUpdate::Head(record(1).head);
        let has_head = |action: &Action| match action {
            Action::Send { datagram, .. } => datagram.updates.contains(&told),
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
fn fresh_process_waits_for_the_word_of_several_peers() {
    let peer = |index: usize| Membership::new(network::config(index, 1, 1)).dump().me;
    let told = |index: usize, news: Vec<GossipUpdate>| {
        let body = Body::JoinReply { heads: 1 };
        let (from, sender) = (network::address(index), peer(index));
        Event::Datagram {
            from,
            datagram: Datagram {
                from: sender,
                body,
                updates: news,
            },
        }
    };
    let mut fresh = Membership::new(network::config(7, 1, 1));
    let mut take = |event| {
        fresh.handle(Millis(1_000), event, &mut Vec::new());
        fresh.is_caught_up()
    };
    let others = vec![
        GossipUpdate::Peer(peer(1)),
        GossipUpdate::Peer(peer(2)),
        GossipUpdate::Head(record(8).head),
    ];
    assert!(!take(told(0, others)));
    assert!(!take(Event::Record(record(8))));
    assert!(!take(told(1, Vec::new())));
    assert!(!take(told(2, vec![GossipUpdate::Head(record(9).head)])));
    assert!(take(Event::Record(record(9))));
}

network_case!(all_but_one_replaced_while_the_store_is_down, 6 in 3 zones, |network| {
    network.give(0, Event::Record(record(9)));
    network.run_until(5_000, |network| network.all_have(9));
    for index in 1..6 {
        network.restart(index, 3, 2);
    }
    network.run_until(5_000, |network| network.all_have(9));
});

network_case!(stop_of_a_version_reaches_everyone_at_once, 10 in 3 zones, |network| {
    network.give(4, Event::Publish { topic: Topic::Stopped, name: "m".to_owned(), payload: vec![1] });
    network.run(100);
    let others = network.nodes.iter().enumerate().filter(|(index, _)| *index != 4);
    assert!(others.into_iter().all(|(_, node)| node.topics().contains("stopped")));
});

network_case!(stop_of_a_version_survives_loss_at_a_hundred, 100 in 7 zones, |network| {
    network.faults = Faults { loss_percent: 20, duplicate_percent: 0, jitter_ms: 20 };
    network.give(4, Event::Publish { topic: Topic::Stopped, name: "m".to_owned(), payload: vec![1] });
    network.run_until(3_000, |network| {
        let mut others = network.nodes.iter().enumerate().filter(|(index, _)| *index != 4);
        others.all(|(_, node)| node.topics().contains("stopped"))
    });
});

network_case!(later_joiner_hears_of_earlier_poison, 6 in 3 zones, |network| {
    network.give(4, Event::Publish { topic: Topic::Poison, name: "d".to_owned(), payload: vec![1] });
    network.run(60_000);
    network.restart(1, 3, 2);
    network.run_until(5_000, |network| network.nodes[1].topics().contains("poison"));
});

network_case!(counts_reach_control_processes_only, 10 in 3 zones, |network| {
    network.give(4, Event::Publish { topic: Topic::Evidence, name: "m".to_owned(), payload: vec![1] });
    network.run(5_000);
    assert!(network.nodes[1].topics().contains("evidence"));
    assert!(!network.nodes[2].topics().contains("evidence"));
});

network_case!(
    counts_too_long_for_a_datagram_come_whole,
    10 in 3 zones,
    |network| {
        network.faults.jitter_ms = 200;
        let payload: Vec<u8> = (0..5_000_u32).map(|byte| byte as u8).collect();
        let (topic, name) = (Topic::Evidence, "m".to_owned());
        let event = Event::Publish { topic, name, payload: payload.clone() };
        network.give(4, event);
        network.run(10_000);
        let came = network.nodes[1].delivered.iter().find(|(_, item)| item.key.topic == topic);
        assert_eq!(came.map(|(_, item)| &item.payload), Some(&payload));
    }
);

network_case!(older_value_never_replaces_a_newer_one, 4 in 2 zones, |network| {
    network.faults.jitter_ms = 900;
    for value in 0..50 {
        let payload = vec![value];
        network.give(0, Event::Publish { topic: Topic::EngineStatus, name: "e".to_owned(), payload });
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
    network.give(0, Event::Record(record(3)));
    let dump = network.nodes[0].membership.dump();
    assert_eq!(dump.heads[0].key, record_key());
    assert_eq!(dump.peers.len(), 3);
});
