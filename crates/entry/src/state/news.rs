//! What peers and the platform tell.

use carawayseam_external::engine::CacheEvents;
use carawayseam_external::hosts::{HostList, HostState};
use carawayseam_membership::Event as MembershipEvent;
use carawayseam_rollout::{Cause, Evidence, GateEvent};
use carawayseam_scheduler::{EngineStanding, Event, Member, PoolLoadAnnouncement};
use carawayseam_types::{Digest, EngineId, EnvironmentId, Millis, Revision, RolloutId};
use carawayseam_wire::{Item, Peer, PeerRole, PeerState, Topic, decode};
use serde::{Deserialize, Serialize};

use super::actor::{ControlState, Step};

/// How late the host list may be; a peer that saw more is believed for so long.
const LONGEST_LIST_LAG: Millis = Millis::from_secs(60);

/// A host stopped a version by itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StoppedVersion {
    pub(crate) environment: EnvironmentId,
    pub(crate) move_id: RolloutId,
    pub(crate) cause: Cause,
}

impl ControlState {
    pub(super) fn take_peers(&mut self, peers: Vec<Peer>) {
        let entry = |peer: &&Peer| peer.role == PeerRole::Entry && peer.state != PeerState::Leaving;
        let members: Vec<Member> = peers
            .iter()
            .filter(entry)
            .map(|peer| Member {
                host: peer.host.clone(),
                zone: peer.zone.clone(),
            })
            .collect();
        log::info!(members = members.len(); "live entry hosts changed");
        self.peers = peers;
        self.push_all(&Event::Members(members));
    }

    pub(super) fn take_item(&mut self, now: Millis, item: &Item) {
        let taken = match item.key.topic {
            Topic::PoolLoad => self.take_pool_load(item),
            Topic::Poison => self.take_poison(item),
            Topic::Stopped => self.take_stopped(item),
            Topic::Holder => self.take_contact(item),
            Topic::EngineStatus => self.take_standing(now, item),
            Topic::Evidence => self.take_evidence(item),
            Topic::Confirmed => Some(()),
        };
        if taken.is_none() {
            self.process.metrics.count("news.unreadable");
            log::warn!(host:% = item.key.host; "{} could not be read", item.key.topic);
        }
    }

    fn take_pool_load(&mut self, item: &Item) -> Option<()> {
        let load: PoolLoadAnnouncement = decode(&item.payload).ok()?;
        let environment: EnvironmentId = item.key.name.parse().ok()?;
        self.push_scheduler(&environment, Event::PeerLoad(load));
        Some(())
    }

    fn take_poison(&mut self, item: &Item) -> Option<()> {
        let (content, engine) = item.key.name.split_once('/')?;
        let content: Digest = content.parse().ok()?;
        let engine: EngineId = engine.parse().ok()?;
        let crashes: u32 = decode(&item.payload).ok()?;
        let host = item.key.host.clone();
        self.push_all(&Event::PoisonReported {
            content,
            engine,
            crashes,
            host,
        });
        Some(())
    }

    fn take_evidence(&mut self, item: &Item) -> Option<()> {
        let evidence: Evidence = decode(&item.payload).ok()?;
        let index = self.index_of(&evidence.environment)?;
        self.steps
            .push_back(Step::Gate(index, GateEvent::Evidence(evidence)));
        Some(())
    }

    fn take_stopped(&mut self, item: &Item) -> Option<()> {
        let stopped: StoppedVersion = serde_json::from_slice(&item.payload).ok()?;
        let index = self.index_of(&stopped.environment)?;
        let StoppedVersion { move_id, cause, .. } = stopped;
        self.steps
            .push_back(Step::Gate(index, GateEvent::PeerStopped { move_id, cause }));
        Some(())
    }

    fn take_contact(&mut self, item: &Item) -> Option<()> {
        let environment: EnvironmentId = item.key.name.parse().ok()?;
        let index = self.index_of(&environment)?;
        self.steps.push_back(Step::Gate(index, GateEvent::Contact));
        Some(())
    }

    fn take_standing(&mut self, now: Millis, item: &Item) -> Option<()> {
        let engine: EngineId = item.key.name.parse().ok()?;
        let standing: EngineStanding = decode(&item.payload).ok()?;
        match standing {
            EngineStanding::Leaving | EngineStanding::Gone => {
                self.heard_leaving.insert(engine.clone(), now + LONGEST_LIST_LAG);
            }
            // A list that shows it leaving is newer than the peer's.
            EngineStanding::Live if self.listed.get(&engine) == Some(&EngineStanding::Leaving) => {
                return Some(());
            }
            EngineStanding::Live => drop(self.heard_leaving.remove(&engine)),
        }
        self.push_all(&Event::EngineStanding { engine, standing });
        Some(())
    }

    /// Tells the peers which moves this host follows, and at which revision.
    pub(super) fn confirm(&mut self, index: usize) {
        let env = &self.environments[index];
        let Some(document) = env.document.clone() else {
            return;
        };
        let followed: Vec<(String, Revision)> = document
            .backends
            .iter()
            .filter_map(|backend| {
                Some((
                    format!("{}/{}", env.name, backend.name),
                    env.gate.confirmed(&backend.name)?,
                ))
            })
            .collect();
        for (name, revision) in followed {
            self.publish(Topic::Confirmed, name, &revision);
        }
    }

    pub(super) fn publish_json<T: Serialize>(&mut self, topic: Topic, name: String, value: &T) {
        match serde_json::to_vec(value) {
            Ok(payload) => {
                self.steps.push_back(Step::Membership(MembershipEvent::Publish {
                    topic,
                    name,
                    payload,
                }));
            }
            Err(e) => log::error!("{topic} was not encoded: {e}"),
        }
    }

    pub(super) fn host_list(&mut self, now: Millis, list: HostList) {
        for host in &list.hosts {
            let Ok(engine) = host.host.as_str().parse::<EngineId>() else {
                continue;
            };
            let standing = match host.state {
                HostState::Live => EngineStanding::Live,
                HostState::Leaving => EngineStanding::Leaving,
            };
            self.list_engine(now, &engine, standing);
        }
        self.steps
            .push_back(Step::Membership(MembershipEvent::HostList(list)));
    }

    /// Takes how the own list shows a backend server.
    fn list_engine(&mut self, now: Millis, engine: &EngineId, standing: EngineStanding) {
        let known = self.listed.insert(engine.clone(), standing);
        let is_changed = known != Some(standing);
        // What peers said goes before a list that may be late, but not for ever.
        let is_over = self.heard_leaving.get(engine).is_some_and(|until| now >= *until);
        if is_over {
            self.heard_leaving.remove(engine);
        }
        let is_doubted = standing == EngineStanding::Live && self.heard_leaving.contains_key(engine);
        if is_doubted || !(is_changed || is_over) {
            return;
        }
        self.push_all(&Event::EngineStanding {
            engine: engine.clone(),
            standing,
        });
        // Hosts whose own list is late, or out of reach, hear of a change from this one.
        let is_news = known.is_some() || standing != EngineStanding::Live;
        if is_changed && is_news && self.is_declared(engine) {
            self.publish(Topic::EngineStatus, engine.to_string(), &standing);
        }
    }

    fn is_declared(&self, engine: &EngineId) -> bool {
        let documents = self.environments.iter().filter_map(|env| env.document.as_ref());
        documents
            .into_iter()
            .any(|document| document.engine(engine).is_some())
    }

    pub(super) fn cache_events(
        &mut self,
        environment: &EnvironmentId,
        engine: &EngineId,
        events: &CacheEvents,
    ) {
        let Some(index) = self.index_of(environment) else {
            return;
        };
        let seen = self.environments[index]
            .cache_seen
            .entry(engine.clone())
            .or_insert(0);
        let expected = *seen + 1;
        let has_gap = events.events.first().is_some_and(|event| event.seq != expected);
        *seen = events.newest;
        if has_gap {
            self.steps.push_back(Step::Scheduler(
                index,
                Event::CacheGap {
                    engine: engine.clone(),
                },
            ));
        }
        for event in &events.events {
            let (prefix, present) = (event.prefix, event.present);
            self.steps.push_back(Step::Scheduler(
                index,
                Event::Cache {
                    engine: engine.clone(),
                    prefix,
                    present,
                },
            ));
        }
    }
}
