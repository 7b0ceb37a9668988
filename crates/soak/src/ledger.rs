//! What callers and servers saw, held against the promises.

use std::collections::HashMap;

use carawayseam_types::Millis;

use crate::broken::Broken;
use crate::disturbances::{Disturbances, Scope};
use crate::exposure::Exposure;
use crate::limited::{self, Limited, max_in_limited_window};
use crate::metered::{METERED_KEY, Runs, most_in_window};
use crate::request::{Answer, RequestId, Route};

/// A configuration binds this long after it was written.
const CONFIGURATION_LAG: Millis = Millis(2_000);
/// A key works for this long after it was taken away, at most.
const REVOCATION_LAG: Millis = Millis(5_000);
/// An older configuration may still be used for this long after a newer one was seen in use.
const STEP_BACK_LAG: Millis = Millis(250);
/// A leaving server may get requests for this long.
const LEAVING_LAG: Millis = Millis(2_000);
/// A server that wants nothing for a while may get requests that were on their way for this long.
const CLOSED_LAG: Millis = Millis(500);
/// Requests that it may get afterwards.
const CLOSED_ARRIVALS: u32 = 2;
/// A request gets its final answer this long after its route's time limit, at the latest.
pub(crate) const ANSWER_LAG: Millis = Millis(500);
/// Late answers that are allowed in a run.
const LATE_ANSWERS: u32 = 5;

#[derive(Debug)]
struct Request {
    gateway: usize,
    incarnation: u32,
    route: Route,
    key: usize,
    sent: Millis,
    runs: u32,
    refused: Option<u16>,
    /// The server whose answer says that it leaves.
    told_leaving: Option<usize>,
    /// The server whose answer reports a rate limit.
    told_limit: Option<usize>,
}

/// A gateway process and a server.
type Pair = ((usize, u32), usize);

/// A time in which a server wants nothing from a gateway.
#[derive(Debug)]
struct Closed {
    from: Millis,
    until: Millis,
    arrivals: u32,
}

/// All that was seen in a run.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: HashMap<RequestId, Request>,
    disturbances: Disturbances,
    /// When each configuration was written.
    configurations: Vec<Millis>,
    revoked: HashMap<usize, Millis>,
    leaving: HashMap<usize, Millis>,
    /// When a gateway passed on an answer that says that its server leaves.
    passed_leaving: HashMap<Pair, Millis>,
    closed: HashMap<Pair, Closed>,
    limited: HashMap<usize, Limited>,
    /// Configurations that servers saw in use, by gateway and incarnation, with the time.
    in_use: HashMap<(usize, u32), Vec<(Millis, usize)>>,
    late: u32,
    exposure: Option<Exposure>,
    metered: Runs,
    calm_sent: u32,
    calm_served: u32,
}

impl Ledger {
    /// Notes that something is disturbed from now on; gives its number.
    pub fn disturb(&mut self, scope: Scope) -> usize {
        self.disturbances.begin(scope)
    }

    /// Notes that a disturbance ended.
    pub fn end_disturbance(&mut self, now: Millis, number: usize) {
        self.disturbances.end(now, number);
    }

    fn was_calm(&self, from: Millis, scopes: &[Scope]) -> bool {
        self.disturbances.were_absent(from, scopes)
    }

    fn in_touch(&self, gateway: usize, from: Millis) -> bool {
        let scopes = [Scope::Gateway(gateway), Scope::PlannedStop(gateway), Scope::Store];
        self.was_calm(from, &scopes)
    }

    /// Notes that the store holds the next configuration.
    pub fn configured(&mut self, now: Millis) {
        self.configurations.push(now);
    }

    /// Notes that the store holds a configuration without a key.
    pub fn revoked(&mut self, now: Millis, key: usize) {
        self.revoked.insert(key, now);
    }

    /// Notes that the store says that a server leaves.
    pub fn leaving(&mut self, now: Millis, server: usize) {
        self.leaving.insert(server, now);
    }

    /// Notes that a caller sends a request.
    pub fn sent(&mut self, now: Millis, request: RequestId, gateway: (usize, u32), route: Route, key: usize) {
        let (gateway, incarnation) = gateway;
        let request_sent = Request {
            gateway,
            incarnation,
            route,
            key,
            sent: now,
            runs: 0,
            refused: None,
            told_leaving: None,
            told_limit: None,
        };
        self.requests.insert(request, request_sent);
    }

    /// Notes that a server begins to run a request.
    ///
    /// # Errors
    ///
    /// The promise that this breaks.
    pub fn ran(&mut self, now: Millis, id: RequestId, server: usize) -> Result<(), Broken> {
        let Some(request) = self.requests.get_mut(&id) else {
            let what = "no caller sent it".to_owned();
            return Err(Broken::WrongAnswer { request: id, what });
        };
        request.runs += 1;
        let runs_once = request.route == Route::Calls;
        if runs_once && request.runs > 1 {
            return Err(Broken::RanTwice { request: id });
        }
        if let Some(status) = request.refused.filter(|_| runs_once) {
            return Err(Broken::FalseRefusal { request: id, status });
        }
        let (sent, key, gateway) = (request.sent, request.key, request.gateway);
        let pair = ((gateway, request.incarnation), server);
        self.judge_closed(now, id, pair)?;
        self.judge_passed_leaving(id, sent, pair)?;
        if key == METERED_KEY {
            self.count_metered(now, id, sent)?;
        }
        let revoked = Self::since(&self.revoked, key, sent);
        if let Some(ago) = revoked.filter(|ago| *ago > REVOCATION_LAG) {
            return Err(Broken::RevokedKey { request: id, ago });
        }
        let left = Self::since(&self.leaving, server, sent);
        match left.filter(|ago| *ago > LEAVING_LAG) {
            Some(ago) if self.in_touch(gateway, sent.min(now)) => Err(Broken::RanOnLeaving {
                request: id,
                server,
                ago,
            }),
            _ => Ok(()),
        }
    }

    /// Notes that a server refused a request, and wants nothing from its gateway for a while.
    ///
    /// # Errors
    ///
    /// The promise that this breaks.
    pub fn closed(&mut self, now: Millis, id: RequestId, server: usize, span: Millis) -> Result<(), Broken> {
        let Some(request) = self.requests.get(&id) else {
            return Ok(());
        };
        let pair = ((request.gateway, request.incarnation), server);
        self.judge_closed(now, id, pair)?;
        let closed = Closed {
            from: now + CLOSED_LAG,
            until: now + span,
            arrivals: 0,
        };
        self.closed.entry(pair).or_insert(closed);
        Ok(())
    }

    fn judge_closed(&mut self, now: Millis, id: RequestId, pair: Pair) -> Result<(), Broken> {
        let Some(closed) = self.closed.get_mut(&pair) else {
            return Ok(());
        };
        if now >= closed.until {
            self.closed.remove(&pair);
            return Ok(());
        }
        closed.arrivals += u32::from(now > closed.from);
        let (arrivals, from) = (closed.arrivals, closed.from);
        let ((gateway, _), server) = pair;
        if arrivals > CLOSED_ARRIVALS && self.was_calm(from, &[Scope::Gateway(gateway)]) {
            return Err(Broken::SentWhileClosed {
                request: id,
                server,
                arrivals,
            });
        }
        Ok(())
    }

    /// Notes that the answer to a request says that its server leaves.
    pub fn says_leaving(&mut self, id: RequestId, server: usize) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.told_leaving = Some(server);
        }
    }

    fn judge_passed_leaving(&self, id: RequestId, sent: Millis, pair: Pair) -> Result<(), Broken> {
        let ((gateway, _), server) = pair;
        let passed = self.passed_leaving.get(&pair).filter(|at| **at < sent);
        let ago = passed.map(|at| sent.since(*at)).filter(|ago| *ago > LEAVING_LAG);
        match ago {
            Some(ago) if self.was_calm(sent - ago, &[Scope::Gateway(gateway)]) => Err(Broken::RanOnLeaving {
                request: id,
                server,
                ago,
            }),
            _ => Ok(()),
        }
    }

    /// Notes that a server reports a rate limit from now on, or no longer does.
    pub fn limit(&mut self, now: Millis, server: usize, is_limited: bool) {
        if is_limited {
            self.limited.insert(server, Limited::new(now));
        } else {
            self.limited.remove(&server);
        }
    }

    /// Notes that a request came to a server, whose answer to it reports the server's rate limit.
    ///
    /// # Errors
    ///
    /// The promise that this breaks.
    pub fn came_to_limited(&mut self, now: Millis, id: RequestId, server: usize) -> Result<(), Broken> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        request.told_limit = Some(server);
        let from = (request.gateway, request.incarnation);
        let Some(limited) = self.limited.get_mut(&server) else {
            return Ok(());
        };
        let is_calm = |gateway| {
            let scopes = [Scope::Gateway(gateway), Scope::PlannedStop(gateway)];
            self.disturbances.were_absent(now - limited::WINDOW, &scopes)
        };
        let arrivals = limited.count(now, from, is_calm);
        let most = max_in_limited_window();
        if arrivals > most {
            return Err(Broken::OverLimit {
                request: id,
                server,
                arrivals,
                most,
            });
        }
        Ok(())
    }

    fn count_metered(&mut self, now: Millis, id: RequestId, sent: Millis) -> Result<(), Broken> {
        let (ran, most) = (self.metered.count(now, sent), most_in_window());
        if ran > most {
            return Err(Broken::OverQuota {
                request: id,
                ran,
                most,
            });
        }
        Ok(())
    }

    /// The time from an event to the sending of a request, if it came before.
    fn since(events: &HashMap<usize, Millis>, subject: usize, sent: Millis) -> Option<Millis> {
        events
            .get(&subject)
            .filter(|at| **at < sent)
            .map(|at| sent.since(*at))
    }

    /// Notes which configuration a request was handled by.
    ///
    /// # Errors
    ///
    /// The promise that this breaks.
    pub fn stepped(&mut self, now: Millis, id: RequestId, used: usize) -> Result<(), Broken> {
        let Some(request) = self.requests.get(&id) else {
            return Ok(());
        };
        let (sent, gateway) = (request.sent, request.gateway);
        let in_use = self.in_use.entry((gateway, request.incarnation)).or_default();
        let before = in_use.iter().filter(|(at, _)| *at + STEP_BACK_LAG < sent);
        let seen = before.map(|(_, seen)| *seen).max();
        in_use.push((now, used));
        if let Some(seen) = seen.filter(|seen| *seen > used) {
            return Err(Broken::SteppedBack {
                request: id,
                used,
                seen,
            });
        }
        let binding = self
            .configurations
            .iter()
            .filter(|at| **at + CONFIGURATION_LAG < sent);
        let newest = binding.count().saturating_sub(1);
        if used < newest && self.in_touch(gateway, sent) {
            return Err(Broken::Outdated {
                request: id,
                used,
                newest,
            });
        }
        Ok(())
    }

    /// Notes how a request ended for its caller.
    ///
    /// # Errors
    ///
    /// The promise that this breaks.
    pub fn answered(
        &mut self,
        now: Millis,
        id: RequestId,
        answer: &Answer,
        limit: Millis,
    ) -> Result<(), Broken> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        let (gateway, sent, runs) = (request.gateway, request.sent, request.runs);
        let runs_once = request.route == Route::Calls;
        match answer {
            Answer::Wrong(what) => {
                return Err(Broken::WrongAnswer {
                    request: id,
                    what: what.clone(),
                });
            }
            Answer::Refused { status, .. } if runs_once && runs > 0 => {
                return Err(Broken::FalseRefusal {
                    request: id,
                    status: *status,
                });
            }
            Answer::Refused { status, says_when } => {
                request.refused = Some(*status);
                if !says_when {
                    return Err(Broken::NoTimeToComeBack {
                        request: id,
                        status: *status,
                    });
                }
            }
            Answer::Success => {
                if let Some(server) = request.told_leaving {
                    let pair = ((gateway, request.incarnation), server);
                    self.passed_leaving.entry(pair).or_insert(now);
                }
                let limited = request
                    .told_limit
                    .and_then(|server| self.limited.get_mut(&server));
                if let Some(limited) = limited {
                    limited.tell(now, (gateway, request.incarnation));
                }
            }
            Answer::Failure(_) | Answer::Cut => {}
        }
        self.judge_time(now, id, (gateway, sent), limit)?;
        self.judge_calm(id, (gateway, sent), runs, answer)
    }

    fn judge_time(
        &mut self,
        now: Millis,
        id: RequestId,
        (gateway, sent): (usize, Millis),
        limit: Millis,
    ) -> Result<(), Broken> {
        if now.since(sent) > limit + ANSWER_LAG && self.in_touch(gateway, sent) {
            self.late += 1;
        }
        if self.late > LATE_ANSWERS {
            return Err(Broken::Late {
                request: id,
                count: self.late,
            });
        }
        Ok(())
    }

    fn judge_calm(
        &mut self,
        id: RequestId,
        (gateway, sent): (usize, Millis),
        runs: u32,
        answer: &Answer,
    ) -> Result<(), Broken> {
        let links = Scope::ServerLinks(gateway);
        let unplanned = [Scope::Gateway(gateway), links, Scope::Servers, Scope::Store];
        if !self.was_calm(sent, &unplanned) {
            return Ok(());
        }
        if *answer == Answer::Cut && runs > 0 {
            return Err(Broken::CutByPlannedStop { request: id, gateway });
        }
        let key = self.requests.get(&id).map(|request| request.key);
        // The organisation with a quota is refused most of what it asks.
        let has_key = key.is_some_and(|key| key != METERED_KEY && !self.revoked.contains_key(&key));
        if has_key && self.in_touch(gateway, sent) {
            self.calm_sent += 1;
            self.calm_served += u32::from(*answer == Answer::Success);
        }
        Ok(())
    }

    /// A move to a bad version begins.
    pub fn exposure_begins(&mut self) {
        self.exposure = Some(Exposure::default());
    }

    /// A request of the moving backend ran on the old or the new version.
    ///
    /// # Errors
    ///
    /// The promise that this breaks.
    pub fn exposed(&mut self, is_new: bool) -> Result<(), Broken> {
        let Some(exposure) = &mut self.exposure else {
            return Ok(());
        };
        exposure.count(is_new)
    }

    /// A move ended, or its deadline passed.
    ///
    /// # Errors
    ///
    /// The promise that this breaks.
    pub fn move_ended(&mut self, ordered: Millis, wanted: &str, state: &str) -> Result<(), Broken> {
        self.exposure = None;
        if state != wanted && self.was_calm(ordered, &[Scope::Store, Scope::Servers]) {
            return Err(Broken::RolloutNotEnded {
                state: state.to_owned(),
            });
        }
        Ok(())
    }

    /// A gateway that was asked to stop has ended.
    ///
    /// # Errors
    ///
    /// The promise that this breaks.
    pub fn stopped(&self, asked: Millis, gateway: usize, ended_well: bool) -> Result<(), Broken> {
        if !ended_well && self.was_calm(asked, &[Scope::Gateway(gateway)]) {
            return Err(Broken::NoCleanEnd { gateway });
        }
        Ok(())
    }

    /// Judges the whole run.
    ///
    /// # Errors
    ///
    /// When too few requests were served in calm.
    pub fn finish(&self, least_share: f64) -> Result<(), Broken> {
        let (served, sent) = self.calm();
        if f64::from(served) < f64::from(sent) * least_share {
            return Err(Broken::NotServing { served, sent });
        }
        Ok(())
    }

    /// How many requests were served and sent in calm.
    #[must_use]
    pub const fn calm(&self) -> (u32, u32) {
        (self.calm_served, self.calm_sent)
    }

    /// How many requests callers sent.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }
}
