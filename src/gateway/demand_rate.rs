//! The demand for a model or an adapter, as VMs measure and report it.

/// The demand for a model or an adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DemandRate {
    /// The runner time that it takes, in milliseconds per second.
    pub(crate) busy_ms_per_s: f64,
    /// Requests per second.
    pub(crate) requests_per_s: f64,
    /// Requests that wait for a runner with the weights loaded.
    pub(crate) waiting: u32,
}
