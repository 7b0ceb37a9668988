//! Builders for hosts that are partitioned from backend servers.

use carawayseam_dispatch::{Action, AttemptEnd, Dispatcher, Ticket};
use carawayseam_types::{EngineKey, HostId, Millis, ZoneId};

use crate::support::{id, job, started};

pub(crate) fn host(name: &str) -> HostId {
    name.parse().expect("a valid name")
}

pub(crate) fn zone(name: &str) -> ZoneId {
    name.parse().expect("a valid name")
}

pub(crate) fn key(name: &str) -> EngineKey {
    EngineKey::from(&id(name))
}

pub(crate) fn keys(names: &[&str]) -> Vec<EngineKey> {
    names.iter().map(|name| key(name)).collect()
}

/// How a request was sent.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Sent {
    Not,
    Directly,
    Through(HostId),
}

/// Returns how the actions send a request.
pub(crate) fn sent(actions: &[Action], ticket: Ticket) -> Sent {
    let sent = actions.iter().find_map(|action| match action {
        Action::Start {
            ticket: started, via, ..
        } if *started == ticket => Some(via.clone().map_or(Sent::Directly, Sent::Through)),
        _ => None,
    });
    sent.unwrap_or(Sent::Not)
}

/// Sends one request to each server of the dispatcher, none of which can be connected to.
pub(crate) fn lose_all(dispatcher: &mut Dispatcher, now: u64, servers: usize) {
    for _ in 0..servers {
        let (ticket, actions) = dispatcher.submit(Millis(now), job(now, 0));
        if started(&actions).is_empty() {
            dispatcher.withdraw(ticket);
        }
        dispatcher.record_end(Millis(now), ticket, AttemptEnd::Unreachable);
    }
}
