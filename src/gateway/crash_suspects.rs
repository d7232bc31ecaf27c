//! Tracks requests that were in flight on servers that crashed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of crashes from which a request is refused.
const MAX_CRASHES: u32 = 2;
/// How long a crash counts against a request.
const CRASH_RETENTION: Duration = Duration::from_secs(30);
/// Number of records from which expired ones are removed.
const CLEANUP_THRESHOLD: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    crashes: u32,
    updated_at: Instant,
}

/// Crash counts by request fingerprint, as observed by this VM and its peers.
#[derive(Debug, Default)]
pub(crate) struct CrashSuspects {
    records: RefCell<HashMap<u64, CrashRecord>>,
}

impl CrashSuspects {
    /// Counts a crash of a server with the request in flight; returns the number of crashes known.
    pub(crate) fn record_crash(&self, fingerprint: u64, now: Instant) -> u32 {
        let crashes = self.crashes(fingerprint, now) + 1;
        self.merge_crashes(fingerprint, crashes, now);
        crashes
    }

    /// Merges a peer's crash count; returns whether it exceeds the known one.
    pub(crate) fn merge_crashes(&self, fingerprint: u64, crashes: u32, now: Instant) -> bool {
        let known = self.crashes(fingerprint, now);
        let mut records = self.records.borrow_mut();
        if records.len() >= CLEANUP_THRESHOLD {
            records.retain(|_, record| now.duration_since(record.updated_at) < CRASH_RETENTION);
        }
        let record = CrashRecord {
            crashes: crashes.max(known),
            updated_at: now,
        };
        records.insert(fingerprint, record);
        crashes > known
    }

    /// Removes the record of a request that did not crash its server.
    pub(crate) fn clear(&self, fingerprint: u64) {
        self.records.borrow_mut().remove(&fingerprint);
    }

    /// Whether the request is refused because of its crashes.
    pub(crate) fn is_poison(&self, fingerprint: u64, now: Instant) -> bool {
        self.crashes(fingerprint, now) >= MAX_CRASHES
    }

    fn crashes(&self, fingerprint: u64, now: Instant) -> u32 {
        let records = self.records.borrow();
        let record = records.get(&fingerprint);
        record.map_or(0, |record| {
            if now.duration_since(record.updated_at) < CRASH_RETENTION {
                record.crashes
            } else {
                0
            }
        })
    }
}
