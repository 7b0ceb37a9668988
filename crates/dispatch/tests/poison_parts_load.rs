//! Load of many hosts while parts of prompts crash servers, beside crashes with other causes.

use std::collections::{BTreeMap, BTreeSet};

use carawayseam_dispatch::engine::PromptPart;
use carawayseam_dispatch::poison_parts::{
    Admission, CrashId, OrganisationKey, PartId, PartsUpdate, PoisonParts,
};
use carawayseam_types::{Digest, EngineId, Millis};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 100;
const TICK_MS: u64 = 50;
const TIME_MS: u64 = 30_000;
/// Time from the fifth crash of a part within which all hosts refuse it.
const CONTACT_MS: u64 = 3_000;
/// Requests with one part that may reach servers after that.
const MAX_LATE_SENDS: usize = 3;
/// Bound on the share of other requests that are refused.
const MAX_REFUSED: f64 = 0.002;
const DATAGRAM_LOSS: f64 = 0.02;
const RESTART_MS: u64 = 3_000;
const BEGIN_MS: std::ops::Range<u64> = 50..300;
const ANSWER_MS: std::ops::Range<u64> = 300..2_500;
const SUBJECTS: u64 = 60;
/// Parts that few requests share, such as those of a session.
const SESSIONS: u64 = 400;
const SESSION_SHARE: f64 = 0.3;
const ORGANISATIONS: u64 = 5;

/// What happens to the servers.
#[derive(Clone, Copy)]
struct Trouble {
    /// Number of parts that crash servers, from different times on.
    poison_parts: u64,
    /// Share of the requests that have one of them.
    poison_share: f64,
    /// Servers that crash for other reasons, in a second.
    other_crashes: f64,
    /// When all servers crash at once, if they do.
    all_crash_at: Option<u64>,
}

const NO_TROUBLE: Trouble = Trouble {
    poison_parts: 0,
    poison_share: 0.0,
    other_crashes: 0.0,
    all_crash_at: None,
};

struct Request {
    host: usize,
    server: usize,
    organisation: OrganisationKey,
    parts: Vec<PromptPart>,
    poison: Option<u64>,
    begins_at: u64,
    ends_at: u64,
    begun_at: Option<u64>,
}

#[derive(Clone, Copy)]
struct Server {
    started: u64,
    up_at: u64,
}

/// What was seen of one poison part.
#[derive(Default)]
struct PoisonPart {
    crashes: Vec<u64>,
    sends: Vec<u64>,
}

struct Fleet {
    hosts: Vec<PoisonParts>,
    servers: Vec<Server>,
    running: Vec<Request>,
    updates: Vec<(usize, PartsUpdate)>,
    poison: BTreeMap<u64, PoisonPart>,
    others: usize,
    refused: usize,
    refused_parts: BTreeSet<PartId>,
    next_own_part: u64,
    rng: StdRng,
    trouble: Trouble,
}

impl Fleet {
    fn new(hosts: usize, servers: usize, seed: u64, trouble: Trouble) -> Self {
        Self {
            hosts: (0..hosts).map(|_| PoisonParts::default()).collect(),
            servers: vec![Server { started: 1, up_at: 0 }; servers],
            running: Vec::new(),
            updates: Vec::new(),
            poison: BTreeMap::new(),
            others: 0,
            refused: 0,
            refused_parts: BTreeSet::new(),
            next_own_part: 1 << 32,
            rng: StdRng::seed_from_u64(seed),
            trouble,
        }
    }

    fn play(&mut self, per_second: f64) {
        let mut due = 0.0;
        for now in (1_000..TIME_MS).step_by(STEP_MS as usize) {
            due += per_second * STEP_MS as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(now);
            }
            self.crash_others(now);
            self.advance(now);
            self.exchange(now);
        }
    }

    /// Draws a request and sends it if its host admits it.
    fn arrive(&mut self, now: u64) {
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|ix| self.servers[*ix].up_at <= now)
            .collect();
        let Some(server) = up.choose(&mut self.rng).copied() else {
            return;
        };
        let host = self.rng.random_range(0..self.hosts.len());
        let subject = self
            .rng
            .random_range(0..SUBJECTS)
            .min(self.rng.random_range(0..SUBJECTS));
        let organisation = OrganisationKey((subject % ORGANISATIONS) as u32);
        let poison = (self.trouble.poison_parts > 0 && self.rng.random_bool(self.trouble.poison_share))
            .then(|| self.rng.random_range(0..self.trouble.poison_parts))
            .filter(|poison| now > 2_000 + 2_000 * poison);
        let middle = match poison {
            Some(poison) => Some(10_000 + poison),
            None if self.rng.random_bool(SESSION_SHARE) => {
                Some(20_000 + subject * SESSIONS + self.rng.random_range(0..SESSIONS / SUBJECTS))
            }
            None => None,
        };
        self.next_own_part += 1;
        let ids = [Some(subject), middle, Some(self.next_own_part)];
        let parts: Vec<PromptPart> = ids
            .into_iter()
            .flatten()
            .map(|id| PromptPart { id, tokens: 40 })
            .collect();
        let admission = self.hosts[host].admit(Millis(now), Some(organisation), &parts, |_| false);
        self.others += usize::from(poison.is_none());
        if let Admission::Blocked(blocked) = admission {
            self.refused += usize::from(poison.is_none());
            if poison.is_none() {
                self.refused_parts.insert(blocked.part);
            }
            return;
        }
        if let Some(poison) = poison {
            self.poison.entry(poison).or_default().sends.push(now);
        }
        let begins_at = now + self.rng.random_range(BEGIN_MS);
        self.running.push(Request {
            host,
            server,
            organisation,
            parts,
            poison,
            begins_at,
            ends_at: begins_at + self.rng.random_range(ANSWER_MS),
            begun_at: None,
        });
    }

    fn crash_others(&mut self, now: u64) {
        if self.trouble.all_crash_at == Some(now) {
            for server in 0..self.servers.len() {
                self.crash(now, server);
            }
        }
        if self
            .rng
            .random_bool(self.trouble.other_crashes * STEP_MS as f64 / 1_000.0)
        {
            let server = self.rng.random_range(0..self.servers.len());
            if self.servers[server].up_at <= now {
                self.crash(now, server);
            }
        }
    }

    /// Begins and ends answers; a request with a poison part crashes its server instead.
    fn advance(&mut self, now: u64) {
        let crashing: Vec<(usize, u64)> = self
            .running
            .iter()
            .filter(|request| request.begins_at <= now)
            .filter_map(|request| Some((request.server, request.poison?)))
            .collect();
        for (server, poison) in crashing {
            if self.servers[server].up_at <= now {
                self.poison.entry(poison).or_default().crashes.push(now);
                self.crash(now, server);
            }
        }
        let hosts = &mut self.hosts;
        self.running.retain_mut(|request| {
            let host = &mut hosts[request.host];
            if request.begun_at.is_none() && request.begins_at <= now {
                request.begun_at = Some(now);
                host.record_begun(Millis(now), &request.parts);
            }
            let is_complete = request.ends_at <= now;
            if let Some(begun_at) = request.begun_at.filter(|_| is_complete) {
                host.record_complete(Millis(now), Millis(begun_at), &request.parts);
            }
            !is_complete
        });
    }

    /// Breaks all requests on a server; their hosts record the crash.
    fn crash(&mut self, now: u64, ix: usize) {
        let server = &mut self.servers[ix];
        let engine: EngineId = format!("i-{ix}").parse().expect("a valid name");
        let id = CrashId::new(&engine, Some(server.started));
        server.started = now;
        server.up_at = now + RESTART_MS;
        let hosts = &mut self.hosts;
        self.running.retain(|request| {
            let is_lost = request.server == ix;
            if is_lost && request.begun_at.is_none() {
                let organisation = Some(request.organisation);
                hosts[request.host].record_crash(Millis(now), id, organisation, &request.parts);
            }
            !is_lost
        });
    }

    /// Delivers the updates of the last step, and lets the hosts that are due send new ones.
    fn exchange(&mut self, now: u64) {
        for (from, update) in std::mem::take(&mut self.updates) {
            for host in (0..self.hosts.len()).filter(|host| *host != from) {
                if !self.rng.random_bool(DATAGRAM_LOSS) {
                    self.hosts[host].record_peer_update(Millis(now), &update);
                }
            }
        }
        for (ix, host) in self.hosts.iter_mut().enumerate() {
            let offset = now + ix as u64 * STEP_MS;
            if offset.is_multiple_of(HEARTBEAT_MS) {
                let update = host.gossip_update(Millis(now), false);
                if !update.is_empty() {
                    self.updates.push((ix, update));
                }
            }
            if offset.is_multiple_of(TICK_MS) {
                host.tick(Millis(now));
            }
        }
    }

    /// Asserts that each poison part is refused in time, and that other requests are not.
    fn check(&self) {
        for (part, seen) in &self.poison {
            assert!(
                seen.crashes.len() >= 3,
                "part {part} crashed too few servers to be told"
            );
            let fifth = seen.crashes.get(4).copied().unwrap_or(TIME_MS);
            let late = seen.sends.iter().filter(|at| **at > fifth + CONTACT_MS).count();
            assert!(
                late <= MAX_LATE_SENDS,
                "part {part}: {late} late sends, {} crashes",
                seen.crashes.len()
            );
        }
        let refused = self.refused as f64 / self.others as f64;
        assert!(
            refused <= MAX_REFUSED,
            "{} of {} other requests refused for {:?}",
            self.refused,
            self.others,
            self.refused_parts
        );
    }
}

/// Names each load: hosts, servers, requests in a second, and the trouble of the servers. Each is played with
/// several seeds.
macro_rules! loads {
    ($($name:ident: $hosts:expr, $servers:expr, $per_second:expr, $trouble:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in 1..=4 {
                    let mut fleet = Fleet::new($hosts, $servers, seed, $trouble);
                    fleet.play($per_second);
                    fleet.check();
                }
            }
        )*
    };
}

loads! {
    a_poison_part_at_four_hosts: 4, 12, 100.0,
        Trouble { poison_parts: 1, poison_share: 0.02, ..NO_TROUBLE };
    a_rare_poison_part_at_four_hosts: 4, 12, 100.0,
        Trouble { poison_parts: 1, poison_share: 0.004, ..NO_TROUBLE };
    a_frequent_poison_part_at_four_hosts: 4, 12, 100.0,
        Trouble { poison_parts: 1, poison_share: 0.2, ..NO_TROUBLE };
    several_poison_parts_at_four_hosts: 4, 12, 100.0,
        Trouble { poison_parts: 4, poison_share: 0.05, ..NO_TROUBLE };
    a_poison_part_beside_other_crashes_at_four_hosts: 4, 12, 100.0,
        Trouble { poison_parts: 1, poison_share: 0.02, other_crashes: 1.0, ..NO_TROUBLE };
    frequent_crashes_with_other_causes_block_nothing: 4, 12, 100.0,
        Trouble { other_crashes: 3.0, ..NO_TROUBLE };
    a_crash_of_all_servers_blocks_nothing: 4, 12, 100.0,
        Trouble { all_crash_at: Some(10_000), ..NO_TROUBLE };
    a_poison_part_at_118_hosts: 118, 160, 1_000.0,
        Trouble { poison_parts: 1, poison_share: 0.02, ..NO_TROUBLE };
    several_poison_parts_beside_other_crashes_at_118_hosts: 118, 160, 1_000.0,
        Trouble { poison_parts: 4, poison_share: 0.03, other_crashes: 4.0, all_crash_at: None };
    a_crash_of_all_servers_blocks_nothing_at_118_hosts: 118, 160, 1_000.0,
        Trouble { all_crash_at: Some(10_000), other_crashes: 4.0, ..NO_TROUBLE };
}

/// Guards against updates that do not fit a datagram while many parts are suspected.
#[test]
fn an_update_has_a_bounded_number_of_records() {
    let mut parts = PoisonParts::default();
    for number in 0..400_u32 {
        let id = u64::from(Digest::of(&number.to_le_bytes()).0 as u32);
        let prompt = [id, id + 1].map(|id| PromptPart { id, tokens: 40 });
        parts.record_crash(Millis(1_000), CrashId(number), None, &prompt);
    }
    let update = parts.gossip_update(Millis(1_000), true);
    assert!(
        update.crashes.len() <= 26 && update.answers.len() <= 26,
        "{update:?}"
    );
}
