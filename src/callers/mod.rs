//! Organisations: identification of callers by API key, and enforcement of quotas.
//!
//! The module does no I/O and does not depend on the interface that a request arrives at.

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
pub(crate) use ledger::{GrantRecord, Ledger, OverQuota};
pub(crate) use organisation::Organisation;
pub(crate) use quota::{Measure, Quota, QuotaBounds};
pub(crate) use register::ApiKeyIndex;
pub(crate) use tally::UsageReport;
pub(crate) use usage::{SPAN_COUNT, Usage};
