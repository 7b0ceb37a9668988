//! Queued requests of one pool, by tier, organisation, length and deadline.
//!
//! Tiers go strictly first to last. Inside a tier, organisations that have
//! had less than their share of the pool go first, the one furthest behind
//! leading; what they leave goes to the shortest work, so that short requests
//! do not wait behind long ones and capacity left over serves most callers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use carawayseam_types::{Millis, RequestSeq, Tier};

use crate::index::OrgIx;

/// Classes of expected service time; each is four times the one before.
const CLASSES: usize = 6;
const FIRST_CLASS_MS: f64 = 250.0;
const CLASS_FACTOR: f64 = 4.0;
/// Unused share that an organisation may save up, and overuse that it has to pay back, at most.
const MAX_SAVED: Millis = Millis::from_secs(20);
const MAX_OWED: Millis = Millis::from_secs(30);

/// The class of an expected service time.
fn service_class(cost: f64) -> usize {
    let mut bound = FIRST_CLASS_MS;
    let mut class = 0;
    while cost > bound && class < CLASSES - 1 {
        bound *= CLASS_FACTOR;
        class += 1;
    }
    class
}

/// A queued request's place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Ticket {
    pub(crate) tier: Tier,
    pub(crate) org: OrgIx,
    pub(crate) deadline: Millis,
    pub(crate) seq: RequestSeq,
    /// Expected service time on the pool's mean engine, in milliseconds.
    pub(crate) cost: f64,
}

/// What an organisation may use of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entitlement {
    /// Its part of the pool's capacity, above 0 and at most 1.
    pub(crate) part: f64,
    /// The pool's capacity in requests that run at once.
    pub(crate) capacity: f64,
}

impl Entitlement {
    /// The time in which the share pays for `cost` milliseconds of service.
    fn time_for(self, cost: f64) -> f64 {
        cost / (self.part * self.capacity.max(1.0))
    }
}

/// Requests of one organisation and class, earliest deadline first.
#[derive(Debug, Default)]
struct ClassQueue {
    items: BTreeSet<(Millis, RequestSeq)>,
    work: f64,
}

impl ClassQueue {
    fn remove(&mut self, ticket: &Ticket) -> bool {
        let removed = self.items.remove(&(ticket.deadline, ticket.seq));
        self.work = match self.items.is_empty() {
            true => 0.0,
            false if removed => (self.work - ticket.cost).max(0.0),
            false => self.work,
        };
        removed
    }
}

#[derive(Debug, Default)]
struct OrgQueue {
    classes: [ClassQueue; CLASSES],
    count: usize,
    /// Its keys in the lane's two orders, while it has requests.
    paid_until: Millis,
    shortest: usize,
}

impl OrgQueue {
    fn earliest(&self) -> Option<RequestSeq> {
        let heads = self.classes.iter().filter_map(|class| class.items.first());
        heads.min().map(|(_, seq)| *seq)
    }

    /// The one of the shortest with most time left.
    ///
    /// Under overload the ones with least time would only just begin before they are too late.
    fn last_of_shortest(&self) -> Option<RequestSeq> {
        let last = self.classes[self.shortest].items.last();
        last.map(|(_, seq)| *seq)
    }

    fn last_of_longest(&self) -> Option<RequestSeq> {
        let longest = self.classes.iter().rev().find(|class| !class.items.is_empty())?;
        longest.items.last().map(|(_, seq)| *seq)
    }

    fn find_shortest(&self) -> usize {
        let place = self.classes.iter().position(|class| !class.items.is_empty());
        place.unwrap_or(0)
    }

    fn work_up_to(&self, class: usize) -> f64 {
        self.classes[..=class].iter().map(|class| class.work).sum()
    }

    fn seqs(&self) -> impl Iterator<Item = RequestSeq> + '_ {
        let classes = self.classes.iter();
        classes.flat_map(|class| class.items.iter().map(|(_, seq)| *seq))
    }
}

/// The requests of one tier.
#[derive(Debug, Default)]
struct Lane {
    orgs: BTreeMap<OrgIx, OrgQueue>,
    /// Organisations with requests, by the time until which their share is used up.
    by_share: BTreeSet<(Millis, OrgIx)>,
    /// The same, by the class of their shortest request.
    by_length: BTreeSet<(usize, Millis, OrgIx)>,
    class_work: [f64; CLASSES],
    count: usize,
}

impl Lane {
    fn push(&mut self, ticket: &Ticket, paid_until: Millis) {
        self.unlink(ticket.org);
        let class = service_class(ticket.cost);
        let org = self.orgs.entry(ticket.org).or_default();
        org.paid_until = paid_until;
        org.classes[class].items.insert((ticket.deadline, ticket.seq));
        org.classes[class].work += ticket.cost;
        org.count += 1;
        self.class_work[class] += ticket.cost;
        self.count += 1;
        self.link(ticket.org);
    }

    fn remove(&mut self, ticket: &Ticket) -> bool {
        let class = service_class(ticket.cost);
        self.unlink(ticket.org);
        let org = self.orgs.get_mut(&ticket.org);
        let removed = org.is_some_and(|org| {
            let removed = org.classes[class].remove(ticket);
            org.count -= usize::from(removed);
            removed
        });
        self.link(ticket.org);
        if removed {
            self.count -= 1;
            self.class_work[class] = (self.class_work[class] - ticket.cost).max(0.0);
        }
        if self.count == 0 {
            self.class_work = [0.0; CLASSES];
        }
        removed
    }

    /// Moves an organisation to its place after its share was charged.
    fn set_paid_until(&mut self, org_ix: OrgIx, paid_until: Millis) {
        self.unlink(org_ix);
        if let Some(org) = self.orgs.get_mut(&org_ix) {
            org.paid_until = paid_until;
        }
        self.link(org_ix);
    }

    fn unlink(&mut self, org_ix: OrgIx) {
        if let Some(org) = self.orgs.get(&org_ix) {
            self.by_share.remove(&(org.paid_until, org_ix));
            self.by_length.remove(&(org.shortest, org.paid_until, org_ix));
        }
    }

    fn link(&mut self, org_ix: OrgIx) {
        let Some(org) = self.orgs.get_mut(&org_ix) else {
            return;
        };
        if org.count == 0 {
            self.orgs.remove(&org_ix);
            return;
        }
        org.shortest = org.find_shortest();
        self.by_share.insert((org.paid_until, org_ix));
        self.by_length.insert((org.shortest, org.paid_until, org_ix));
    }

    /// First those within their share, then the shortest.
    fn candidates(&self, now: Millis) -> impl Iterator<Item = RequestSeq> + '_ {
        let within = self.by_share.iter().take_while(move |(paid, _)| *paid <= now);
        let within = within.filter_map(|(_, org)| self.orgs.get(org)?.earliest());
        let beyond = self.by_length.iter().filter(move |(_, paid, _)| *paid > now);
        let beyond = beyond.filter_map(|(_, _, org)| self.orgs.get(org)?.last_of_shortest());
        within.chain(beyond)
    }

    fn work(&self) -> f64 {
        self.class_work.iter().sum()
    }

    /// The time until a new request would be served, by its share or by its length.
    fn wait(&self, org_ix: OrgIx, cost: f64, owed: f64, entitled: Entitlement) -> f64 {
        let class = service_class(cost);
        let shorter: f64 = self.class_work[..=class].iter().sum();
        let own = self.orgs.get(&org_ix).map_or(0.0, |org| org.work_up_to(class));
        let by_length = shorter / entitled.capacity.max(1.0);
        by_length.min(entitled.time_for(own) + owed)
    }

    fn least_urgent(&self) -> Option<RequestSeq> {
        let (_, org) = self.by_share.last()?;
        self.orgs.get(org)?.last_of_longest()
    }

    fn seqs(&self) -> impl Iterator<Item = RequestSeq> + '_ {
        self.orgs.values().flat_map(OrgQueue::seqs)
    }
}

/// The queued requests of one pool.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: Vec<Lane>,
    count: usize,
    /// The time until which each organisation has used up its share, over all tiers.
    paid_until: HashMap<OrgIx, Millis>,
}

impl Queue {
    pub(crate) fn push(&mut self, ticket: &Ticket) {
        let paid_until = self.paid_until(ticket.org);
        self.lane(ticket.tier).push(ticket, paid_until);
        self.count += 1;
    }

    pub(crate) fn remove(&mut self, ticket: &Ticket) {
        if self.lane(ticket.tier).remove(ticket) {
            self.count -= 1;
        }
    }

    /// Charges a dispatch to the organisation's share.
    pub(crate) fn charge(&mut self, now: Millis, ticket: &Ticket, entitled: Entitlement) {
        let start = self.paid_until(ticket.org).max(now - MAX_SAVED);
        let time = Millis(entitled.time_for(ticket.cost).min(MAX_OWED.0 as f64) as u64);
        let paid_until = (start + time).min(now + MAX_OWED);
        self.paid_until.insert(ticket.org, paid_until);
        for lane in &mut self.lanes {
            lane.set_paid_until(ticket.org, paid_until);
        }
    }

    /// Whether an organisation has had no more than its share.
    pub(crate) fn is_within_share(&self, now: Millis, org: OrgIx) -> bool {
        self.paid_until(org) <= now
    }

    pub(crate) const fn len(&self) -> usize {
        self.count
    }

    /// The next requests, highest tier first.
    pub(crate) fn candidates(&self, now: Millis) -> impl Iterator<Item = RequestSeq> + '_ {
        self.lanes.iter().flat_map(move |lane| lane.candidates(now))
    }

    /// The time until a new request would be served, in milliseconds.
    pub(crate) fn wait(&self, now: Millis, ticket: &Ticket, entitled: Entitlement) -> f64 {
        let rank = usize::from(ticket.tier.0);
        // Long work above leaves slots to short requests, so only work of their length counts.
        let class = service_class(ticket.cost);
        let higher = self.lanes.iter().take(rank);
        let above: f64 = higher
            .map(|lane| lane.class_work[..=class].iter().sum::<f64>())
            .sum();
        let owed = self.paid_until(ticket.org).since(now).0 as f64;
        let lane = self.lanes.get(rank);
        let beside = lane.map_or(0.0, |lane| lane.wait(ticket.org, ticket.cost, owed, entitled));
        above / entitled.capacity.max(1.0) + beside
    }

    /// Work queued in each tier and above it, in milliseconds of service.
    pub(crate) fn work_by_tier(&self) -> impl Iterator<Item = f64> + '_ {
        let works = self.lanes.iter().map(Lane::work);
        works.scan(0.0, |sum, work| {
            *sum += work;
            Some(*sum)
        })
    }

    /// The lowest tier that waits.
    pub(crate) fn lowest(&self) -> Option<Tier> {
        let rank = self.lanes.iter().rposition(|lane| lane.count > 0)?;
        Some(Tier(rank as u8))
    }

    /// The request to give up first: lowest tier, furthest beyond its share, longest.
    pub(crate) fn least_urgent(&self) -> Option<RequestSeq> {
        let rank = self.lowest()?;
        self.lanes[usize::from(rank.0)].least_urgent()
    }

    /// All requests of tiers below `tier`.
    pub(crate) fn below(&self, tier: Tier) -> Vec<RequestSeq> {
        let lanes = self.lanes.iter().skip(usize::from(tier.0) + 1);
        lanes.flat_map(Lane::seqs).collect()
    }

    /// All requests.
    pub(crate) fn all(&self) -> Vec<RequestSeq> {
        self.lanes.iter().flat_map(Lane::seqs).collect()
    }

    /// Waiting requests by tier and organisation.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (Tier, OrgIx, usize)> + '_ {
        self.lanes.iter().enumerate().flat_map(|(rank, lane)| {
            let tier = Tier(rank as u8);
            lane.orgs.iter().map(move |(ix, org)| (tier, *ix, org.count))
        })
    }

    fn paid_until(&self, org: OrgIx) -> Millis {
        self.paid_until.get(&org).copied().unwrap_or(Millis::ZERO)
    }

    fn lane(&mut self, tier: Tier) -> &mut Lane {
        let rank = usize::from(tier.0);
        if self.lanes.len() <= rank {
            self.lanes.resize_with(rank + 1, Lane::default);
        }
        &mut self.lanes[rank]
    }
}
