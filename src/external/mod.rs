//! The services that the product's own deployment stands on, each behind one small trait.

mod log;
mod vm_list;

pub(crate) use log::{HttpLog, LogError, LogRecord, LogService, Page};
pub(crate) use vm_list::{HttpVmList, ListedVm, VmList};
