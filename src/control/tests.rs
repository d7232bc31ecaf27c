//! What a runner's book says of requests to come.

use super::{Artifact, Copy, CopyState, MemoryLedger};
use crate::router::Target;
use googletest::prelude::*;

fn artifact(adapter: Option<&str>) -> Artifact {
    Artifact {
        model: "model".into(),
        adapter: adapter.map(Into::into),
        version: "1".into(),
    }
}

fn copy(state: CopyState) -> Copy {
    Copy {
        mib: 1,
        state,
        intent: 1,
        claim: 1,
        unclean: false,
    }
}

/// A book with the model resident, and its adapter in a state, if it is there at all.
fn ledger(adapter: Option<CopyState>) -> MemoryLedger {
    let mut ledger = MemoryLedger::default();
    let model = copy(CopyState::Resident);
    ledger.copies.insert(artifact(None), model);
    if let Some(state) = adapter {
        ledger.copies.insert(artifact(Some("adapter")), copy(state));
    }
    ledger
}

#[googletest::test]
fn a_model_without_the_adapter_asked_for_is_not_what_a_request_waits_for() {
    let target = Target {
        base: artifact(None),
        adapter: Some(artifact(Some("adapter"))),
    };
    expect_false!(target.is_resident_or_loading_in(&ledger(None)));
    expect_false!(target.is_resident_or_loading_in(&ledger(Some(CopyState::Unloading))));
    expect_true!(target.is_resident_or_loading_in(&ledger(Some(CopyState::Loading))));
    expect_true!(target.is_resident_or_loading_in(&ledger(Some(CopyState::Resident))));
}
