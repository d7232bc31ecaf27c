//! What a VM that has started knows of something that it needs before it serves.

/// How far a VM has learned something.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum StartKnowledge {
    /// Nobody has told it yet.
    #[default]
    Missing,
    /// Nobody has told it in time. The VM serves without it, and is no source for others.
    Overdue,
    /// The log, or a VM that is a source itself, has told it.
    Told,
}

impl StartKnowledge {
    /// Whether the VM may serve: it was told, or waits no longer.
    pub(crate) fn may_serve(self) -> bool {
        self != Self::Missing
    }

    /// Whether the VM was told, so that others may rely on what it says.
    pub(crate) fn is_told(self) -> bool {
        self == Self::Told
    }

    /// The state once the VM waits no longer.
    pub(crate) fn after_wait(self) -> Self {
        match self {
            Self::Missing => Self::Overdue,
            known => known,
        }
    }
}
