//! Requests that were aboard when servers crashed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Crashes after which a request is refused.
const MAX_CRASHES: u32 = 2;
/// How long a crash is held against a request.
const MEMORY: Duration = Duration::from_secs(30);
/// Requests kept in mind at most.
const MAX_KEPT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    at: Instant,
}

/// Crashes by request, as this VM and its peers saw them.
#[derive(Debug, Default)]
pub(crate) struct CrashSuspects {
    records: RefCell<HashMap<u64, Record>>,
}

impl CrashSuspects {
    /// Notes a crash with the request aboard; returns how many are known by now.
    pub(crate) fn record_crash(&self, fingerprint: u64, now: Instant) -> u32 {
        let crashes = self.crashes(fingerprint, now) + 1;
        self.merge_crashes(fingerprint, crashes, now);
        crashes
    }

    /// Takes over a peer's count; tells whether more is known now.
    pub(crate) fn merge_crashes(&self, fingerprint: u64, crashes: u32, now: Instant) -> bool {
        let known = self.crashes(fingerprint, now);
        let mut records = self.records.borrow_mut();
        if records.len() >= MAX_KEPT {
            records.retain(|_, record| now.duration_since(record.at) < MEMORY);
        }
        let record = Record {
            crashes: crashes.max(known),
            at: now,
        };
        records.insert(fingerprint, record);
        crashes > known
    }

    /// Notes that the request did no harm.
    pub(crate) fn clear(&self, fingerprint: u64) {
        self.records.borrow_mut().remove(&fingerprint);
    }

    /// Whether the request is to be refused.
    pub(crate) fn is_poison(&self, fingerprint: u64, now: Instant) -> bool {
        self.crashes(fingerprint, now) >= MAX_CRASHES
    }

    fn crashes(&self, fingerprint: u64, now: Instant) -> u32 {
        let records = self.records.borrow();
        let record = records.get(&fingerprint);
        record.map_or(0, |record| {
            if now.duration_since(record.at) < MEMORY {
                record.crashes
            } else {
                0
            }
        })
    }
}
