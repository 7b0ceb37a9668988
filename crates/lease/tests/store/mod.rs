//! A simulated key-value store with leases, which runs on the reference clock of the test.

#![allow(dead_code, reason = "each test file uses only some of the methods")]

use std::collections::BTreeMap;

use carawayseam_external::kv::{Conflict, Entry, Lease, PutReply};
use carawayseam_lease::{StoreCall, StoreResponse};

#[derive(Debug, Default)]
pub struct Store {
    leases: BTreeMap<u64, (u64, u64)>,
    entries: BTreeMap<String, (Entry, u64)>,
    counter: u64,
}

impl Store {
    pub fn call(&mut self, now: u64, request: &StoreCall) -> StoreResponse {
        self.expire_leases(now);
        self.counter += 1;
        match request {
            StoreCall::Grant(grant) => {
                let (lease, ttl_ms) = (self.counter, grant.ttl_ms);
                self.leases.insert(lease, (now + ttl_ms, ttl_ms));
                StoreResponse::Granted(Lease { lease, ttl_ms })
            }
            StoreCall::Put(put) => {
                let lease = put.lease.expect("the entry is under a lease");
                let current = self.entries.get(&put.key).map(|(entry, _)| entry.clone());
                match current {
                    Some(_) => StoreResponse::Conflict(Conflict { current }),
                    None if !self.leases.contains_key(&lease) => StoreResponse::LeaseGone,
                    None => {
                        let revision = self.counter;
                        let (key, value) = (put.key.clone(), put.value.clone());
                        let entry = Entry { key, value, revision };
                        self.entries.insert(put.key.clone(), (entry, lease));
                        StoreResponse::Written(PutReply { revision })
                    }
                }
            }
            StoreCall::Get { key } => {
                StoreResponse::Entry(self.entries.get(key).map(|(entry, _)| entry.clone()))
            }
            StoreCall::Renew(request) => match self.leases.get_mut(&request.lease) {
                Some((expires_at, ttl_ms)) => {
                    *expires_at = now + *ttl_ms;
                    StoreResponse::Renewed(Lease {
                        lease: request.lease,
                        ttl_ms: *ttl_ms,
                    })
                }
                None => StoreResponse::LeaseGone,
            },
            StoreCall::Revoke(request) => {
                self.leases.remove(&request.lease);
                self.expire_leases(now);
                StoreResponse::LeaseGone
            }
        }
    }

    pub fn entry(&mut self, now: u64, key: &str) -> Option<Entry> {
        self.expire_leases(now);
        self.entries.get(key).map(|(entry, _)| entry.clone())
    }

    pub fn delete(&mut self, key: &str) {
        self.entries.remove(key);
    }

    fn expire_leases(&mut self, now: u64) {
        self.leases.retain(|_, (expires_at, _)| now < *expires_at);
        let leases = &self.leases;
        self.entries.retain(|_, (_, lease)| leases.contains_key(lease));
    }
}
