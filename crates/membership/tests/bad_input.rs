//! Invalid input is refused with a typed reason, counted, and changes no state.

mod network;

use carawayseam_external::hosts::{Host, HostList, HostState};
use carawayseam_membership::{Action, Event, Membership, Refusal};
use carawayseam_types::{Digest, Millis, Revision};
use carawayseam_wire::{Body, Datagram, GossipUpdate, Head, Item, ItemKey, Peer, PeerRole, PeerState, Topic};
use network::{address, config, record, record_key, record_with};

fn member_with_record(revision: u64) -> Membership {
    let mut membership = Membership::new(config(0, 1, 1));
    handle_event(&mut membership, Event::Record(record(revision)));
    membership
}

fn handle_event(membership: &mut Membership, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    membership.handle(Millis(1_000), event, &mut actions);
    actions
}

fn refusals(actions: &[Action]) -> Vec<Refusal> {
    let refused = |action: &Action| match action {
        Action::Refuse(refused) => Some(refused.clone()),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

fn host_list(names: &[&str]) -> HostList {
    let host = |name: &&str| Host {
        host: name.parse().expect("valid name"),
        zone: "zone-0".parse().expect("valid name"),
        state: HostState::Live,
    };
    HostList {
        hosts: names.iter().map(host).collect(),
    }
}

fn datagram_from_unknown_host(updates: Vec<GossipUpdate>) -> Event {
    let from = Peer {
        host: "stranger".parse().expect("valid name"),
        role: PeerRole::Entry,
        zone: "zone-0".parse().expect("valid name"),
        address: address(99),
        incarnation: carawayseam_types::Incarnation(1),
        state: PeerState::Alive,
    };
    let datagram = Datagram {
        from,
        body: Body::Probe { seq: 1 },
        updates,
    };
    Event::Datagram {
        from: address(99),
        datagram,
    }
}

fn head(revision: u64, digest: u128) -> Head {
    Head {
        key: record_key(),
        revision: Revision(revision),
        digest: Digest(digest),
    }
}

/// Defines a test that a record is refused for the given reason while revision 5 is known.
macro_rules! refused_record {
    ($name:ident, $record:expr, $pattern:pat) => {
        #[test]
        fn $name() {
            let mut membership = member_with_record(5);
            let actions = handle_event(&mut membership, Event::Record($record));
            let refused = refusals(&actions);
            assert!(matches!(refused.as_slice(), [$pattern]), "{refused:?}");
            assert!(
                !actions
                    .iter()
                    .any(|action| matches!(action, Action::Apply(_)))
            );
            assert_eq!(membership.record(&record_key()), Some(&record(5)));
        }
    };
}

refused_record!(
    older_revision_from_the_store_is_refused,
    record(4),
    Refusal::OldRevision {
        found: Revision(4),
        ..
    }
);
refused_record!(
    damaged_body_is_refused,
    {
        let mut damaged = record(6);
        damaged.body.push('x');
        damaged
    },
    Refusal::Digest { .. }
);

#[test]
fn repeated_record_is_not_refused() {
    let mut membership = member_with_record(5);
    assert!(refusals(&handle_event(&mut membership, Event::Record(record(5)))).is_empty());
}

#[test]
fn two_bodies_at_one_revision_converge_in_either_order() {
    let (one, two) = (record_with(5, "one"), record_with(5, "two"));
    let mut results = Vec::new();
    for order in [[&one, &two], [&two, &one]] {
        let mut membership = Membership::new(config(0, 1, 1));
        for record in order {
            handle_event(&mut membership, Event::Record(record.clone()));
        }
        results.push(membership.record(&record_key()).cloned());
    }
    assert_eq!(results[0], results[1]);
}

#[test]
fn head_of_a_second_body_is_refused_or_pulled() {
    let mut membership = member_with_record(5);
    let lower = Event::Heads {
        from: address(1),
        heads: vec![head(5, 0)],
    };
    assert!(matches!(
        refusals(&handle_event(&mut membership, lower)).as_slice(),
        [Refusal::Fork { .. }]
    ));
    let higher = Event::Heads {
        from: address(1),
        heads: vec![head(5, u128::MAX)],
    };
    let actions = handle_event(&mut membership, higher);
    assert!(matches!(actions.as_slice(), [Action::Pull { .. }]), "{actions:?}");
    assert_eq!(membership.dump().refused.fork, 1);
}

#[test]
fn head_of_a_lagging_peer_is_not_refused() {
    let mut membership = member_with_record(5);
    let heads = Event::Heads {
        from: address(1),
        heads: vec![head(4, 1)],
    };
    assert!(handle_event(&mut membership, heads).is_empty());
}

#[test]
fn datagram_of_an_unknown_host_changes_nothing() {
    let mut membership = member_with_record(5);
    handle_event(&mut membership, Event::HostList(host_list(&["host-0", "host-1"])));
    let actions = handle_event(
        &mut membership,
        datagram_from_unknown_host(vec![GossipUpdate::Head(head(9, 1))]),
    );
    assert_eq!(
        actions,
        [Action::Refuse(Refusal::UnknownHost { from: address(99) })]
    );
    let dump = membership.dump();
    assert_eq!(
        (dump.refused.unknown_host, dump.peers.len(), dump.missing_records),
        (1, 0, 0)
    );
}

#[test]
fn listed_host_is_admitted() {
    let mut membership = member_with_record(5);
    handle_event(
        &mut membership,
        Event::HostList(host_list(&["host-0", "stranger"])),
    );
    assert!(
        refusals(&handle_event(
            &mut membership,
            datagram_from_unknown_host(Vec::new())
        ))
        .is_empty()
    );
}

#[test]
fn unlisted_host_joins_without_a_host_list() {
    let mut membership = member_with_record(5);
    assert!(
        refusals(&handle_event(
            &mut membership,
            datagram_from_unknown_host(Vec::new())
        ))
        .is_empty()
    );
    assert_eq!(membership.dump().peers.len(), 1);
}

#[test]
fn value_too_long_for_a_datagram_is_refused() {
    let mut membership = member_with_record(5);
    let payload = vec![0; 2_000];
    let event = Event::Publish {
        topic: Topic::Stopped,
        name: "m".to_owned(),
        payload,
    };
    assert!(matches!(
        refusals(&handle_event(&mut membership, event)).as_slice(),
        [Refusal::TooLong { .. }]
    ));
}

#[test]
fn value_published_in_the_own_name_is_ignored() {
    let mut membership = member_with_record(5);
    let me = membership.dump().me;
    let key = ItemKey {
        host: me.host,
        role: me.role,
        topic: Topic::Stopped,
        name: "m".to_owned(),
    };
    let item = Item {
        key,
        incarnation: me.incarnation,
        seq: 9,
        payload: vec![1],
    };
    let actions = handle_event(
        &mut membership,
        datagram_from_unknown_host(vec![GossipUpdate::Item(item)]),
    );
    assert!(!actions.iter().any(|action| matches!(action, Action::Deliver(_))));
}

#[test]
fn damaged_pull_is_retried_from_another_source() {
    let mut membership = member_with_record(5);
    let newer = record(6).head;
    for source in [1, 2] {
        handle_event(
            &mut membership,
            Event::Heads {
                from: address(source),
                heads: vec![newer.clone()],
            },
        );
    }
    let mut damaged = record(6);
    damaged.body.push('x');
    handle_event(&mut membership, Event::Record(damaged));
    let mut actions = Vec::new();
    for now in (1_000..3_000).step_by(50) {
        membership.handle(Millis(now), Event::Tick, &mut actions);
    }
    let pulls = actions.iter().find_map(|action| match action {
        Action::Pull { from, .. } => Some(*from),
        _ => None,
    });
    assert_eq!(pulls, Some(address(2)));
}
