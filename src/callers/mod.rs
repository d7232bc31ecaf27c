//! Who sends requests: organisations, known by their callers' keys, and what each may ask for.
//!
//! Plain decisions without a network, whichever interface a request came by.

mod key;
mod ledger;
mod organisation;
mod peer_usage;
mod quota;
mod quota_estimate;
mod register;
mod tally;
#[cfg(test)]
mod tests;
mod usage;

pub(crate) use key::ApiKey;
pub(crate) use ledger::{Granted, Ledger, OverQuota};
pub(crate) use organisation::Organisation;
pub(crate) use quota::{Measure, Quota, QuotaBounds};
pub(crate) use register::ApiKeyIndex;
pub(crate) use tally::UsageReport;
pub(crate) use usage::{SPAN_COUNT, Usage};
