//! Clients of the platform services that a deployment depends on, each behind a trait.

mod limited_body;
mod log;
mod vm_list;

pub(crate) use log::{HttpLog, LogError, LogRecord, LogService, Page};
pub(crate) use vm_list::{HttpVmList, ListedVm, VmList};
