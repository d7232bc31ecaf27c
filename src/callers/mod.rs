//! Who sends requests: organisations, known by their callers' keys, and what each may ask for.
//!
//! Plain decisions without a network, whichever interface a request came by.

mod key;
mod ledger;
mod organisation;
mod outlook;
mod quota;
mod register;
#[cfg(test)]
mod tests;
mod usage;

pub(crate) use key::ApiKey;
pub(crate) use ledger::{Granted, Ledger, OverQuota, QuotaBounds, Tally};
pub(crate) use organisation::Organisation;
pub(crate) use quota::{Measure, Quota};
pub(crate) use register::Register;
pub(crate) use usage::{SPANS, Usage};
