//! Tests of which requests a runner's memory ledger is about to serve.

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

/// A ledger with the model resident and, if a state is given, the adapter in that state.
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
fn a_target_with_an_adapter_needs_both_model_and_adapter_resident_or_loading() {
    let target = Target {
        base: artifact(None),
        adapter: Some(artifact(Some("adapter"))),
    };
    expect_false!(target.is_resident_or_loading_in(&ledger(None)));
    expect_false!(target.is_resident_or_loading_in(&ledger(Some(CopyState::Unloading))));
    expect_true!(target.is_resident_or_loading_in(&ledger(Some(CopyState::Loading))));
    expect_true!(target.is_resident_or_loading_in(&ledger(Some(CopyState::Resident))));
}
