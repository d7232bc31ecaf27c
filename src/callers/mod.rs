//! Organisations: identification of callers by API key, and enforcement of quotas.
//!
//! The module does no I/O and does not depend on the interface that a request arrives at.

mod key;
mod ledger;
mod organisation;
mod organisation_index;
mod peer_usage;
mod quota;
mod quota_estimate;
#[cfg(test)]
mod tests;

mod urgency;
mod usage;
mod usage_report;

pub(crate) use key::ApiKey;
pub(crate) use ledger::{GrantRecord, Ledger, OverQuota};
pub(crate) use organisation::Organisation;
pub(crate) use organisation_index::ApiKeyIndex;
pub(crate) use quota::{Charge, Measure, Quota, QuotaBounds};
pub(crate) use urgency::{URGENCY_COUNT, Urgency};
pub(crate) use usage::{SPAN_COUNT, Usage};
pub(crate) use usage_report::UsageReport;
